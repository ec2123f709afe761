//! Where a forwarded call spends its time, for its log line.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// How the call on the open connection to the leader ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kept {
    /// No connection was open.
    Absent,
    /// The leader has not answered on it.
    Waiting,
    /// The leader answered on it.
    Answered,
    /// It is closed, or leads to a host that no longer leads.
    Failed,
}

/// The course of one call.
#[derive(Debug)]
pub(crate) struct CallTrace {
    started: Instant,
    kept: Cell<Kept>,
    searches: Cell<u32>,
    without_leader: Cell<u32>,
    found: Cell<Option<Duration>>,
}

impl CallTrace {
    /// Starts a call.
    pub(crate) const fn start(now: Instant) -> Self {
        Self {
            started: now,
            kept: Cell::new(Kept::Absent),
            searches: Cell::new(0),
            without_leader: Cell::new(0),
            found: Cell::new(None),
        }
    }

    /// Records the state of the call on the open connection.
    pub(crate) fn set_kept(&self, kept: Kept) {
        self.kept.set(kept);
    }

    /// Records the start of a search for the leader.
    pub(crate) fn record_search(&self) {
        self.searches.set(self.searches.get() + 1);
    }

    /// Records that members answered a search and none of them leads.
    pub(crate) fn record_no_leader(&self) {
        self.without_leader.set(self.without_leader.get() + 1);
    }

    /// Records that a search found the leader.
    pub(crate) fn record_found(&self, now: Instant) {
        self.found.set(self.found.get().or(Some(self.took(now))));
    }

    /// Returns the state of the call on the open connection.
    pub(crate) fn kept(&self) -> Kept {
        self.kept.get()
    }

    /// Returns how many searches were begun.
    pub(crate) fn searches(&self) -> u32 {
        self.searches.get()
    }

    /// Returns how many searches found members, and no leader among them.
    pub(crate) fn without_leader(&self) -> u32 {
        self.without_leader.get()
    }

    /// Returns the time after which a search found the leader.
    pub(crate) fn found(&self) -> Option<Duration> {
        self.found.get()
    }

    /// Returns the time since the start.
    pub(crate) fn took(&self, now: Instant) -> Duration {
        now.duration_since(self.started)
    }
}
