//! The tests of the new version on each route, against the old version side by side in time.

use std::collections::{BTreeMap, VecDeque};

use wasabi_protocol::{clock::Millis, id};

use crate::{
    baseline::{
        Baseline, ERRORS_RISE, RECENT_ERRORS_MIN, gross, rate, rates, slow_rates, upper_rate,
    },
    evidence::{Count, Counts},
    sequential::{Bounds, Rates, Test, Verdict},
};

/// Highest probability that a good version is rejected by any test of a move, at any time.
pub const FALSE_ALARM_PROBABILITY: f64 = 1e-4;

/// Highest probability that one round accepts a bad version.
pub const MISS_PROBABILITY: f64 = 1e-2;

/// Time after which requests of the new version are judged, unless the move is short.
///
/// By then the old version has shown the same span of time. Without the wait the first errors of
/// an outage that both versions share look like the new version's own.
pub const EVALUATION_DELAY: Millis = Millis(3_000);

/// Shortest such time: two check-ins of an owner, so that the leader has the old version's counts.
pub const EVALUATION_DELAY_MIN: Millis = Millis(1_000);

/// Part of a short move's time for which its requests wait to be judged, as a divisor. A version that
/// fails is suspended while they wait, so that a verdict takes a few such times.
const EVALUATION_DELAY_DIVISOR: u64 = 10;

/// Errors among the requests that wait to be judged from which on the new version is suspended.
///
/// At 1,000 requests/s and a share of 10%, 300 requests would meet a version that always fails
/// while its first errors wait.
const SUSPENDING_ERRORS: u64 = 3;

/// Number of tests of a trial and of places that run it, over which the false alarms are split.
const TESTS: f64 = 3.0;
const PLACES: f64 = 2.0;

/// Requests of the old version under high load from which on the new one's pace there is judged.
const HIGH_LOAD_MIN: u64 = 30;

/// Ratio of evidence, relative to what rejects, from which on a trial is doubtful.
const DOUBT: f64 = 0.5;

/// The trials of all routes of a move, and one over all routes together.
///
/// The trial over all routes sees a fault of the whole version after far fewer requests than any
/// route alone. It adds up the likelihood ratios of the routes, each with its own rates, because
/// the versions do not get the same mix of routes. Another one over the requests that met a highly
/// loaded endpoint sees a fault under load, which would drown among the other requests.
#[derive(Debug, Clone)]
pub struct RouteTrials {
    trials: BTreeMap<id::Route, Trial>,
    all: Tests,
    high: Tests,
    old: Baseline,
    old_high: Count,
    waiting: VecDeque<Waiting>,
    waiting_requests: u64,
    waiting_errors: u64,
    is_rejected: bool,
    routes: usize,
    judged_after: Millis,
}

/// Requests of the new version that are not judged yet.
#[derive(Debug, Clone)]
struct Waiting {
    since: Millis,
    route: id::Route,
    all: Count,
    high_load: Count,
}

/// What one route shows of the new version.
#[derive(Debug, Clone)]
pub struct Trial {
    tests: Tests,
    old: Baseline,
    new: Count,
    /// Requests that are not in the tests of errors yet.
    held: Count,
    /// Requests that are not in the tests of slowness yet.
    held_latency: Count,
    accepted: Option<Millis>,
}

#[derive(Debug, Clone)]
struct Tests {
    errors: Test,
    gross: Test,
    slow: Test,
}

impl RouteTrials {
    /// Returns trials for a move that concerns `routes` routes.
    pub fn new(routes: usize) -> Self {
        Self {
            trials: BTreeMap::new(),
            all: Tests::new(routes),
            high: Tests::new(routes),
            old: Baseline::default(),
            old_high: Count::default(),
            waiting: VecDeque::new(),
            waiting_requests: 0,
            waiting_errors: 0,
            is_rejected: false,
            routes,
            judged_after: EVALUATION_DELAY,
        }
    }

    /// Has requests judged in the time of a move that takes `span`.
    #[must_use]
    pub fn with_duration(mut self, span: Millis) -> Self {
        let part = Millis(span.0 / EVALUATION_DELAY_DIVISOR);
        self.judged_after = part.clamp(EVALUATION_DELAY_MIN, EVALUATION_DELAY);
        self
    }

