//! Suspects of the pools of all entries: what peers told, and what they are told.

use wasabi_protocol::{clock::Millis, rpc::Suspect};
use wasabi_routing::quarantine;

use crate::shell::Shell;

/// Suspects in one heartbeat: some 3 KB.
const TOLD_MAX: usize = 24;

/// Suspects in one check-in, for the operator's status: some 8 KB.
const CHECKED_MAX: usize = 64;

/// All suspects that this entry knows of, whether it owns their pools or may own them later.
#[derive(Debug, Default)]
pub(crate) struct Known {
    table: quarantine::Table,
    /// What the next heartbeats tell.
    part: Vec<Suspect>,
}

impl Known {
    /// Takes over what a peer tells.
    pub(crate) fn hear(&mut self, now: Millis, suspects: &[Suspect]) {
        self.table.merge(now, suspects);
    }

    /// Returns what the next heartbeats tell.
    pub(crate) fn part(&self) -> &[Suspect] {
        &self.part
    }

    /// Returns all suspects, for a pool that is owned here from now on.
    pub(crate) fn all(&self, now: Millis) -> Vec<Suspect> {
        self.table.report(now)
    }

    /// Returns the likeliest suspects, for the operator's status.
    pub(crate) fn worst(&self, now: Millis) -> Vec<Suspect> {
        self.table.report_worst(now, CHECKED_MAX)
    }
}

impl Shell {
    /// Takes over the suspects of the owned pools, and chooses what the next heartbeats tell.
    pub(crate) fn renew_suspects(&self) {
        let now = self.now();
        let mut known = self.suspects.borrow_mut();
        for own in self.pools.borrow().suspects() {
            known.table.sync_from(now, own);
        }
        known.table.expire(now);
        known.part = known.table.report_part(now, TOLD_MAX);
    }
}
