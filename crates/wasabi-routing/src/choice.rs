//! The endpoint for a request: the lowest predicted time to the first token.

/// What the pool owner knows of an endpoint that may run the request.
///
/// The owner offers only endpoints that the request may use: of an allowed version, not leaving,
/// not on the request's `avoid` list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests in flight, exact at the owner.
    pub in_flight: u32,
    /// Most requests that the owner lets it run now.
    pub bound: u32,
    /// Prompt tokens granted to it that have not produced a first token yet, without cached ones.
    pub prefill_waiting: u32,
    /// Prompt tokens that it prefills in one millisecond.
    pub prefill_rate: f64,
    /// Tokens of this request's prompt that it has in its prefix cache.
    pub cached: u32,
}

/// Difference in predicted time below which two endpoints count as equal, in milliseconds.
///
/// The prediction is not exact to a millisecond, and rounding keeps the order total, which a
/// tolerance between pairs would not.
pub const SCORE_STEP_MS: f64 = 2.0;

/// Lowest prefill rate that is believed, in tokens per millisecond.
const PREFILL_RATE_MIN: f64 = 0.01;

impl Candidate {
    /// Returns whether the owner may grant another request to it.
    pub const fn has_room(&self) -> bool {
        self.in_flight < self.bound
    }

    /// Returns the predicted time to the first token of a prompt, in milliseconds.
    pub fn first_token_ms(&self, prompt_tokens: u32) -> f64 {
        let own = prompt_tokens.saturating_sub(self.cached);
        f64::from(self.prefill_waiting.saturating_add(own))
            / self.prefill_rate.max(PREFILL_RATE_MIN)
    }

    /// Returns the order of preference; the lowest is chosen.
    fn rank(&self, prompt_tokens: u32) -> (u64, u32) {
        let steps = self.first_token_ms(prompt_tokens) / SCORE_STEP_MS;
        (steps as u64, self.in_flight)
    }
}

/// Returns the position of the best endpoint that has room, or `None` when none has.
///
/// `turn` is any number that changes from call to call. It sets where the comparison starts, so
/// that fully equal endpoints take turns.
pub fn choose(candidates: &[Candidate], prompt_tokens: u32, turn: usize) -> Option<usize> {
    let count = candidates.len();
    (0..count)
        .map(|offset| (turn % count + offset) % count)
        .filter(|&index| candidates[index].has_room())
        .min_by_key(|&index| candidates[index].rank(prompt_tokens))
}

/// Returns the position of the endpoint with the most in flight that still has room, or `None`
/// when none has.
///
/// It loads one endpoint before it uses the next, so that faults under load show on an unproven
/// version while its share is small.
pub fn choose_fullest(candidates: &[Candidate]) -> Option<usize> {
    (0..candidates.len())
        .filter(|&index| candidates[index].has_room())
        .max_by_key(|&index| candidates[index].in_flight)
}
