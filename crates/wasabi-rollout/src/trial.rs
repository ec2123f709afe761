//! Tests of the new version on each route against the old version over the same time.

use std::collections::{BTreeMap, VecDeque};

use wasabi_protocol::{clock::Millis, id};

use crate::{
    baseline::{
        Baseline, ERROR_RATE_INCREASE, RECENT_ERRORS_MIN, rate, rate_upper_bound, rates,
        severe_rates, slow_rates,
    },
    evidence::{Count, Counts},
    sequential::{Bounds, Rates, Test, Verdict},
};

/// Highest probability that any test of a move ever rejects a good version.
pub const FALSE_ALARM_PROBABILITY: f64 = 1e-4;

/// Highest probability that one round of a test accepts a bad version.
pub const MISS_PROBABILITY: f64 = 1e-2;

/// Time after which requests of the new version are evaluated, unless the move is short.
///
/// By then the old version's counts cover the same time span. Without the delay, the first errors
/// of an outage that both versions share would be blamed on the new version.
pub const EVALUATION_DELAY: Millis = Millis(3_000);

/// Shortest evaluation delay: two check-ins of an owner, so that the leader has the old version's
/// counts.
pub const EVALUATION_DELAY_MIN: Millis = Millis(1_000);

/// Divisor of a short move's duration that gives its evaluation delay. A failing version is
/// suspended while its requests wait, so a verdict takes several delays.
const EVALUATION_DELAY_DIVISOR: u64 = 10;

/// Errors among the requests that wait for evaluation from which the new version is suspended.
///
/// At 1,000 requests/s and a share of 10%, a version that always fails would otherwise receive 300
/// requests before its first errors are evaluated.
const SUSPENDING_ERRORS: u64 = 3;

/// Numbers of tests in a trial and of processes that run it (the pool owner and the control
/// leader), over which the false-alarm bound is split.
const TESTS_PER_TRIAL: f64 = 3.0;
const EVALUATORS: f64 = 2.0;

/// Requests of the old version under high load from which the new version's latency under high load
/// is tested.
const HIGH_LOAD_REQUESTS_MIN: u64 = 30;

/// Fraction of the rejection threshold from which a test leans towards a rejection.
const LEANING_FRACTION: f64 = 0.5;

/// The trials of all routes of a move, with tests over all routes and under high load.
///
/// The tests over all routes detect a fault of the whole version after far fewer requests than any
/// single route. They add up the log-likelihood ratios of the routes, each with its own rates,
/// because the versions do not get the same mix of routes. The tests over requests on highly loaded
/// endpoints detect a fault under load, which the other requests would outweigh.
#[derive(Debug, Clone)]
pub struct RouteTrials {
    trials: BTreeMap<id::Route, Trial>,
    all_routes: Tests,
    high_load: Tests,
    old: Baseline,
    old_high_load: Count,
    /// Requests of the new version that wait for evaluation, the oldest first.
    pending: VecDeque<Pending>,
    pending_requests: u64,
    pending_errors: u64,
    is_rejected: bool,
    routes: usize,
    evaluation_delay: Millis,
}

/// Requests of the new version on one route that wait for evaluation.
#[derive(Debug, Clone)]
struct Pending {
    since: Millis,
    route: id::Route,
    all: Count,
    high_load: Count,
}

/// Tests and counts of one route.
#[derive(Debug, Clone)]
pub struct Trial {
    tests: Tests,
    old: Baseline,
    new: Count,
    /// Requests that are not in the error tests yet, because the old version's error rate is
    /// unknown.
    held_for_errors: Count,
    /// Requests that are not in the slowness tests yet, because the old version's rate is unknown.
    held_for_latency: Count,
    /// Time of the last acceptance.
    accepted: Option<Millis>,
}

/// Sequential tests of one set of requests.
#[derive(Debug, Clone)]
struct Tests {
    errors: Test,
    /// Test for severe errors, which needs no well-known rate of the old version.
    severe: Test,
    slow: Test,
}

