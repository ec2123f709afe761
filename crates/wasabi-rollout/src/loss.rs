//! Comparison of lost endpoints and links of the new version with the old one, per endpoint time.
//!
//! A dead endpoint fails its whole batch, so its requests are not independent failures, and a
//! single replica with a small share dies as often as a busy one. Losses are therefore counted as
//! events and compared by endpoint uptime, not by requests.

use wasabi_protocol::clock::Millis;

use crate::{
    baseline,
    credit::Side,
    sequential::{Rates, Test, Verdict},
    trial,
};

/// Lowest loss rate used as the good rate, in losses per second of one endpoint: one in six hours.
const GOOD_RATE_MIN: f64 = 1.0 / 21_600.0;

/// Loss-free endpoint time that is assumed for the old version before the first observation, in
/// seconds. Without it, a crashing version could not be distinguished from a good one in the first
/// minutes of a move.
const PRIOR_S: f64 = 21_600.0;

/// Lowest loss rate that is bad, in losses per second of one endpoint: one in five minutes.
const BAD_RATE_MIN: f64 = 1.0 / 300.0;

/// Smallest factor between the good and the bad rate.
const RATE_FACTOR_MIN: f64 = 10.0;

/// Sequential test of the losses of the new version in one pool.
#[derive(Debug, Clone)]
pub struct LossTest {
    test: Test,
    old: Totals,
    new: Totals,
}

/// Losses and endpoint uptime of one version.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    events: u64,
    endpoint_s: f64,
}

impl LossTest {
    /// Returns a test that shares the false-alarm bound with the trials of `routes` routes.
    pub fn new(routes: usize) -> Self {
        Self {
            test: Test::new(trial::bounds(routes)),
            old: Totals::default(),
            new: Totals::default(),
        }
    }

    /// Adds `events` losses among `endpoints` endpoints that were up for `span`.
    pub fn add(&mut self, side: Side, events: u64, endpoints: usize, span: Millis) {
        let endpoint_s = endpoints as f64 * span.seconds();
        let totals = if side == Side::Old { &mut self.old } else { &mut self.new };
        totals.events += events;
        totals.endpoint_s += endpoint_s;
        if side == Side::Old {
            return;
        }
        let good = (baseline::upper_bound(self.old.events) / (PRIOR_S + self.old.endpoint_s))
            .max(GOOD_RATE_MIN);
        let rates = Rates { good, bad: BAD_RATE_MIN.max(RATE_FACTOR_MIN * good) };
        self.test.add_events(events, endpoint_s, rates);
    }

    /// Returns the reason for the operator if the losses reject the new version.
    pub fn rejection_reason(&self) -> Option<String> {
        (self.test.verdict() == Verdict::Rejected).then(|| {
            format!(
                "endpoints or links were lost {} times in {:.0} s of endpoint time, old version {} in {:.0} s",
                self.new.events, self.new.endpoint_s, self.old.events, self.old.endpoint_s
            )
        })
    }
}
