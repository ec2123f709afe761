//! Endpoint choice by the lowest predicted time to first token.

/// What the pool owner knows about an endpoint that may run the request.
///
/// The owner offers only usable endpoints: of an allowed version, not leaving the pool, and not on
/// the request's `avoid` list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests in flight, an exact count at the owner.
    pub in_flight: u32,
    /// The current in-flight bound.
    pub bound: u32,
    /// Uncached prompt tokens of granted requests that have not produced a first token yet.
    pub prefill_waiting: u32,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_rate: f64,
    /// Tokens of this request's prompt in the endpoint's prefix cache.
    pub cached: u32,
}

/// Step to which predicted times are rounded down for comparison, in milliseconds.
///
/// The prediction is not exact to a millisecond. Rounding keeps the order total, which a tolerance
/// between pairs would not.
pub const SCORE_STEP_MS: f64 = 2.0;

/// Lower bound of the prefill rate in predictions, in tokens per millisecond.
const PREFILL_RATE_MIN: f64 = 0.01;

impl Candidate {
    /// Returns whether the endpoint may be granted another request.
    pub const fn has_room(&self) -> bool {
        self.in_flight < self.bound
    }

    /// Returns the predicted time to the first token of a prompt, in milliseconds.
    pub fn first_token_ms(&self, prompt_tokens: u32) -> f64 {
        let own = prompt_tokens.saturating_sub(self.cached);
        f64::from(self.prefill_waiting.saturating_add(own))
            / self.prefill_rate.max(PREFILL_RATE_MIN)
    }

    /// Returns the sort key of the choice; the lowest is preferred.
    fn rank(&self, prompt_tokens: u32) -> (u64, u32) {
        let steps = self.first_token_ms(prompt_tokens) / SCORE_STEP_MS;
        (steps as u64, self.in_flight)
    }
}

/// Returns the index of the best endpoint that has room, or `None` when none has.
///
/// `rotation` is any number that changes from call to call. It sets where the comparison starts, so
/// that ties are broken round-robin.
pub fn choose(candidates: &[Candidate], prompt_tokens: u32, rotation: usize) -> Option<usize> {
    let count = candidates.len();
    (0..count)
        .map(|offset| (rotation % count + offset) % count)
        .filter(|&index| candidates[index].has_room())
        .min_by_key(|&index| candidates[index].rank(prompt_tokens))
}

/// Returns the index of the endpoint with the most requests in flight that still has room, or `None`
/// when none has.
///
/// This fills one endpoint before it uses the next, so that faults under load of an unproven version
/// appear while its traffic share is small.
pub fn choose_fullest(candidates: &[Candidate]) -> Option<usize> {
    (0..candidates.len())
        .filter(|&index| candidates[index].has_room())
        .max_by_key(|&index| candidates[index].in_flight)
}