impl RouteTrials {
    /// Returns trials for a move that affects `routes` routes.
    pub fn new(routes: usize) -> Self {
        Self {
            trials: BTreeMap::new(),
            all_routes: Tests::new(routes),
            high_load: Tests::new(routes),
            old: Baseline::default(),
            old_high_load: Count::default(),
            pending: VecDeque::new(),
            pending_requests: 0,
            pending_errors: 0,
            is_rejected: false,
            routes,
            evaluation_delay: EVALUATION_DELAY,
        }
    }

    /// Adapts the evaluation delay to a move that takes `span`.
    #[must_use]
    pub fn with_duration(mut self, span: Millis) -> Self {
        let delay = Millis(span.0 / EVALUATION_DELAY_DIVISOR);
        self.evaluation_delay = delay.clamp(EVALUATION_DELAY_MIN, EVALUATION_DELAY);
        self
    }

    /// Adds requests on one route, and evaluates those whose evaluation delay has passed.
    pub fn add(&mut self, now: Millis, route: &id::Route, counts: Counts) {
        if !self.trials.contains_key(route) {
            self.trials.insert(route.clone(), Trial::new(self.routes));
        }
        self.old.add(now, counts.old);
        self.old_high_load.add(counts.old_high_load);
        if let Some(trial) = self.trials.get_mut(route) {
            trial.old.add(now, counts.old);
        }
        if 0 < counts.new.requests {
            self.pending_requests += counts.new.requests;
            self.pending_errors += counts.new.errors;
            self.pending.push_back(Pending {
                since: now,
                route: route.clone(),
                all: counts.new,
                high_load: counts.new_high_load,
            });
        }
        self.evaluate(now);
    }

    /// Evaluates the requests of the new version that have waited for [`EVALUATION_DELAY`], or less
    /// in a short move.
    pub fn evaluate(&mut self, now: Millis) {
        while self
            .pending
            .front()
            .is_some_and(|first| self.evaluation_delay <= now.since(first.since))
        {
            let Some(pending) = self.pending.pop_front() else { return };
            self.pending_requests -= pending.all.requests;
            self.pending_errors -= pending.all.errors;
            let Some(trial) = self.trials.get_mut(&pending.route) else { continue };
            let errors = trial.old.error_rates(self.old.outage());
            trial.add_new(now, pending.all, errors, &mut self.all_routes);
            if 0 < pending.high_load.requests {
                let errors = trial.old.is_error_rate_known().then_some(errors);
                self.add_high_load(pending.high_load, errors);
            }
            let is_rejected = |tests: &Tests| tests.verdict() == Verdict::Rejected;
            let route = self.trials.get(&pending.route).map(|trial| &trial.tests);
            self.is_rejected |= [Some(&self.all_routes), Some(&self.high_load), route]
                .into_iter()
                .flatten()
                .any(is_rejected);
        }
    }

    /// Adds requests of the new version under high load.
    ///
    /// The old version's rate under high load is used if it is higher than its rate at any load.
    /// `errors` holds the route's error rates once the old version's rate is known.
    fn add_high_load(&mut self, new: Count, errors: Option<Rates>) {
        let old = self.old_high_load;
        if HIGH_LOAD_REQUESTS_MIN <= old.requests {
            self.high_load.slow.add(new.requests, new.slow, slow_rates(&old));
        }
        let Some(mut errors) = errors else { return };
        if RECENT_ERRORS_MIN <= old.errors {
            let good = errors.good.max(rate_upper_bound(old.errors, old.requests));
            errors = rates(rate(old.errors, old.requests), good, ERROR_RATE_INCREASE);
        }
        self.high_load.errors.add(new.requests, new.errors, errors);
        self.high_load.severe.add(new.requests, new.errors, severe_rates(errors));
    }

