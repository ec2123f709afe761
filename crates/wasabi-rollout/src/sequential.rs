//! Sequential probability ratio test (SPRT) of a failure rate, repeated in rounds.

use std::f64::consts::PI;

/// Error bounds of a test.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Highest probability that a good rate is ever rejected, over all rounds of the test.
    pub false_alarm: f64,
    /// Highest probability that a bad rate is accepted in one round.
    pub miss: f64,
}

/// The two failure rates that a test distinguishes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Highest rate that is good.
    pub good: f64,
    /// Lowest rate that is bad.
    pub bad: f64,
}

/// Result of a test so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence does not suffice to accept or reject.
    Undecided,
    /// The rate was accepted as good at least once. The test continues.
    Accepted,
    /// The rate is bad. This result is final.
    Rejected,
}

/// A sequential probability ratio test that starts a new round after each acceptance.
///
/// Without rounds, a test that has seen good requests for a long time needs about as many bad ones
/// to detect a late fault. Round `k` has the fraction `6 / (pi^2 k^2)` of the false-alarm bound, so
/// that all rounds together keep it. Within a round the bound holds however often the result is
/// read, because the likelihood ratio is a supermartingale while the true rate is at most the good
/// rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Test {
    bounds: Bounds,
    log_likelihood_ratio: f64,
    round: u32,
    verdict: Verdict,
}

impl Test {
    /// Returns a test without evidence.
    pub const fn new(bounds: Bounds) -> Self {
        Self { bounds, log_likelihood_ratio: 0.0, round: 1, verdict: Verdict::Undecided }
    }

    /// Adds `requests` requests, of which `failures` failed.
    ///
    /// The rates may change between calls, as the rate of the old version becomes better known.
    pub fn add(&mut self, requests: u64, failures: u64, rates: Rates) -> Verdict {
        let failures = failures.min(requests);
        let good = rates.good.clamp(1e-9, 1.0 - 1e-9);
        let bad = rates.bad.clamp(good, 1.0 - 1e-9);
        self.advance(
            failures as f64 * (bad / good).ln()
                + (requests - failures) as f64 * ((1.0 - bad) / (1.0 - good)).ln(),
        )
    }

    /// Adds `events` events in `time`. The rates are in events per unit of time.
    pub fn add_events(&mut self, events: u64, time: f64, rates: Rates) -> Verdict {
        let good = rates.good.max(1e-12);
        let bad = rates.bad.max(good);
        self.advance(events as f64 * (bad / good).ln() - (bad - good) * time)
    }

    fn advance(&mut self, log_ratio: f64) -> Verdict {
        if self.verdict == Verdict::Rejected {
            return self.verdict;
        }
        self.log_likelihood_ratio += log_ratio;
        if self.rejection_threshold() <= self.log_likelihood_ratio {
            self.verdict = Verdict::Rejected;
        } else if self.log_likelihood_ratio <= self.bounds.miss.ln() {
            self.verdict = Verdict::Accepted;
            self.log_likelihood_ratio = 0.0;
            self.round = self.round.saturating_add(1);
        }
        self.verdict
    }

    /// Returns the result so far.
    pub const fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns how many rounds accepted the rate.
    pub const fn acceptances(&self) -> u32 {
        self.round - 1
    }

    /// Returns the logarithm of the likelihood ratio of the current round.
    pub const fn log_likelihood_ratio(&self) -> f64 {
        self.log_likelihood_ratio
    }

    /// Returns the log-likelihood ratio at which the current round rejects.
    pub fn rejection_threshold(&self) -> f64 {
        let round = f64::from(self.round);
        let fraction = 6.0 / (PI * PI * round * round);
        -(self.bounds.false_alarm * fraction).ln()
    }
}

/// Returns the mean number of requests after which a good rate is accepted.
///
/// The good rate must be below the bad rate.
pub fn requests_to_accept(bounds: Bounds, rates: Rates) -> f64 {
    let Rates { good, bad } = rates;
    let step = good * (bad / good).ln() + (1.0 - good) * ((1.0 - bad) / (1.0 - good)).ln();
    bounds.miss.ln() / step.min(-f64::MIN_POSITIVE)
}
