//! Sequential probability ratio test of a failure rate, repeated for as long as one looks.

use std::f64::consts::PI;

/// Error bounds of a test.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Highest probability that a good rate is ever rejected, over the whole life of the test.
    pub false_alarm: f64,
    /// Highest probability that a bad rate is accepted in one round.
    pub miss: f64,
}

/// The two failure rates that a test tells apart.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Highest rate that is good.
    pub good: f64,
    /// Lowest rate that is bad.
    pub bad: f64,
}

/// What a test shows so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Neither.
    Undecided,
    /// The rate was accepted as good at least once. The test goes on.
    Accepted,
    /// The rate is bad. This is final.
    Rejected,
}

/// A sequential probability ratio test that starts a new round after each acceptance.
///
/// A single test that runs on after a long good time needs as long a bad time to notice a late
/// fault. Rounds limit that. Round `k` has the false-alarm bound `6 / (pi^2 k^2)` of the whole,
/// so that all rounds together keep the bound. Within a round the bound holds at every look,
/// because the likelihood ratio is a supermartingale while the true rate is at most the good one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Test {
    bounds: Bounds,
    ratio: f64,
    round: u32,
    verdict: Verdict,
}

impl Test {
    /// Returns a test without evidence.
    pub const fn new(bounds: Bounds) -> Self {
        Self { bounds, ratio: 0.0, round: 1, verdict: Verdict::Undecided }
    }

    /// Takes `requests` requests into account, of which `failures` failed.
    ///
    /// The rates may change from call to call, as the rate of the old version becomes better
    /// known.
    pub fn add(&mut self, requests: u64, failures: u64, rates: Rates) -> Verdict {
        let failures = failures.min(requests);
        let good = rates.good.clamp(1e-9, 1.0 - 1e-9);
        let bad = rates.bad.clamp(good, 1.0 - 1e-9);
        self.step(
            failures as f64 * (bad / good).ln()
                + (requests - failures) as f64 * ((1.0 - bad) / (1.0 - good)).ln(),
        )
    }

    /// Takes `events` events in `time` into account; the rates are events per unit of time.
    pub fn add_events(&mut self, events: u64, time: f64, rates: Rates) -> Verdict {
        let good = rates.good.max(1e-12);
        let bad = rates.bad.max(good);
        self.step(events as f64 * (bad / good).ln() - (bad - good) * time)
    }

    fn step(&mut self, step: f64) -> Verdict {
        if self.verdict == Verdict::Rejected {
            return self.verdict;
        }
        self.ratio += step;
        if self.rejection_threshold() <= self.ratio {
            self.verdict = Verdict::Rejected;
        } else if self.ratio <= self.bounds.miss.ln() {
            self.verdict = Verdict::Accepted;
            self.ratio = 0.0;
            self.round = self.round.saturating_add(1);
        }
        self.verdict
    }

    /// Returns what the test shows so far.
    pub const fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns how often the rate was accepted.
    pub const fn acceptances(&self) -> u32 {
        self.round - 1
    }

    /// Returns the logarithm of the likelihood ratio of this round.
    pub const fn log_likelihood_ratio(&self) -> f64 {
        self.ratio
    }

    /// Returns the ratio from which on this round rejects.
    pub fn rejection_threshold(&self) -> f64 {
        let round = f64::from(self.round);
        let part = 6.0 / (PI * PI * round * round);
        -(self.bounds.false_alarm * part).ln()
    }
}

/// Returns the mean number of requests after which a good rate is accepted, for rates that are
/// apart.
pub fn requests_to_accept(bounds: Bounds, rates: Rates) -> f64 {
    let Rates { good, bad } = rates;
    let step = good * (bad / good).ln() + (1.0 - good) * ((1.0 - bad) / (1.0 - good)).ln();
    bounds.miss.ln() / step.min(-f64::MIN_POSITIVE)
}
