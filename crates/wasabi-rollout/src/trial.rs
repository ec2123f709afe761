//! The tests of the new version on each route, against the old version side by side in time.

use std::collections::BTreeMap;

use wasabi_protocol::{clock::Millis, id};

use crate::{
    evidence::Count,
    sequential::{Bounds, Rates, Test, Verdict},
};

/// Highest probability that a good version is rejected by any test of a move, at any time.
pub const FALSE_ALARM: f64 = 1e-4;

/// Highest probability that one round accepts a bad version.
pub const MISS: f64 = 1e-2;

/// Rise of the error rate over the old version's that makes a version bad.
pub const ERRORS_RISE: f64 = 0.02;

/// Rise of the part of slow requests over the old version's that makes a version bad.
///
/// Slowness depends on load and neighbours too, so it needs a clearer difference than errors.
pub const SLOW_RISE: f64 = 0.2;

/// Error rate that makes a version bad at once, before the old version's rate is well known.
const GROSS_RATE: f64 = 0.5;

/// Lowest rate that counts as good. A rate of 0 would reject at the first error.
const GOOD_MIN: f64 = 0.001;
const GOOD_MAX: f64 = 0.4;

/// Lowest part of slow requests that counts as good. The reference is learned and drifts.
const SLOW_GOOD_MIN: f64 = 0.05;

/// Uncertainty of the old version's rate, as a part of the rise, up to which a test may accept.
///
/// With more, the good rate would come close to the bad one, and an acceptance would say nothing.
const UNSURE_MAX: f64 = 0.5;

/// Span of the recent past that the old version's rate is also taken from.
const RECENT: Millis = Millis::from_secs(10);

/// Errors of the old version in the recent past from which on its recent rate is believed.
const RECENT_ERRORS_MIN: u64 = 5;

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
pub struct Set {
    trials: BTreeMap<id::Route, Trial>,
    all: Tests,
    high: Tests,
    old_high: Count,
    routes: usize,
}

/// What one route shows of the new version.
#[derive(Debug, Clone)]
pub struct Trial {
    tests: Tests,
    old: Baseline,
    new: Count,
    held: Count,
    accepted: Option<Millis>,
}

#[derive(Debug, Clone)]
struct Tests {
    errors: Test,
    gross: Test,
    slow: Test,
}

/// The old version's counts, in all and in the recent past.
#[derive(Debug, Clone, Copy, Default)]
struct Baseline {
    all: Count,
    recent: Count,
    previous: Count,
    since: Millis,
}

impl Set {
    /// Returns trials for a move that concerns `routes` routes.
    pub fn new(routes: usize) -> Self {
        Self {
            trials: BTreeMap::new(),
            all: Tests::new(routes),
            high: Tests::new(routes),
            old_high: Count::default(),
            routes,
        }
    }

    /// Takes requests of the old and the new version on one route into account, and returns what
    /// the route and all routes together show after it.
    pub fn add(&mut self, now: Millis, route: &id::Route, [old, new]: [Count; 2]) -> Verdict {
        if !self.trials.contains_key(route) {
            self.trials.insert(route.clone(), Trial::new(self.routes));
        }
        let Some(trial) = self.trials.get_mut(route) else { return Verdict::Open };
        trial.old.add(now, old);
        if 0 < new.requests {
            trial.add_new(now, new, &mut self.all);
        }
        if self.all.verdict() == Verdict::Rejected { Verdict::Rejected } else { trial.verdict() }
    }

    /// Takes errors under high load into account, after [`Self::add`] took the same requests, and
    /// returns what they show.
    ///
    /// The old version's rate under high load counts when it is higher than its rate at any load.
    pub fn add_high_load(
        &mut self,
        now: Millis,
        route: &id::Route,
        [old, new]: [Count; 2],
    ) -> Verdict {
        self.old_high.add(old);
        let Some(trial) = self.trials.get(route) else { return Verdict::Open };
        if !trial.old.is_sure() || new.requests == 0 {
            return Verdict::Open;
        }
        let mut rates = trial.old.errors(now);
        if RECENT_ERRORS_MIN <= self.old_high.errors {
            let Count { requests, errors, .. } = self.old_high;
            let good = rates.good.max(upper_rate(errors, requests));
            rates = self::rates(rate(errors, requests), good, ERRORS_RISE);
        }
        if HIGH_LOAD_MIN <= self.old_high.requests {
            let slow = slow_rates(&self.old_high);
            self.high.slow.add(new.requests, new.slow, slow);
        }
        self.high.errors.add(new.requests, new.errors, rates);
        self.high.gross.add(new.requests, new.errors, gross(rates));
        self.high.verdict()
    }

    /// Returns what a route shows so far.
    pub fn verdict(&self, route: &id::Route) -> Verdict {
        self.trials.get(route).map_or(Verdict::Open, Trial::verdict)
    }

