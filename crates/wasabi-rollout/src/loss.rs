//! Lost endpoints and links of the new version against the old one, by endpoint time.
//!
//! A dead endpoint breaks its whole batch, so its requests are not independent failures, and a
//! lone replica with a small share dies as often as a busy one. Losses are therefore counted as
//! events and compared by the time that endpoints were up, not by requests.

use wasabi_protocol::clock::Millis;

use crate::{
    baseline,
    credit::Side,
    sequential::{Rates, Test, Verdict},
    trial,
};

/// Lowest rate of losses that counts as good, per second of one endpoint: one in six hours.
const GOOD_MIN: f64 = 1.0 / 21_600.0;

/// Endpoint time without a loss that the old version is credited with before it was seen, in
/// seconds. Without it a move's first minutes could not tell a crashing version from a good one.
const PRIOR_S: f64 = 21_600.0;

/// Lowest rate of losses that is bad, per second of one endpoint: one in five minutes.
const BAD_MIN: f64 = 1.0 / 300.0;

/// Least factor between the two rates.
const FACTOR_MIN: f64 = 10.0;

/// Losses of both versions in one pool.
#[derive(Debug, Clone)]
pub struct LossTest {
    test: Test,
    old: Seen,
    new: Seen,
}

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    events: u64,
    seconds: f64,
}

impl LossTest {
    /// Returns a trial that shares the false-alarm bound with those of `routes` routes.
    pub fn new(routes: usize) -> Self {
        Self { test: Test::new(trial::bounds(routes)), old: Seen::default(), new: Seen::default() }
    }

    /// Takes `events` losses into account among `endpoints` endpoints that were up for `span`.
    pub fn add(&mut self, side: Side, events: u64, endpoints: usize, span: Millis) {
        let seconds = endpoints as f64 * span.seconds();
        let seen = if side == Side::Old { &mut self.old } else { &mut self.new };
        seen.events += events;
        seen.seconds += seconds;
        if side == Side::Old {
            return;
        }
        let good = (baseline::upper(self.old.events) / (PRIOR_S + self.old.seconds)).max(GOOD_MIN);
        let rates = Rates { good, bad: BAD_MIN.max(FACTOR_MIN * good) };
        self.test.add_events(events, seconds, rates);
    }

    /// Returns what the losses show, if the new version is bad, in words for the operator.
    pub fn rejection_reason(&self) -> Option<String> {
        (self.test.verdict() == Verdict::Rejected).then(|| {
            format!(
                "endpoints or links were lost {} times in {:.0} s of endpoint time, old version {} in {:.0} s",
                self.new.events, self.new.seconds, self.old.events, self.old.seconds
            )
        })
    }
}
