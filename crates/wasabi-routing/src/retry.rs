//! Retries and hedges: which attempts may be repeated, and a retry budget that prevents retry storms.

use wasabi_protocol::{
    clock::Millis,
    fault::Ran,
    request::{End, Request},
};

/// Recent successes that allow one retry or hedge.
pub const SUCCESSES_PER_RETRY: u64 = 10;

/// Length of the sliding window of successes and retries.
pub const WINDOW: Millis = Millis::from_secs(30);

/// Minimum number of retries in a window, regardless of successes.
///
/// Otherwise a pool with little traffic could never retry. One retry in ten seconds does not add to an
/// overload.
pub const RETRIES_MIN: u64 = 3;

/// Number of buckets that the window is counted in.
const BUCKETS: usize = 30;

const BUCKET: Millis = Millis(WINDOW.0 / BUCKETS as u64);

/// Successes and used retries of one pool over the last [`WINDOW`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    buckets: [Bucket; BUCKETS],
    head: u64,
    successes: u64,
    used: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Bucket {
    successes: u32,
    used: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { buckets: [Bucket::default(); BUCKETS], head: 0, successes: 0, used: 0 }
    }
}

impl Budget {
    /// Records that a request finished.
    pub fn record_success(&mut self, now: Millis) {
        self.advance(now);
        self.buckets[self.head as usize % BUCKETS].successes += 1;
        self.successes += 1;
    }

    /// Returns how many retries may start now.
    pub fn available(&mut self, now: Millis) -> u64 {
        self.advance(now);
        (self.successes / SUCCESSES_PER_RETRY).max(RETRIES_MIN).saturating_sub(self.used)
    }

    /// Takes one retry from the budget. Returns whether one was available.
    #[must_use]
    pub fn take_retry(&mut self, now: Millis) -> bool {
        if self.available(now) == 0 {
            return false;
        }
        self.take();
        true
    }

    /// Takes one hedge from the budget. Returns whether one was available.
    ///
    /// Hedges leave half of the budget to retries: a hedge only reduces latency, while a retry
    /// provides an answer.
    #[must_use]
    pub fn take_hedge(&mut self, now: Millis) -> bool {
        let allowed = (self.successes_at(now) / SUCCESSES_PER_RETRY) / 2;
        if allowed <= self.used {
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
        self.buckets[self.head as usize % BUCKETS].used += 1;
        self.used += 1;
    }

    /// Empties the buckets that left the window. Does nothing if the clock stood still or went back.
    fn advance(&mut self, now: Millis) {
        let head = now.0 / BUCKET.0;
        if head <= self.head {
            return;
        }
        let steps = (head - self.head).min(BUCKETS as u64);
        for step in 1..=steps {
            let position = (self.head + step) as usize % BUCKETS;
            // A jump of at least the whole window empties every bucket.
            let bucket = std::mem::take(&mut self.buckets[position]);
            self.successes -= u64::from(bucket.successes);
            self.used -= u64::from(bucket.used);
        }
        self.head = head;
    }
}

/// Whether a failed attempt may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be retried at another endpoint, if the budget allows it.
    Retry,
    /// It ended, with the answer that the caller already has.
    Ended,
    /// It may have run and must not run again.
    NotRepeatable,
    /// The remaining time is too short for another attempt.
    Late,
}

/// Returns whether an attempt that ended this way may be repeated.
///
/// `sent_tokens` is the number of tokens that the caller already has; a started answer can only be
/// resumed, not repeated. `expected` is the shortest time to first token of another attempt.
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

/// Returns whether a second attempt may run in parallel with the first one.
///
/// Only an idempotent request without a first token is hedged, only once, and only when `waited`
/// exceeds the time in which the endpoint should have answered.
pub fn may_hedge(request: &Request, waited: Millis, expected: Millis, remaining: Millis) -> bool {
    request.idempotent && request.avoid.is_empty() && expected < waited && expected < remaining
}
