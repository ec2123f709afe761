//! The circuit breaker for calls to the owner of a pool at another entry.
//!
//! While the owner is known, every request calls it directly. While it is not, one request probes on
//! behalf of all waiting requests: if each of them retried on its own, the calls would fill the links
//! when the heartbeats that determine the owner need them most.

use std::collections::BTreeSet;

use wasabi_protocol::{clock::Millis, contract::Tier, id};

/// Initial backoff after a call that no owner answered.
pub const BACKOFF_MIN: Millis = Millis(50);

/// Maximum backoff between two calls while no owner answers.
pub const BACKOFF_MAX: Millis = Millis(400);

/// Maximum number of consecutive redirects that are followed without a backoff.
pub const REDIRECTS_MAX: u32 = 2;

/// Permission for one call. The result of a call counts only in the state in which the call was
/// permitted, so of many concurrent calls that fail, only the first one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPermit(u64);

/// The entry that answered a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Responder {
    /// The entry that a new call would go to.
    Current,
    /// An entry that was called before.
    Earlier,
}

/// The position of a waiting request: by tier, most urgent first, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    tier: Tier,
    arrived: Millis,
    number: u64,
}

/// The circuit breaker of one pool. While it is open, one request at a time may probe.
#[derive(Debug, Default)]
pub struct Breaker {
    /// Incremented with each change of state.
    state: u64,
    /// Time of the next probe, or `None` while the breaker is closed.
    next_probe: Option<Millis>,
    backoff: Millis,
    redirects: u32,
    /// The owner that another entry named, if it differs from the owner in this entry's view.
    named: Option<id::Entry>,
    /// The requests that wait for a call permit.
    waiting: BTreeSet<QueuePosition>,
    last_number: u64,
}

impl Breaker {
    /// Adds a request that waits for a call permit, until [`Self::dequeue`].
    pub fn enqueue(&mut self, tier: Tier, arrived: Millis) -> QueuePosition {
        self.last_number += 1;
        let position = QueuePosition { tier, arrived, number: self.last_number };
        self.waiting.insert(position);
        position
    }

    /// Removes a request that no longer waits.
    pub fn dequeue(&mut self, position: QueuePosition) {
        self.waiting.remove(&position);
    }

    /// Returns a call permit for a waiting request. While the breaker is open, only the first request
    /// in order of position may probe. The owner's queue has the same order, and the owner cannot prefer
    /// an urgent request that it does not know about.
    ///
    /// # Errors
    ///
    /// Returns when to try again, unless the breaker closes earlier.
    pub fn try_call_queued(
        &mut self,
        now: Millis,
        position: QueuePosition,
        jitter: f64,
    ) -> Result<CallPermit, Millis> {
        let is_first = self.waiting.first() == Some(&position);
        match self.next_probe {
            Some(next) if next <= now && !is_first => Err(now + BACKOFF_MIN),
            _ => self.try_call(now, jitter),
        }
    }

    /// Returns a call permit.
    ///
    /// `jitter`, from 0 to 1, shortens the backoff until the next probe, so that entries that lost an
    /// owner at the same time do not retry at the same time.
    ///
    /// # Errors
    ///
    /// Returns when to try again, unless the breaker closes earlier.
    pub fn try_call(&mut self, now: Millis, jitter: f64) -> Result<CallPermit, Millis> {
        let Some(next) = self.next_probe else { return Ok(CallPermit(self.state)) };
        if now < next {
            return Err(next);
        }
        // The next probe does not wait for the answer to this one, which may never come.
        self.backoff = Millis((self.backoff.0 * 2).clamp(BACKOFF_MIN.0, BACKOFF_MAX.0));
        self.next_probe = Some(now + jittered(self.backoff, jitter));
        Ok(CallPermit(self.state))
    }

    /// Records that an owner granted or refused a request. Returns whether this closed the breaker.
    ///
    /// An answer from the current entry proves that it owns the pool, even if another call has failed
    /// since this one was sent: a single one of many concurrent calls may fail.
    pub fn record_answer(&mut self, permit: CallPermit, from: Responder) -> bool {
        let counts = from == Responder::Current || permit.0 == self.state;
        if !counts || self.next_probe.is_none() {
            return false;
        }
        self.state += 1;
        self.next_probe = None;
        self.redirects = 0;
        true
    }

    /// Records that the called entry does not own the pool or did not answer. `named` is the owner
    /// that it named instead. Returns whether the failure counts for the current state.
    pub fn record_failure(
        &mut self,
        now: Millis,
        permit: CallPermit,
        named: Option<id::Entry>,
        jitter: f64,
    ) -> bool {
        if permit.0 != self.state {
            return false;
        }
        self.state += 1;
        if self.next_probe.is_none() {
            self.backoff = Millis::ZERO;
        }
        if named.is_some() && self.redirects < REDIRECTS_MAX {
            self.redirects += 1;
            self.named = named;
            self.next_probe = Some(now);
            return true;
        }
        self.redirects = 0;
        self.named = None;
        self.backoff = self.backoff.max(BACKOFF_MIN);
        self.next_probe = Some(now + jittered(self.backoff, jitter));
        true
    }

    /// Records that the owner has changed in this entry's view. One request probes the new owner at
    /// once, and the others wait for its answer.
    pub fn owner_changed(&mut self, now: Millis) {
        self.state += 1;
        self.next_probe = Some(now);
        self.backoff = Millis::ZERO;
        self.redirects = 0;
        self.named = None;
    }

    /// Returns the owner that another entry named, until a call fails or this entry's view changes.
    pub fn named_owner(&self) -> Option<&id::Entry> {
        self.named.as_ref()
    }
}

/// Shortens a backoff by up to a quarter.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most 400")]
fn jittered(backoff: Millis, jitter: f64) -> Millis {
    let shortened = backoff.0 as f64 * (1.0 - jitter.clamp(0.0, 1.0) / 4.0);
    Millis(shortened as u64)
}
