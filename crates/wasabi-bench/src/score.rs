//! What a run showed.

use wasabi_protocol::contract::TIERS;

/// How one request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Whole, within both targets of its tier.
    Good,
    /// Whole, but late.
    Late,
    /// Refused, not run.
    Refused,
    /// Failed or cut.
    Failed,
}

/// Counts of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Score {
    /// Requests by tier.
    pub offered: [u32; TIERS],
    /// Those answered within their targets.
    pub good: [u32; TIERS],
    /// Those answered.
    pub whole: [u32; TIERS],
    /// Those refused.
    pub refused: [u32; TIERS],
    /// Prompt tokens that engines read.
    pub read: u64,
    /// Prompt tokens read for attempts that brought no whole answer.
    pub wasted: u64,
    /// Prompt tokens of the attempts that brought a whole answer.
    pub sent: u64,
    /// Attempts that were cancelled in favour of tier 0.
    pub preempted: u32,
    /// Crashes of endpoints.
    pub crashes: u32,
}

impl Score {
    /// Counts the end of a request.
    pub fn end(&mut self, tier: usize, outcome: Outcome) {
        self.offered[tier] += 1;
        self.good[tier] += u32::from(outcome == Outcome::Good);
        self.whole[tier] += u32::from(matches!(outcome, Outcome::Good | Outcome::Late));
        self.refused[tier] += u32::from(outcome == Outcome::Refused);
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        for tier in 0..TIERS {
            self.offered[tier] += other.offered[tier];
            self.good[tier] += other.good[tier];
            self.whole[tier] += other.whole[tier];
            self.refused[tier] += other.refused[tier];
        }
        self.read += other.read;
        self.wasted += other.wasted;
        self.sent += other.sent;
        self.preempted += other.preempted;
        self.crashes += other.crashes;
    }

    /// Returns the part of a tier's requests answered within their targets, in percent.
    pub fn goodput(&self, tier: usize) -> f64 {
        percent(self.good[tier].into(), self.offered[tier].into())
    }

    /// Returns one line: goodput by tier, long work done, refusals, wasted prefill, prefill
    /// avoided by caches, preemptions, crashes.
    pub fn line(&self) -> String {
        let goodput: Vec<_> =
            (0..TIERS).map(|tier| format!("{:5.1}", self.goodput(tier))).collect();
        let refused: u32 = self.refused.iter().sum();
        let offered: u32 = self.offered.iter().sum();
        format!(
            "{} | {:5.1} | {:5.1} | {:5.2} | {:5.1} | {:4} | {:3}",
            goodput.join(" "),
            percent(self.whole[TIERS - 1].into(), self.offered[TIERS - 1].into()),
            percent(refused.into(), offered.into()),
            percent(self.wasted, self.read),
            100.0 - percent(self.read - self.wasted, self.sent),
            self.preempted,
            self.crashes,
        )
    }
}

/// The head of the lines.
pub const HEAD: &str = "goodput of tiers 0 to 4, % | long done % | refused % | wasted prefill % \
                        | prefill cached % | preempted | crashes";

fn percent(part: u64, all: u64) -> f64 {
    100.0 * part as f64 / all.max(1) as f64
}
