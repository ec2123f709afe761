//! The old version's rates, against which the new one is judged.

use wasabi_protocol::clock::Millis;

use crate::{evidence::Count, sequential::Rates};

/// Rise of the error rate over the old version's that makes a version bad.
pub(crate) const ERRORS_RISE: f64 = 0.02;

/// Rise of the part of slow requests over the old version's that makes a version bad.
///
/// Slowness depends on load and neighbours too, so it needs a clearer difference than errors.
pub(crate) const SLOW_RISE: f64 = 0.2;

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
pub(crate) const RECENT_ERRORS_MIN: u64 = 5;

/// Recent errors of the old version over all routes, and their rate relative to its usual one,
/// from which on all routes count as failing for a cause that both versions share.
const OUTAGE_ERRORS_MIN: u64 = 10;
const OUTAGE_FACTOR: f64 = 3.0;

/// The old version's counts, in all and in the recent past.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Baseline {
    pub(crate) all: Count,
    recent: Count,
    previous: Count,
    since: Millis,
}

impl Baseline {
    /// Adds counts, of none too, so that the recent past moves on without traffic.
    pub(crate) fn add(&mut self, now: Millis, count: Count) {
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
    pub(crate) fn errors(&self, outage: Option<Count>) -> Rates {
        let recent = self.lately();
        let all = rate(self.all.errors, self.all.requests);
        let mut good = upper_rate(self.all.errors, self.all.requests);
        let mut known = all;
        let shared = Some(recent).filter(|recent| RECENT_ERRORS_MIN <= recent.errors);
        for Count { requests, errors, .. } in shared.into_iter().chain(outage) {
            good = good.max(upper_rate(errors, requests));
            known = known.max(rate(errors, requests));
        }
        rates(known, good.max(GOOD_MIN), ERRORS_RISE)
    }

    /// Returns the recent counts while the old version fails much more than usual.
    pub(crate) fn outage(&self) -> Option<Count> {
        let recent = self.lately();
        let usual = rate(self.all.errors, self.all.requests);
        let is_outage = OUTAGE_ERRORS_MIN <= recent.errors
            && OUTAGE_FACTOR * usual <= rate(recent.errors, recent.requests);
        is_outage.then_some(recent)
    }

    /// Returns the counts of the recent past.
    fn lately(&self) -> Count {
        let mut recent = self.recent;
        recent.add(self.previous);
        recent
    }

    pub(crate) fn slow(&self) -> Rates {
        slow_rates(&self.all)
    }

    /// Returns whether the old version's error rate is known well enough to accept the new one.
    pub(crate) fn is_sure(&self) -> bool {
        let unsure = upper_rate(self.all.errors, self.all.requests)
            - rate(self.all.errors, self.all.requests);
        unsure <= UNSURE_MAX * ERRORS_RISE
    }

    /// Returns whether the old version's part of slow requests is known well enough. It takes far
    /// fewer requests than the error rate, which a short move may never know.
    pub(crate) fn is_latency_known(&self) -> bool {
        let unsure =
            upper_rate(self.all.slow, self.all.requests) - rate(self.all.slow, self.all.requests);
        unsure <= UNSURE_MAX * SLOW_RISE
    }
}

pub(crate) fn slow_rates(old: &Count) -> Rates {
    let good = upper_rate(old.slow, old.requests).max(SLOW_GOOD_MIN);
    rates(rate(old.slow, old.requests), good, SLOW_RISE)
}

pub(crate) fn gross(rates: Rates) -> Rates {
    Rates { good: rates.good, bad: GROSS_RATE.max(2.0 * rates.good) }
}

pub(crate) fn rates(known: f64, good: f64, rise: f64) -> Rates {
    let good = good.min(GOOD_MAX);
    Rates { good, bad: (known + rise).max(1.5 * good).min(0.9) }
}

pub(crate) fn rate(failures: u64, requests: u64) -> f64 {
    failures as f64 / requests.max(1) as f64
}

pub(crate) fn upper_rate(failures: u64, requests: u64) -> f64 {
    (upper(failures) / requests.max(1) as f64).min(1.0)
}

/// Returns an upper bound of the mean behind a count, about two standard deviations up.
pub(crate) fn upper(count: u64) -> f64 {
    let count = count as f64;
    count + 2.0 * (count + 1.0).sqrt() + 1.0
}