    /// Returns why the new version is bad, if it is, in words for the operator.
    pub fn rejected(&self) -> Option<String> {
        let by_route = self
            .trials
            .iter()
            .find(|(_, trial)| trial.verdict() == Verdict::Rejected)
            .map(|(route, trial)| format!("route {route}: {}", trial.reason()));
        by_route.or_else(|| {
            let by = [(&self.all, "all routes together"), (&self.high, "under high load")];
            let (_, what) =
                by.into_iter().find(|(tests, _)| tests.verdict() == Verdict::Rejected)?;
            Some({
                let counts = |(route, trial): (&id::Route, &Trial)| {
                    let Count { requests, errors, slow } = trial.new;
                    format!("{route}: {errors} failed and {slow} slow of {requests}")
                };
                let routes = self.trials.iter().map(counts).collect::<Vec<_>>();
                format!("{what}: {}", routes.join(", "))
            })
        })
    }

    /// Returns the routes without an acceptance at or after `since`.
    pub fn unproven(&self, since: Millis) -> Vec<&id::Route> {
        self.trials
            .iter()
            .filter(|(_, trial)| !trial.accepted_since(since))
            .map(|(route, _)| route)
            .collect()
    }

    /// Returns whether the evidence is on its way to a rejection on any route.
    pub fn is_doubtful(&self) -> bool {
        self.all.is_doubtful()
            || self.high.is_doubtful()
            || self.trials.values().any(|trial| trial.tests.is_doubtful())
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
            accepted: None,
        }
    }

    /// Takes requests of the new version into account, in the tests of all routes together too.
    fn add_new(&mut self, now: Millis, count: Count, all: &mut Tests) {
        self.new.add(count);
        self.held.add(count);
        let errors = self.old.errors(now);
        let gross = gross(errors);
        for tests in [&mut self.tests, &mut *all] {
            tests.gross.add(count.requests, count.errors, gross);
        }
        if !self.old.is_sure() {
            return;
        }
        let held = std::mem::take(&mut self.held);
        let accepted = self.tests.acceptances();
        let slow = self.old.slow();
        for tests in [&mut self.tests, all] {
            tests.errors.add(held.requests, held.errors, errors);
            tests.slow.add(held.requests, held.slow, slow);
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
            Verdict::Open
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
            Verdict::Open
        }
    }

    fn is_doubtful(&self) -> bool {
        self.each().iter().any(|test| DOUBT * test.reject_at() <= test.ratio())
    }

    /// Returns how often both the tests of errors and of slowness have accepted.
    fn acceptances(&self) -> u32 {
        self.errors.acceptances().min(self.slow.acceptances())
    }
}

impl Baseline {
    fn add(&mut self, now: Millis, count: Count) {
        if RECENT <= now.since(self.since) {
            self.previous = if now.since(self.since) < RECENT + RECENT {
                self.recent
            } else {
                Count::default()
            };
            self.recent = Count::default();
            self.since = now;
        }
        self.all.add(count);
        self.recent.add(count);
    }

    /// Returns the rates for errors: the old version's, and the one that makes the new one bad.
    ///
    /// While the old version fails more than usual just now, for a cause that both versions may
    /// share, its recent rate counts.
    fn errors(&self, now: Millis) -> Rates {
        let mut recent = self.recent;
        recent.add(self.previous);
        let is_recent = now.since(self.since) < RECENT + RECENT;
        let all = rate(self.all.errors, self.all.requests);
        let mut good = upper_rate(self.all.errors, self.all.requests);
        let mut known = all;
        if is_recent && RECENT_ERRORS_MIN <= recent.errors {
            good = good.max(upper_rate(recent.errors, recent.requests));
            known = known.max(rate(recent.errors, recent.requests));
        }
        rates(known, good.max(GOOD_MIN), ERRORS_RISE)
    }

    fn slow(&self) -> Rates {
        slow_rates(&self.all)
    }

    /// Returns whether the old version's error rate is known well enough to accept the new one.
    fn is_sure(&self) -> bool {
        let unsure = upper_rate(self.all.errors, self.all.requests)
            - rate(self.all.errors, self.all.requests);
        unsure <= UNSURE_MAX * ERRORS_RISE
    }
}

fn slow_rates(old: &Count) -> Rates {
    let good = upper_rate(old.slow, old.requests).max(SLOW_GOOD_MIN);
    rates(rate(old.slow, old.requests), good, SLOW_RISE)
}

fn gross(rates: Rates) -> Rates {
    Rates { good: rates.good, bad: GROSS_RATE.max(2.0 * rates.good) }
}

fn rates(known: f64, good: f64, rise: f64) -> Rates {
    let good = good.min(GOOD_MAX);
    Rates { good, bad: (known + rise).max(1.5 * good).min(0.9) }
}

fn rate(failures: u64, requests: u64) -> f64 {
    failures as f64 / requests.max(1) as f64
}

fn upper_rate(failures: u64, requests: u64) -> f64 {
    (upper(failures) / requests.max(1) as f64).min(1.0)
}

/// Returns an upper bound of the mean behind a count, about two standard deviations up.
pub(crate) fn upper(count: u64) -> f64 {
    let count = count as f64;
    count + 2.0 * (count + 1.0).sqrt() + 1.0
}

/// Returns the bounds of one test, where the tests of `routes` routes, of all routes together, of
/// requests under high load and of losses share [`FALSE_ALARM`].
pub(crate) fn bounds(routes: usize) -> Bounds {
    Bounds { false_alarm: FALSE_ALARM / (TESTS * PLACES * (routes + 3) as f64), miss: MISS }
}
