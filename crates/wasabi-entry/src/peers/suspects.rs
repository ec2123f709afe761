//! Request fingerprints that are suspected of crashing endpoints, shared between the entries.

use wasabi_protocol::{clock::Millis, rpc::Suspect};
use wasabi_routing::quarantine;

use crate::shell::Shell;

/// Maximum number of suspects in one heartbeat, about 3 KB.
const HEARTBEAT_SUSPECTS_MAX: usize = 24;

/// Maximum number of suspects in one check-in, for the operator's status; about 8 KB.
const CHECKIN_SUSPECTS_MAX: usize = 64;

/// All suspects that this entry knows, for pools that it owns or may own later.
#[derive(Debug, Default)]
pub(crate) struct Table {
    table: quarantine::Table,
    /// The suspects that the next heartbeats carry.
    heartbeat_part: Vec<Suspect>,
}

impl Table {
    /// Merges the suspects that a peer reports.
    pub(crate) fn merge(&mut self, now: Millis, suspects: &[Suspect]) {
        self.table.merge(now, suspects);
    }

    /// Returns the suspects that the next heartbeats carry.
    pub(crate) fn heartbeat_part(&self) -> &[Suspect] {
        &self.heartbeat_part
    }

    /// Returns all suspects, for a pool that this entry takes over.
    pub(crate) fn all(&self, now: Millis) -> Vec<Suspect> {
        self.table.report(now)
    }

    /// Returns the most likely suspects, for the operator's status.
    pub(crate) fn worst(&self, now: Millis) -> Vec<Suspect> {
        self.table.report_worst(now, CHECKIN_SUSPECTS_MAX)
    }
}

impl Shell {
    /// Merges the suspects of the owned pools, and selects those that the next heartbeats carry.
    pub(crate) fn refresh_suspects(&self) {
        let now = self.now();
        let mut known = self.suspects.borrow_mut();
        for own in self.pools.borrow().suspects() {
            known.table.sync_from(now, own);
        }
        known.table.expire(now);
        known.heartbeat_part = known.table.report_part(now, HEARTBEAT_SUSPECTS_MAX);
    }
}
