//! The in-flight bound of one endpoint, learned from its own progress.

use wasabi_protocol::clock::Millis;

/// Time per token, relative to the endpoint's own kind, up to which the bound grows.
///
/// Batches of one kind differ by about a quarter through request lengths alone.
pub const PACE_TOLERANCE: f64 = 1.25;

/// Factor by which the bound falls when the endpoint is slower than its kind.
///
/// A factor of 0.7 cost a quarter of the capacity of healthy endpoints in the load measurements,
/// where long prompts slow an endpoint down for a second or two.
const DECREASE: f64 = 0.85;

/// Least time between two decreases, in milliseconds.
///
/// Requests that ran together report the same slow time; only one of them may lower the bound.
const DECREASE_EVERY: Millis = Millis(2_000);

/// Growth of the bound for as many good samples as the bound counts.
const INCREASE: f64 = 2.0;

/// How many requests an endpoint may run at one time.
#[derive(Debug, Clone)]
pub struct Bound {
    limit: f64,
    announced: u32,
    decreased: Option<Millis>,
}

impl Bound {
    /// Returns the bound of an endpoint that announced this concurrency.
    pub fn new(announced: u32) -> Self {
        Self { limit: f64::from(announced.max(1)), announced: announced.max(1), decreased: None }
    }

    /// Follows a changed announcement.
    pub fn set_announced(&mut self, concurrency: u32) {
        let concurrency = concurrency.max(1);
        if concurrency == self.announced {
            return;
        }
        let ratio = f64::from(concurrency) / f64::from(self.announced);
        self.limit = (self.limit * ratio).clamp(1.0, f64::from(concurrency));
        self.announced = concurrency;
    }

    /// Learns from one finished request: its pace relative to the endpoint's kind, where 1 is the
    /// kind's median and larger is slower.
    pub fn observe(&mut self, now: Millis, pace: f64) {
        if pace <= PACE_TOLERANCE {
            self.limit = (self.limit + INCREASE / self.limit).min(f64::from(self.announced));
            return;
        }
        if self.decreased.is_some_and(|at| now.since(at) < DECREASE_EVERY) {
            return;
        }
        self.decreased = Some(now);
        self.limit = (self.limit * DECREASE).max(1.0);
    }

    /// Returns how many requests may run at one time; at least 1 and at most the announced
    /// concurrency.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.announced)
    }
}
