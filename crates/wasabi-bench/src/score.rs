//! Results of a run.

use wasabi_protocol::contract::TIERS;

/// Result of a request, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Completed within both targets of its tier.
    Good,
    /// Completed, but outside a target.
    Late,
    /// Refused without running.
    Refused,
    /// Failed or truncated.
    Failed,
}

/// Counters of one or more runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Score {
    /// Number of requests, by tier.
    pub offered: [u32; TIERS],
    /// Requests completed within their targets, by tier.
    pub good: [u32; TIERS],
    /// Requests completed, by tier.
    pub completed: [u32; TIERS],
    /// Requests refused, by tier.
    pub refused: [u32; TIERS],
    /// Prompt tokens that the engines prefilled.
    pub prefill_tokens: u64,
    /// Prompt tokens prefilled for attempts that did not complete.
    pub wasted_prefill_tokens: u64,
    /// Prompt tokens of the attempts that completed.
    pub answered_prompt_tokens: u64,
    /// Attempts cancelled in favour of tier 0.
    pub preempted: u32,
    /// Number of endpoint crashes.
    pub crashes: u32,
}

impl Score {
    /// Records the outcome of a request.
    pub fn end(&mut self, tier: usize, outcome: Outcome) {
        self.offered[tier] += 1;
        self.good[tier] += u32::from(outcome == Outcome::Good);
        self.completed[tier] += u32::from(matches!(outcome, Outcome::Good | Outcome::Late));
        self.refused[tier] += u32::from(outcome == Outcome::Refused);
    }

    /// Adds the counters of another run.
    pub fn add(&mut self, other: &Self) {
        for tier in 0..TIERS {
            self.offered[tier] += other.offered[tier];
            self.good[tier] += other.good[tier];
            self.completed[tier] += other.completed[tier];
            self.refused[tier] += other.refused[tier];
        }
        self.prefill_tokens += other.prefill_tokens;
        self.wasted_prefill_tokens += other.wasted_prefill_tokens;
        self.answered_prompt_tokens += other.answered_prompt_tokens;
        self.preempted += other.preempted;
        self.crashes += other.crashes;
    }

    /// Returns the percentage of a tier's requests that completed within their targets.
    pub fn goodput(&self, tier: usize) -> f64 {
        percent(self.good[tier].into(), self.offered[tier].into())
    }

    /// Formats one table row: goodput by tier, completed requests of the lowest tier, refusals, wasted
    /// prefill, prefill saved by prefix caches, preemptions, crashes.
    pub fn line(&self) -> String {
        let goodput: Vec<_> =
            (0..TIERS).map(|tier| format!("{:5.1}", self.goodput(tier))).collect();
        let refused: u32 = self.refused.iter().sum();
        let offered: u32 = self.offered.iter().sum();
        format!(
            "{} | {:5.1} | {:5.1} | {:5.2} | {:5.1} | {:4} | {:3}",
            goodput.join(" "),
            percent(self.completed[TIERS - 1].into(), self.offered[TIERS - 1].into()),
            percent(refused.into(), offered.into()),
            percent(self.wasted_prefill_tokens, self.prefill_tokens),
            100.0
                - percent(
                    self.prefill_tokens - self.wasted_prefill_tokens,
                    self.answered_prompt_tokens
                ),
            self.preempted,
            self.crashes,
        )
    }
}

/// Header of the table rows.
pub const HEADER: &str = "goodput of tiers 0 to 4, % | long done % | refused % | wasted prefill % \
                        | prefill cached % | preempted | crashes";

fn percent(part: u64, all: u64) -> f64 {
    100.0 * part as f64 / all.max(1) as f64
}
