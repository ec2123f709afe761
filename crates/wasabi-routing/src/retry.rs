//! Retries and hedges: which attempts may be repeated, and a budget that cannot amplify overload.

use wasabi_protocol::{
    clock::Millis,
    fault::Ran,
    request::{End, Request},
};

/// Retries and hedges allowed per recent success, as a divisor: one for ten.
pub const SUCCESSES_PER_RETRY: u64 = 10;

/// Span over which successes and retries are counted.
pub const WINDOW: Millis = Millis::from_secs(30);

/// Retries in a window that a pool without recent successes may use.
///
/// A pool with little traffic could otherwise never retry. At one in ten seconds they add nothing
/// to an overload.
pub const RETRIES_MIN: u64 = 3;

/// Parts that the window is counted in.
const SLOTS: usize = 30;

const SLOT: Millis = Millis(WINDOW.0 / SLOTS as u64);

/// Successes and used retries of one pool over the last [`WINDOW`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    slots: [Slot; SLOTS],
    head: u64,
    successes: u64,
    used: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Slot {
    successes: u32,
    used: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { slots: [Slot::default(); SLOTS], head: 0, successes: 0, used: 0 }
    }
}

impl Budget {
    /// Notes that a request finished.
    pub fn record_success(&mut self, now: Millis) {
        self.advance(now);
        self.slots[self.head as usize % SLOTS].successes += 1;
        self.successes += 1;
    }

    /// Returns how many retries may start now.
    pub fn available(&mut self, now: Millis) -> u64 {
        self.advance(now);
        (self.successes / SUCCESSES_PER_RETRY).max(RETRIES_MIN).saturating_sub(self.used)
    }

    /// Uses one retry of the budget; returns whether there was one.
    #[must_use]
    pub fn take_retry(&mut self, now: Millis) -> bool {
        if self.available(now) == 0 {
            return false;
        }
        self.take();
        true
    }

    /// Uses one hedge of the budget; returns whether there was one.
    ///
    /// Hedges leave half of the budget to retries: a hedge only saves time, a retry saves an
    /// answer.
    #[must_use]
    pub fn take_hedge(&mut self, now: Millis) -> bool {
        let earned = (self.successes_at(now) / SUCCESSES_PER_RETRY) / 2;
        if earned <= self.used {
            return false;
        }
        self.take();
        true
    }

    fn successes_at(&mut self, now: Millis) -> u64 {
        self.advance(now);
        self.successes
    }

    fn take(&mut self) {
        self.slots[self.head as usize % SLOTS].used += 1;
        self.used += 1;
    }

    /// Empties the slots that left the window. A clock that stands still or goes back changes
    /// nothing.
    fn advance(&mut self, now: Millis) {
        let head = now.0 / SLOT.0;
        if head <= self.head {
            return;
        }
        let steps = (head - self.head).min(SLOTS as u64);
        for step in 1..=steps {
            let position = (self.head + step) as usize % SLOTS;
            // After a jump of the whole window every slot is emptied, whatever its position.
            let slot = std::mem::take(&mut self.slots[position]);
            self.successes -= u64::from(slot.successes);
            self.used -= u64::from(slot.used);
        }
        self.head = head;
    }
}

/// What may be done with an attempt that did not finish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent again, to another endpoint, when the budget allows it.
    Retry,
    /// It ended with the answer that it has.
    Ended,
    /// It may have run and must not run twice.
    NotRepeatable,
    /// The time left is not enough for another attempt.
    Late,
}

/// Returns whether an attempt that ended this way may be repeated.
///
/// `sent_tokens` is the number of tokens that the caller already has; an answer that began can
/// only be resumed, not repeated. `expected` is the shortest time in which another attempt can
/// bring a first token.
pub fn verdict(
    request: &Request,
    end: End,
    sent_tokens: u32,
    remaining: Millis,
    expected: Millis,
) -> Verdict {
    if matches!(end, End::Finished | End::Abandoned) {
        return Verdict::Ended;
    }
    if end.ran() != Ran::NotRun && !request.idempotent {
        return Verdict::NotRepeatable;
    }
    if 0 < sent_tokens {
        return Verdict::Ended;
    }
    if remaining <= expected {
        return Verdict::Late;
    }
    Verdict::Retry
}

/// Returns whether a second attempt may run beside the first one.
///
/// Only a repeatable request without a first token is hedged, once, and only when `waited` is
/// past the time in which the endpoint should have answered.
pub fn may_hedge(request: &Request, waited: Millis, expected: Millis, remaining: Millis) -> bool {
    request.idempotent && request.avoid.is_empty() && expected < waited && expected < remaining
}