    /// Takes requests on one route into account, and judges those that waited long enough.
    pub fn add(&mut self, now: Millis, route: &id::Route, seen: Counts) {
        if !self.trials.contains_key(route) {
            self.trials.insert(route.clone(), Trial::new(self.routes));
        }
        self.old.add(now, seen.old);
        self.old_high.add(seen.old_high_load);
        if let Some(trial) = self.trials.get_mut(route) {
            trial.old.add(now, seen.old);
        }
        if 0 < seen.new.requests {
            self.waiting_requests += seen.new.requests;
            self.waiting_errors += seen.new.errors;
            self.waiting.push_back(Waiting {
                since: now,
                route: route.clone(),
                all: seen.new,
                high_load: seen.new_high_load,
            });
        }
        self.judge(now);
    }

    /// Judges the requests of the new version that waited for [`EVALUATION_DELAY`], or less in a short
    /// move.
    pub fn judge(&mut self, now: Millis) {
        while self.waiting.front().is_some_and(|first| self.judged_after <= now.since(first.since))
        {
            let Some(seen) = self.waiting.pop_front() else { return };
            self.waiting_requests -= seen.all.requests;
            self.waiting_errors -= seen.all.errors;
            let Some(trial) = self.trials.get_mut(&seen.route) else { continue };
            let errors = trial.old.errors(self.old.outage());
            trial.add_new(now, seen.all, errors, &mut self.all);
            if 0 < seen.high_load.requests {
                let errors = trial.old.is_sure().then_some(errors);
                self.add_high_load(seen.high_load, errors);
            }
            let is_rejected = |tests: &Tests| tests.verdict() == Verdict::Rejected;
            let route = self.trials.get(&seen.route).map(|trial| &trial.tests);
            self.is_rejected |=
                [Some(&self.all), Some(&self.high), route].into_iter().flatten().any(is_rejected);
        }
    }

    /// Takes requests of the new version under high load into account.
    ///
    /// The old version's rate under high load counts when it is higher than its rate at any load.
    /// `errors` has the route's rates, once the old version's is known.
    fn add_high_load(&mut self, new: Count, errors: Option<Rates>) {
        let old = self.old_high;
        if HIGH_LOAD_MIN <= old.requests {
            self.high.slow.add(new.requests, new.slow, slow_rates(&old));
        }
        let Some(mut errors) = errors else { return };
        if RECENT_ERRORS_MIN <= old.errors {
            let good = errors.good.max(upper_rate(old.errors, old.requests));
            errors = rates(rate(old.errors, old.requests), good, ERRORS_RISE);
        }
        self.high.errors.add(new.requests, new.errors, errors);
        self.high.gross.add(new.requests, new.errors, gross(errors));
    }

    /// Returns what a route shows so far.
    pub fn verdict(&self, route: &id::Route) -> Verdict {
        self.trials.get(route).map_or(Verdict::Undecided, Trial::verdict)
    }

    /// Returns whether the new version should get no request until those that wait are judged,
    /// because at least half of them failed.
    pub const fn is_suspended(&self) -> bool {
        SUSPENDING_ERRORS <= self.waiting_errors && self.waiting_requests <= 2 * self.waiting_errors
    }

    /// Returns whether the new version is bad.
    pub const fn is_rejected(&self) -> bool {
        self.is_rejected
    }

    /// Returns why the new version is bad, if it is, in words for the operator.
    pub fn rejection_reason(&self) -> Option<String> {
        let by_route = self
            .trials
            .iter()
            .find(|(_, trial)| trial.verdict() == Verdict::Rejected)
            .map(|(route, trial)| format!("route {route}: {}", trial.reason()));
        by_route.or_else(|| {
            let by = [(&self.all, "all routes together"), (&self.high, "under high load")];
            let (_, what) =
                by.into_iter().find(|(tests, _)| tests.verdict() == Verdict::Rejected)?;
            Some(format!("{what}: {}", self.summary()))
        })
    }

    /// Returns what both versions showed on each route, in words for the operator.
    pub fn summary(&self) -> String {
        let counts = |(route, trial): (&id::Route, &Trial)| {
            let (new, old) = (trial.new, trial.old.all);
            format!(
                "{route}: {} failed and {} slow of {}, old version {} and {} of {}",
                new.errors, new.slow, new.requests, old.errors, old.slow, old.requests
            )
        };
        self.trials.iter().map(counts).collect::<Vec<_>>().join("; ")
    }

    /// Returns whether the pace of all routes together was accepted.
    pub const fn is_latency_accepted(&self) -> bool {
        0 < self.all.slow.acceptances()
    }

    /// Returns whether no request of either version was counted.
    pub fn has_no_requests(&self) -> bool {
        self.trials.values().all(|trial| trial.new.requests + trial.old.all.requests == 0)
    }

