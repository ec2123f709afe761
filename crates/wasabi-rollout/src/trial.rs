//! The tests of the new version on one route, against the old version side by side in time.

use wasabi_protocol::clock::Millis;

use crate::{
    evidence::Count,
    sequential::{Bounds, Rates, Test, Verdict},
};

/// Highest probability that a good version fails one route's tests at one place.
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
const GROSS_RATE: f64 = 0.3;

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

/// What one route shows of the new version.
#[derive(Debug, Clone)]
pub struct Trial {
    errors: Test,
    gross: Test,
    slow: Test,
    old: Baseline,
    new: Count,
    held: Count,
    accepted: Option<Millis>,
}

/// The old version's counts, in all and in the recent past.
#[derive(Debug, Clone, Copy, Default)]
struct Baseline {
    all: Count,
    recent: Count,
    previous: Count,
    since: Millis,
}

impl Trial {
    /// Returns a trial for one of `routes` routes that share the false-alarm bound.
    pub fn new(routes: usize) -> Self {
        let false_alarm = FALSE_ALARM / (TESTS * PLACES * routes.max(1) as f64);
        let test = Test::new(Bounds { false_alarm, miss: MISS });
        Self {
            errors: test,
            gross: test,
            slow: test,
            old: Baseline::default(),
            new: Count::default(),
            held: Count::default(),
            accepted: None,
        }
    }

    /// Takes requests of the old version into account.
    pub fn add_old(&mut self, now: Millis, count: Count) {
        self.old.add(now, count);
    }

    /// Takes requests of the new version into account.
    pub fn add_new(&mut self, now: Millis, count: Count) {
        if count.requests == 0 {
            return;
        }
        self.new.add(count);
        self.held.add(count);
        let gross_good = self.old.errors(now).good;
        let gross = Rates { good: gross_good, bad: GROSS_RATE.max(2.0 * gross_good) };
        self.gross.add(count.requests, count.errors, gross);
        if !self.old.is_sure() {
            return;
        }
        let held = std::mem::take(&mut self.held);
        let accepted = self.acceptances();
        self.errors.add(held.requests, held.errors, self.old.errors(now));
        self.slow.add(held.requests, held.slow, self.old.slow());
        if accepted < self.acceptances() {
            self.accepted = Some(now);
        }
    }

    /// Returns what the route shows so far.
    pub fn verdict(&self) -> Verdict {
        let verdicts = [self.errors.verdict(), self.gross.verdict(), self.slow.verdict()];
        if verdicts.contains(&Verdict::Rejected) {
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
    pub fn reason(&self) -> String {
        let Count { requests, errors, slow } = self.new;
        let old = self.old.all;
        if self.slow.verdict() == Verdict::Rejected {
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

    /// Returns how often both tests have accepted.
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
        let mut good = upper(self.all.errors, self.all.requests);
        let mut known = all;
        if is_recent && RECENT_ERRORS_MIN <= recent.errors {
            good = good.max(upper(recent.errors, recent.requests));
            known = known.max(rate(recent.errors, recent.requests));
        }
        rates(known, good.max(GOOD_MIN), ERRORS_RISE)
    }

    fn slow(&self) -> Rates {
        let good = upper(self.all.slow, self.all.requests).max(SLOW_GOOD_MIN);
        rates(rate(self.all.slow, self.all.requests), good, SLOW_RISE)
    }

    /// Returns whether the old version's error rate is known well enough to accept the new one.
    fn is_sure(&self) -> bool {
        let unsure =
            upper(self.all.errors, self.all.requests) - rate(self.all.errors, self.all.requests);
        unsure <= UNSURE_MAX * ERRORS_RISE
    }
}

fn rates(known: f64, good: f64, rise: f64) -> Rates {
    let good = good.min(GOOD_MAX);
    Rates { good, bad: (known + rise).max(1.5 * good).min(0.9) }
}

fn rate(failures: u64, requests: u64) -> f64 {
    failures as f64 / requests.max(1) as f64
}

/// Returns an upper bound of the rate behind the counts, about two standard deviations up.
fn upper(failures: u64, requests: u64) -> f64 {
    let failures = failures as f64;
    ((failures + 2.0 * (failures + 1.0).sqrt() + 1.0) / requests.max(1) as f64).min(1.0)
}