    /// Returns the verdict on a route so far.
    pub fn verdict(&self, route: &id::Route) -> Verdict {
        self.trials.get(route).map_or(Verdict::Undecided, Trial::verdict)
    }

    /// Returns whether the new version should get no requests until the pending ones are evaluated,
    /// because at least half of them failed.
    pub const fn is_suspended(&self) -> bool {
        SUSPENDING_ERRORS <= self.pending_errors && self.pending_requests <= 2 * self.pending_errors
    }

    /// Returns whether any test rejected the new version.
    pub const fn is_rejected(&self) -> bool {
        self.is_rejected
    }

    /// Returns the reason for the operator if the new version was rejected.
    pub fn rejection_reason(&self) -> Option<String> {
        let of_route = self
            .trials
            .iter()
            .find(|(_, trial)| trial.verdict() == Verdict::Rejected)
            .map(|(route, trial)| format!("route {route}: {}", trial.reason()));
        of_route.or_else(|| {
            let overall =
                [(&self.all_routes, "all routes together"), (&self.high_load, "under high load")];
            let (_, scope) =
                overall.into_iter().find(|(tests, _)| tests.verdict() == Verdict::Rejected)?;
            Some(format!("{scope}: {}", self.summary()))
        })
    }

    /// Returns the counts of both versions on each route as text for the operator.
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

    /// Returns whether the latency over all routes was accepted.
    pub const fn is_latency_accepted(&self) -> bool {
        0 < self.all_routes.slow.acceptances()
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

    /// Returns whether any test leans towards a rejection.
    pub fn leans_to_rejection(&self) -> bool {
        self.all_routes.leans_to_rejection()
            || self.high_load.leans_to_rejection()
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
            held_for_errors: Count::default(),
            held_for_latency: Count::default(),
            accepted: None,
        }
    }

    /// Adds requests of the new version to the tests of this route and of all routes.
    fn add_new(&mut self, now: Millis, count: Count, errors: Rates, all: &mut Tests) {
        self.new.add(count);
        self.held_for_errors.add(count);
        self.held_for_latency.add(count);
        let severe = severe_rates(errors);
        for tests in [&mut self.tests, &mut *all] {
            tests.severe.add(count.requests, count.errors, severe);
        }
        let accepted = self.tests.acceptances();
        if self.old.is_slow_rate_known() {
            let held = std::mem::take(&mut self.held_for_latency);
            let slow = self.old.slow_rates();
            for tests in [&mut self.tests, &mut *all] {
                tests.slow.add(held.requests, held.slow, slow);
            }
        }
        if self.old.is_error_rate_known() {
            let held = std::mem::take(&mut self.held_for_errors);
            for tests in [&mut self.tests, all] {
                tests.errors.add(held.requests, held.errors, errors);
            }
        }
        if accepted < self.tests.acceptances() {
            self.accepted = Some(now);
        }
    }

    /// Returns the verdict on the route so far.
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

    /// Returns the reason for a rejection as text for the operator.
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
        Self { errors: test, severe: test, slow: test }
    }

    fn each(&self) -> [&Test; 3] {
        [&self.errors, &self.severe, &self.slow]
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
        self.each().iter().any(|test| {
            LEANING_FRACTION * test.rejection_threshold() <= test.log_likelihood_ratio()
        })
    }

    /// Returns how many rounds both the error test and the slowness test have accepted.
    fn acceptances(&self) -> u32 {
        self.errors.acceptances().min(self.slow.acceptances())
    }
}

/// Returns the bounds of one test. The tests of `routes` routes, of all routes together, of
/// requests under high load and of losses share [`FALSE_ALARM_PROBABILITY`].
pub(crate) fn bounds(routes: usize) -> Bounds {
    Bounds {
        false_alarm: FALSE_ALARM_PROBABILITY / (TESTS_PER_TRIAL * EVALUATORS * (routes + 3) as f64),
        miss: MISS_PROBABILITY,
    }
}