    /// Returns the routes without an acceptance at or after `since`.
    pub fn unproven_routes(&self, since: Millis) -> Vec<&id::Route> {
        self.trials
            .iter()
            .filter(|(_, trial)| !trial.accepted_since(since))
            .map(|(route, _)| route)
            .collect()
    }

    /// Returns whether the evidence is on its way to a rejection on any route.
    pub fn leans_to_rejection(&self) -> bool {
        self.all.leans_to_rejection()
            || self.high.leans_to_rejection()
            || self.trials.values().any(|trial| trial.tests.leans_to_rejection())
    }

    /// Returns the trials by route.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Route, &Trial)> {
        self.trials.iter()
    }
}

impl Trial {
    /// Returns a trial for one of `routes` routes that share the false-alarm bound.
    fn new(routes: usize) -> Self {
        Self {
            tests: Tests::new(routes),
            old: Baseline::default(),
            new: Count::default(),
            held: Count::default(),
            held_latency: Count::default(),
            accepted: None,
        }
    }

    /// Takes requests of the new version into account, in the tests of all routes together too.
    fn add_new(&mut self, now: Millis, count: Count, errors: Rates, all: &mut Tests) {
        self.new.add(count);
        self.held.add(count);
        self.held_latency.add(count);
        let gross = gross(errors);
        for tests in [&mut self.tests, &mut *all] {
            tests.gross.add(count.requests, count.errors, gross);
        }
        let accepted = self.tests.acceptances();
        if self.old.is_latency_known() {
            let held = std::mem::take(&mut self.held_latency);
            let slow = self.old.slow();
            for tests in [&mut self.tests, &mut *all] {
                tests.slow.add(held.requests, held.slow, slow);
            }
        }
        if self.old.is_sure() {
            let held = std::mem::take(&mut self.held);
            for tests in [&mut self.tests, all] {
                tests.errors.add(held.requests, held.errors, errors);
            }
        }
        if accepted < self.tests.acceptances() {
            self.accepted = Some(now);
        }
    }

    /// Returns what the route shows so far.
    pub fn verdict(&self) -> Verdict {
        if self.tests.verdict() == Verdict::Rejected {
            Verdict::Rejected
        } else if self.accepted.is_some() {
            Verdict::Accepted
        } else {
            Verdict::Undecided
        }
    }

    /// Returns whether the version was accepted on this route at or after `since`.
    pub fn accepted_since(&self, since: Millis) -> bool {
        self.accepted.is_some_and(|accepted| since <= accepted)
    }

    /// Returns the new version's counts.
    pub const fn new_counts(&self) -> Count {
        self.new
    }

    /// Returns the old version's counts.
    pub const fn old_counts(&self) -> Count {
        self.old.all
    }

    /// Returns what made the trial reject, in words for the operator.
    fn reason(&self) -> String {
        let Count { requests, errors, slow } = self.new;
        let old = self.old.all;
        if self.tests.slow.verdict() == Verdict::Rejected {
            format!(
                "{slow} of {requests} requests slow, old version {} of {}",
                old.slow, old.requests
            )
        } else {
            format!(
                "{errors} of {requests} requests failed, old version {} of {}",
                old.errors, old.requests
            )
        }
    }
}

impl Tests {
    fn new(routes: usize) -> Self {
        let test = Test::new(bounds(routes));
        Self { errors: test, gross: test, slow: test }
    }

    fn each(&self) -> [&Test; 3] {
        [&self.errors, &self.gross, &self.slow]
    }

    fn verdict(&self) -> Verdict {
        if self.each().iter().any(|test| test.verdict() == Verdict::Rejected) {
            Verdict::Rejected
        } else if 0 < self.acceptances() {
            Verdict::Accepted
        } else {
            Verdict::Undecided
        }
    }

    fn leans_to_rejection(&self) -> bool {
        self.each()
            .iter()
            .any(|test| DOUBT * test.rejection_threshold() <= test.log_likelihood_ratio())
    }

    /// Returns how often both the tests of errors and of slowness have accepted.
    fn acceptances(&self) -> u32 {
        self.errors.acceptances().min(self.slow.acceptances())
    }
}

/// Returns the bounds of one test, where the tests of `routes` routes, of all routes together, of
/// requests under high load and of losses share [`FALSE_ALARM_PROBABILITY`].
pub(crate) fn bounds(routes: usize) -> Bounds {
    Bounds {
        false_alarm: FALSE_ALARM_PROBABILITY / (TESTS * PLACES * (routes + 3) as f64),
        miss: MISS_PROBABILITY,
    }
}
