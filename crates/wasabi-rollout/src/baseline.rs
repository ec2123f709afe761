//! Failure rates of the old version, which the new version is compared with.

use wasabi_protocol::clock::Millis;

use crate::{evidence::Count, sequential::Rates};

/// Increase of the error rate over the old version's rate from which a version is bad.
pub(crate) const ERROR_RATE_INCREASE: f64 = 0.02;

/// Increase of the fraction of slow requests over the old version's from which a version is bad.
///
/// Latency also depends on load and on other requests, so it needs a larger difference than
/// errors do.
pub(crate) const SLOW_RATE_INCREASE: f64 = 0.2;

/// Error rate from which a version is bad even before the old version's rate is well known.
const SEVERE_ERROR_RATE: f64 = 0.5;

/// Lowest error rate used as the good rate. A good rate of 0 would reject at the first error.
const GOOD_RATE_MIN: f64 = 0.001;
const GOOD_RATE_MAX: f64 = 0.4;

/// Lowest fraction of slow requests used as the good rate, because the latency reference is learned
/// and drifts.
const GOOD_SLOW_RATE_MIN: f64 = 0.05;

/// Highest uncertainty of the old version's rate, as a fraction of the increase, at which a test
/// may accept.
///
/// With a higher uncertainty the good rate would come close to the bad rate, and accepting would
/// mean nothing.
const UNCERTAINTY_MAX: f64 = 0.5;

/// Length of the window in which the old version's recent rate is counted.
const RECENT_WINDOW: Millis = Millis::from_secs(10);

/// Recent errors of the old version from which its recent rate is used.
pub(crate) const RECENT_ERRORS_MIN: u64 = 5;

/// Recent errors of the old version over all routes, and the factor between its recent and its
/// overall error rate, from which a failure is taken as an outage that both versions share.
const OUTAGE_ERRORS_MIN: u64 = 10;
const OUTAGE_FACTOR: f64 = 3.0;

/// Counts of the old version, overall and recent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Baseline {
    pub(crate) all: Count,
    /// Counts of the current window.
    recent: Count,
    /// Counts of the window before the current one.
    previous: Count,
    window_start: Millis,
}

impl Baseline {
    /// Adds counts. Call it with an empty count too, so that the window advances without traffic.
    pub(crate) fn add(&mut self, now: Millis, count: Count) {
        if RECENT_WINDOW <= now.since(self.window_start) {
            self.previous = if now.since(self.window_start) < RECENT_WINDOW + RECENT_WINDOW {
                self.recent
            } else {
                Count::default()
            };
            self.recent = Count::default();
            self.window_start = now;
        }
        self.all.add(count);
        self.recent.add(count);
    }

    /// Returns the good and the bad error rate for the new version.
    ///
    /// While the old version fails more often than usual, its recent rate is used, because both
    /// versions may share the cause.
    pub(crate) fn error_rates(&self, outage: Option<Count>) -> Rates {
        let recent = self.recent_counts();
        let overall = rate(self.all.errors, self.all.requests);
        let mut good = rate_upper_bound(self.all.errors, self.all.requests);
        let mut known = overall;
        let shared = Some(recent).filter(|recent| RECENT_ERRORS_MIN <= recent.errors);
        for Count { requests, errors, .. } in shared.into_iter().chain(outage) {
            good = good.max(rate_upper_bound(errors, requests));
            known = known.max(rate(errors, requests));
        }
        rates(known, good.max(GOOD_RATE_MIN), ERROR_RATE_INCREASE)
    }

    /// Returns the recent counts while the old version fails much more often than usual.
    pub(crate) fn outage(&self) -> Option<Count> {
        let recent = self.recent_counts();
        let usual = rate(self.all.errors, self.all.requests);
        let is_outage = OUTAGE_ERRORS_MIN <= recent.errors
            && OUTAGE_FACTOR * usual <= rate(recent.errors, recent.requests);
        is_outage.then_some(recent)
    }

    /// Returns the counts of the current and the previous window.
    fn recent_counts(&self) -> Count {
        let mut recent = self.recent;
        recent.add(self.previous);
        recent
    }

    /// Returns the good and the bad fraction of slow requests for the new version.
    pub(crate) fn slow_rates(&self) -> Rates {
        slow_rates(&self.all)
    }

    /// Returns whether the old version's error rate is known well enough to accept the new version.
    pub(crate) fn is_error_rate_known(&self) -> bool {
        let uncertainty = rate_upper_bound(self.all.errors, self.all.requests)
            - rate(self.all.errors, self.all.requests);
        uncertainty <= UNCERTAINTY_MAX * ERROR_RATE_INCREASE
    }

    /// Returns whether the old version's fraction of slow requests is known well enough to accept
    /// the new version.
    ///
    /// This takes far fewer requests than the error rate, which may never be known well enough in a
    /// short move.
    pub(crate) fn is_slow_rate_known(&self) -> bool {
        let uncertainty = rate_upper_bound(self.all.slow, self.all.requests)
            - rate(self.all.slow, self.all.requests);
        uncertainty <= UNCERTAINTY_MAX * SLOW_RATE_INCREASE
    }
}

pub(crate) fn slow_rates(old: &Count) -> Rates {
    let good = rate_upper_bound(old.slow, old.requests).max(GOOD_SLOW_RATE_MIN);
    rates(rate(old.slow, old.requests), good, SLOW_RATE_INCREASE)
}

/// Returns the rates for a test that only detects severe failures.
pub(crate) fn severe_rates(rates: Rates) -> Rates {
    Rates { good: rates.good, bad: SEVERE_ERROR_RATE.max(2.0 * rates.good) }
}

pub(crate) fn rates(known: f64, good: f64, increase: f64) -> Rates {
    let good = good.min(GOOD_RATE_MAX);
    Rates { good, bad: (known + increase).max(1.5 * good).min(0.9) }
}

pub(crate) fn rate(failures: u64, requests: u64) -> f64 {
    failures as f64 / requests.max(1) as f64
}

pub(crate) fn rate_upper_bound(failures: u64, requests: u64) -> f64 {
    (upper_bound(failures) / requests.max(1) as f64).min(1.0)
}

/// Returns an upper bound of the mean behind a count, about two standard deviations above it.
pub(crate) fn upper_bound(count: u64) -> f64 {
    let count = count as f64;
    count + 2.0 * (count + 1.0).sqrt() + 1.0
}
