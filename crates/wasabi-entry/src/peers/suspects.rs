//! Requests and parts of prompts that are suspected of crashing endpoints, shared between the entries.

use std::rc::Rc;

use wasabi_protocol::{
    clock::Millis,
    fingerprint::Part,
    rpc::{Answered, Crash, Poison, Suspect},
};
use wasabi_routing::{poison, quarantine};
use wasabi_scheduler::pool::Event;

use crate::shell::Shell;

/// Maximum number of suspects in one heartbeat, about 3 KB.
const HEARTBEAT_SUSPECTS_MAX: usize = 24;

/// Maximum number of crashes and of quarantined parts in one heartbeat.
const HEARTBEAT_POISON_MAX: usize = 16;

/// Maximum number of suspected parts of which one heartbeat tells whether answers began.
const HEARTBEAT_PARTS_MAX: usize = 64;

/// Maximum number of suspects in one check-in, for the operator's status; about 8 KB.
const CHECKIN_SUSPECTS_MAX: usize = 64;

/// All suspects that this entry knows, for pools that it owns or may own later.
#[derive(Debug, Default)]
pub(crate) struct Table {
    table: quarantine::Table,
    /// The suspects that the next heartbeats carry.
    heartbeat_part: Vec<Suspect>,
    /// What all pools and peers know of parts of prompts that crash endpoints.
    poison: poison::Table,
    /// The crashes and findings that the next heartbeats carry.
    poison_report: (Vec<Crash>, Vec<Poison>),
    /// The parts that crashes without a known cause speak against.
    suspected_parts: Vec<Part>,
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

    /// Merges what a peer or an owned pool knows of parts of prompts that crash endpoints, and returns
    /// whether it was news.
    pub(crate) fn merge_poison(
        &mut self,
        now: Millis,
        crashes: &[Crash],
        poisons: &[Poison],
    ) -> bool {
        self.poison.merge(now, crashes, poisons, &[])
    }

    /// Returns the parts of prompts that crashes without a known cause speak against.
    pub(crate) fn suspected_parts(&self) -> &[Part] {
        &self.suspected_parts
    }

    /// Returns the crashes and findings that the next heartbeats carry.
    pub(crate) fn poison_report(&self) -> &(Vec<Crash>, Vec<Poison>) {
        &self.poison_report
    }

    /// Returns all crashes and findings, for a pool that this entry takes over.
    pub(crate) fn all_poison(&mut self, now: Millis) -> (Vec<Crash>, Vec<Poison>) {
        let crashes = self.poison.report_crashes(now, poison::CRASHES_MAX);
        (crashes, self.poison.report_findings(now, poison::FINDINGS_MAX))
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
    pub(crate) fn refresh_suspects(self: &Rc<Self>) {
        self.refresh_poison();
        let now = self.now();
        let mut known = self.suspects.borrow_mut();
        for own in self.pools.borrow().suspects() {
            known.table.sync_from(now, own);
        }
        known.table.expire(now);
        known.heartbeat_part = known.table.report_part(now, HEARTBEAT_SUSPECTS_MAX);
    }

    /// Exchanges what the owned pools know of parts of prompts that crash endpoints, and selects what
    /// the next heartbeats carry.
    fn refresh_poison(self: &Rc<Self>) {
        let now = self.now();
        let mut known = self.suspects.borrow_mut();
        let limit = HEARTBEAT_POISON_MAX;
        for (crashes, poisons) in self.pools.borrow_mut().report_poison(now, limit) {
            known.merge_poison(now, &crashes, &poisons);
        }
        known.poison.expire(now);
        // The owned pools log these changes.
        known.poison.take_changes();
        let crashes = known.poison.report_crashes(now, limit);
        known.poison_report = (crashes, known.poison.report_findings(now, limit));
        known.suspected_parts = known.poison.suspected_parts(now);
        known.suspected_parts.truncate(HEARTBEAT_PARTS_MAX);
        let (crashes, poisons) = known.poison_report.clone();
        let answered = self.shared.answers().of(now, &known.suspected_parts);
        drop(known);
        self.apply_poison(&crashes, &poisons, &answered);
    }

    /// Tells the owned pools what is known of parts of prompts that crash endpoints.
    pub(crate) fn apply_poison(
        self: &Rc<Self>,
        crashes: &[Crash],
        poisons: &[Poison],
        answered: &[Answered],
    ) {
        if crashes.is_empty() && poisons.is_empty() && answered.is_empty() {
            return;
        }
        let now = self.now();
        let event = || Event::Poisons { crashes, poisons, answered };
        let effects = self.pools.borrow_mut().step_all(now, event);
        self.perform(effects);
    }
}
