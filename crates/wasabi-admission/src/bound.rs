//! The adaptive in-flight bound of one endpoint: additive increase, multiplicative decrease by
//! the endpoint's time per token.

use wasabi_protocol::clock::Millis;

/// Time per token, relative to the median of the endpoint's class, up to which the bound grows.
///
/// Batches of one class differ by about a quarter through request lengths alone.
pub const SLOWDOWN_TOLERANCE: f64 = 1.25;

/// Factor applied to the bound when the endpoint is slower than its class.
///
/// A factor of 0.7 cost healthy endpoints a quarter of their capacity under load, because long
/// prompts slow an endpoint down for a second or two.
const DECREASE_FACTOR: f64 = 0.85;

/// Minimum time between two decreases, in milliseconds.
///
/// Requests of one batch report the same slow time, and only one of them may lower the bound.
const DECREASE_INTERVAL: Millis = Millis(2_000);

/// Increase of the bound for each full round of good samples, one per request in the bound.
const INCREASE_PER_ROUND: f64 = 2.0;

/// The number of requests that an endpoint may run concurrently.
#[derive(Debug, Clone)]
pub struct Bound {
    limit: f64,
    announced: u32,
    last_decrease: Option<Millis>,
}

impl Bound {
    /// Returns the initial bound of an endpoint: the concurrency that it announced.
    pub fn new(announced: u32) -> Self {
        Self {
            limit: f64::from(announced.max(1)),
            announced: announced.max(1),
            last_decrease: None,
        }
    }

    /// Scales the bound to a changed announced concurrency.
    pub fn set_announced(&mut self, concurrency: u32) {
        let concurrency = concurrency.max(1);
        if concurrency == self.announced {
            return;
        }
        let ratio = f64::from(concurrency) / f64::from(self.announced);
        self.limit = (self.limit * ratio).clamp(1.0, f64::from(concurrency));
        self.announced = concurrency;
    }

    /// Adjusts the bound by the time per token of one finished request, relative to the median of
    /// the endpoint's class; values above 1 are slower than the median.
    pub fn observe(&mut self, now: Millis, relative_time: f64) {
        if relative_time <= SLOWDOWN_TOLERANCE {
            self.limit =
                (self.limit + INCREASE_PER_ROUND / self.limit).min(f64::from(self.announced));
            return;
        }
        if self.last_decrease.is_some_and(|at| now.since(at) < DECREASE_INTERVAL) {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }

    /// Returns how many requests may run concurrently: at least 1 and at most the announced
    /// concurrency.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.announced)
    }
}
