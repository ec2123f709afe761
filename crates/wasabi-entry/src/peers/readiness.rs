//! How long this process has been ready to own pools, and which entries may own them.

use std::cell::Cell;

use wasabi_protocol::{clock::Millis, id};
use wasabi_routing::liveness;

use crate::{shared::Mode, shell::Shell};

/// The readiness of this process.
#[derive(Debug)]
pub(crate) struct Readiness {
    /// The time of the last tick.
    last_tick: Cell<Millis>,
    /// Since when the process has been confirmed without a pause so long that peers considered it
    /// lost.
    since: Cell<Option<Millis>>,
}

impl Readiness {
    /// Returns the readiness of a process that starts.
    pub(crate) fn new(now: Millis) -> Self {
        Self { last_tick: Cell::new(now), since: Cell::new(None) }
    }

    /// Returns whether the last tick is so long ago that peers consider this process lost.
    fn is_paused(&self, now: Millis) -> bool {
        liveness::SILENCE_TIMEOUT_MIN <= now.since(self.last_tick.get())
    }
}

impl Shell {
    /// Records a tick and returns the time since the last one.
    pub(crate) fn record_tick(&self, now: Millis) -> Millis {
        let before = self.readiness.since.get().filter(|_| !self.readiness.is_paused(now));
        self.readiness
            .since
            .set(before.or(self.confirmation.borrow().is_confirmed().then_some(now)));
        now.since(self.readiness.last_tick.replace(now))
    }

    /// Returns how long this process has been ready; zero before it is confirmed, and after a pause in
    /// which peers considered it lost.
    pub(crate) fn ready_for(&self) -> Millis {
        let now = self.now();
        let since = self.readiness.since.get().filter(|_| !self.readiness.is_paused(now));
        since.map(|since| now.since(since)).unwrap_or_default()
    }

    /// Returns whether an entry may own pools and budgets, to the knowledge of this one.
    pub(crate) fn may_own(&self, name: &id::Entry) -> bool {
        let own = (&self.shared.entry.name, self.ready_for());
        self.peers.borrow().may_own(self.now(), name, own)
    }

    /// Returns whether this process may grant and lend because its configuration was confirmed or is
    /// local: a configuration fetched from a member may be older than the acknowledged one.
    pub(crate) fn has_confirmed_config(&self) -> bool {
        self.confirmation.borrow().is_confirmed() || self.shared.mode == Mode::StandAlone
    }
}
