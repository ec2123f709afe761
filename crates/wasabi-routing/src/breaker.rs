//! How a holder approaches a pool of another entry: which of its waiting requests may ask the owner.
//!
//! While the owner is known, every request asks at once. While it is not, one request asks in the
//! name of all: if each of them asked again by itself, the calls would fill the links just when the
//! heartbeats that settle the owner need them.

use std::collections::BTreeSet;

use wasabi_protocol::{clock::Millis, contract::Tier, id};

/// The first pause after a call that no owner answered.
pub const BACKOFF_MIN: Millis = Millis(50);

/// The longest pause between two calls while no owner answers.
pub const BACKOFF_MAX: Millis = Millis(400);

/// Entries that are asked one after the other without a pause, since the one before named the next.
pub const REDIRECTS_MAX: u32 = 2;

/// Proof that a request may ask now. What comes of a call counts only for the state in which the
/// call was allowed: of many calls that fail together, the first one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPermit(u64);

/// The entry whose answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Responder {
    /// The one that would be asked now.
    Current,
    /// One that was asked before.
    Earlier,
}

/// The place of a waiting request: the most urgent tier first, then the one that came first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    tier: Tier,
    arrived: Millis,
    number: u64,
}

/// One pool as a holder sees it: a circuit breaker that one request at a time may probe.
#[derive(Debug, Default)]
pub struct Breaker {
    /// Grows with each change of state.
    state: u64,
    /// When the next request may ask; none while all may.
    next: Option<Millis>,
    pause: Millis,
    hops: u32,
    /// The owner that another entry named, if it is not the one that this entry believes in.
    named: Option<id::Entry>,
    /// The requests that wait for a turn.
    waiting: BTreeSet<QueuePosition>,
    last_place: u64,
}

impl Breaker {
    /// Adds a request that waits for a turn, until [`Self::dequeue`].
    pub fn enqueue(&mut self, tier: Tier, arrived: Millis) -> QueuePosition {
        self.last_place += 1;
        let place = QueuePosition { tier, arrived, number: self.last_place };
        self.waiting.insert(place);
        place
    }

    /// Takes out a request that waits no more.
    pub fn dequeue(&mut self, place: QueuePosition) {
        self.waiting.remove(&place);
    }

    /// Returns the turn of a waiting request that asks now. While the owner is not known, the first
    /// one in the order of places gets it: the owner's queue is in that order too, and an urgent
    /// request that it does not know waits in vain.
    ///
    /// # Errors
    ///
    /// Returns when to try again, unless the pool opens before.
    pub fn try_call_queued(
        &mut self,
        now: Millis,
        place: QueuePosition,
        jitter: f64,
    ) -> Result<CallPermit, Millis> {
        let is_first = self.waiting.first() == Some(&place);
        match self.next {
            Some(next) if next <= now && !is_first => Err(now + BACKOFF_MIN),
            _ => self.try_call(now, jitter),
        }
    }

    /// Returns the turn of a request that asks now.
    ///
    /// `jitter`, from 0 to 1, shortens the pause until the next one, so that holders which lost an
    /// owner together do not ask together.
    ///
    /// # Errors
    ///
    /// Returns when to try again, unless the pool opens before.
    pub fn try_call(&mut self, now: Millis, jitter: f64) -> Result<CallPermit, Millis> {
        let Some(next) = self.next else { return Ok(CallPermit(self.state)) };
        if now < next {
            return Err(next);
        }
        // A call that stays unanswered does not hold up the others for ever.
        self.pause = Millis((self.pause.0 * 2).clamp(BACKOFF_MIN.0, BACKOFF_MAX.0));
        self.next = Some(now + jittered(self.pause, jitter));
        Ok(CallPermit(self.state))
    }

    /// Notes that an owner granted or refused; returns whether the pool is open to all since then.
    ///
    /// An answer of the entry that would be asked now proves that it owns the pool, also when another
    /// call has failed since the question: of many calls that are under way one may fail alone.
    pub fn record_answer(&mut self, turn: CallPermit, from: Responder) -> bool {
        let counts = from == Responder::Current || turn.0 == self.state;
        if !counts || self.next.is_none() {
            return false;
        }
        self.state += 1;
        self.next = None;
        self.hops = 0;
        true
    }

    /// Notes that the asked entry does not own the pool, or did not answer. `named` is the owner that
    /// it believes in. Returns whether the call counts.
    pub fn record_failure(
        &mut self,
        now: Millis,
        turn: CallPermit,
        named: Option<id::Entry>,
        jitter: f64,
    ) -> bool {
        if turn.0 != self.state {
            return false;
        }
        self.state += 1;
        if self.next.is_none() {
            self.pause = Millis::ZERO;
        }
        if named.is_some() && self.hops < REDIRECTS_MAX {
            self.hops += 1;
            self.named = named;
            self.next = Some(now);
            return true;
        }
        self.hops = 0;
        self.named = None;
        self.pause = self.pause.max(BACKOFF_MIN);
        self.next = Some(now + jittered(self.pause, jitter));
        true
    }

    /// Notes that this entry believes in another owner: one request asks it at once, the others
    /// follow its answer.
    pub fn owner_changed(&mut self, now: Millis) {
        self.state += 1;
        self.next = Some(now);
        self.pause = Millis::ZERO;
        self.hops = 0;
        self.named = None;
    }

    /// Returns the owner that another entry named.
    pub fn named_owner(&self) -> Option<&id::Entry> {
        self.named.as_ref()
    }
}

/// Shortens a pause by up to a quarter.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most 400")]
fn jittered(pause: Millis, jitter: f64) -> Millis {
    let shortened = pause.0 as f64 * (1.0 - jitter.clamp(0.0, 1.0) / 4.0);
    Millis(shortened as u64)
}
