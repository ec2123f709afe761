//! What only the leader does: the entry view, expiry of records, addresses, waits for changes to
//! be in force.

use std::collections::BTreeMap;

use tokio::sync::oneshot::Sender;
use wasabi_protocol::{
    clock::{Millis, unix_now},
    command::{Command, Outcome},
    id,
    rpc::Operated,
};

use crate::{
    join::{Asked, Short},
    member::{Duty, Member},
    moves::Book,
    pace::Views,
    record::Item,
};

/// Time between two rounds of duties, in milliseconds.
const EVERY: Millis = Millis(50);

/// What a leader has under way. A new leader starts without any.
#[derive(Debug, Default)]
pub(crate) struct Duties {
    pub(crate) forces: Vec<ForceWait>,
    pub(crate) moves: Book,
    /// The members that asked to be in the group lately.
    pub(crate) asked: BTreeMap<id::Member, Asked>,
    /// The most voters that were in force at the election or answered at one time since.
    pub(crate) size: Option<usize>,
    /// What the group lacks, if anything.
    pub(crate) short: Option<Short>,
    views: Views,
    under_way: Vec<Duty>,
    next: Millis,
}

/// An operator's accepted change that is not in force everywhere yet.
#[derive(Debug)]
pub(crate) struct ForceWait {
    pub(crate) revision: id::Revision,
    pub(crate) deadline: Millis,
    pub(crate) outcome: Outcome,
    pub(crate) reply: Option<Sender<Operated>>,
}

impl Duties {
    /// Marks a duty as under way; returns whether it was not.
    pub(crate) fn begin(&mut self, duty: Duty) -> bool {
        if self.under_way.contains(&duty) {
            return false;
        }
        self.under_way.push(duty);
        true
    }

    /// Marks a duty as ended.
    pub(crate) fn end(&mut self, duty: Duty) {
        self.under_way.retain(|other| *other != duty);
    }
}

impl Member {
    /// Does what only the leader does.
    pub(crate) fn lead(&mut self) {
        if !self.leads() {
            return;
        }
        self.answer_forces();
        let now = self.clock.now();
        if now < self.duties.next {
            return;
        }
        self.duties.next = now + EVERY;
        self.drive_view();
        if self.machine.next_expiry().is_some_and(|expiry| expiry <= unix_now()) {
            self.propose_duty(Duty::Expiry, Item::Command(Command::ExpireKeys));
        }
        if let Some((member, address)) = self.unrecorded_address() {
            self.propose_duty(Duty::Address, Item::Address { member, address });
        }
        self.repair();
        self.drive_moves();
    }

    /// Proposes the entries that should be in the view when it is time for the next one.
    fn drive_view(&mut self) {
        let now = self.clock.now();
        let view = self.machine.view();
        let Some(entries) = self.liveness.next_view(now, view) else { return };
        if !self.duties.views.is_due(now, view, &entries) {
            return;
        }
        let base = view.number;
        self.propose_duty(Duty::View, Item::Command(Command::SetView { base, entries }));
        self.duties.views.proposed(now);
    }

    /// Answers operators whose change is in force, or whose wait is over.
    fn answer_forces(&mut self) {
        let now = self.clock.now();
        let (liveness, view) = (&self.liveness, self.machine.view());
        self.duties.forces.retain_mut(|wait| {
            let force = liveness.force(now, view, wait.revision);
            if !force.behind.is_empty() && now < wait.deadline {
                return true;
            }
            if let Some(reply) = wait.reply.take() {
                let outcome = wait.outcome.clone();
                let _ = reply.send(Operated::Committed { outcome, force });
            }
            false
        });
    }

    /// Answers operators that another leader must tell where their change is in force.
    pub(crate) fn lose_forces(&mut self) {
        for wait in &mut self.duties.forces {
            if let Some(reply) = wait.reply.take() {
                let _ = reply.send(Operated::Unknown);
            }
        }
        self.duties.forces.clear();
    }

    /// Returns a member whose address stands in no log entry yet.
    fn unrecorded_address(&self) -> Option<(id::Member, String)> {
        let members = self.group.membership().all();
        let recorded: BTreeMap<_, _> = self.addresses.iter().collect();
        members.filter(|member| !recorded.contains_key(member)).find_map(|member| {
            let address = self.learned.get(member)?;
            Some((member.clone(), address.clone()))
        })
    }
}
