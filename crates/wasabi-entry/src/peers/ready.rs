//! For how long this process has been ready to own pools, and who may own them.

use std::cell::Cell;

use wasabi_protocol::{clock::Millis, id};
use wasabi_routing::liveness;

use crate::{shared::Mode, shell::Shell};

/// The readiness of this process.
#[derive(Debug)]
pub(crate) struct Ready {
    /// When the last tick was.
    ticked: Cell<Millis>,
    /// Since when it has been confirmed and has not paused for so long that it was lost.
    since: Cell<Option<Millis>>,
}

impl Ready {
    /// Returns the readiness of a process that starts.
    pub(crate) fn new(now: Millis) -> Self {
        Self { ticked: Cell::new(now), since: Cell::new(None) }
    }

    /// Returns whether the others took this process for lost since its last tick.
    fn is_paused(&self, now: Millis) -> bool {
        liveness::SILENCE_TIMEOUT_MIN <= now.since(self.ticked.get())
    }
}

impl Shell {
    /// Notes a tick and returns the time since the last one.
    pub(crate) fn note_ready(&self, now: Millis) -> Millis {
        let before = self.ready.since.get().filter(|_| !self.ready.is_paused(now));
        self.ready.since.set(before.or(self.confirmation.borrow().is_confirmed().then_some(now)));
        now.since(self.ready.ticked.replace(now))
    }

    /// Returns for how long this process has been ready; zero before it is confirmed, and after a pause
    /// in which the others took it for lost.
    pub(crate) fn ready_for(&self) -> Millis {
        let now = self.now();
        let since = self.ready.since.get().filter(|_| !self.ready.is_paused(now));
        since.map(|since| now.since(since)).unwrap_or_default()
    }

    /// Returns whether an entry may own pools and budgets, as far as this one knows.
    pub(crate) fn may_own(&self, name: &id::Entry) -> bool {
        let own = (&self.shared.entry.name, self.ready_for());
        self.peers.borrow().may_own(self.now(), name, own)
    }

    /// Returns whether this process knows what is in force, so that it may grant and lend: what it got
    /// from a member may be older than what was acknowledged.
    pub(crate) fn has_confirmed_config(&self) -> bool {
        self.confirmation.borrow().is_confirmed() || self.shared.mode == Mode::StandAlone
    }
}
