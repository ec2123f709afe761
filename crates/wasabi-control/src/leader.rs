//! Tasks of the leader: the entry view, expiry of records, member addresses, and operators that
//! wait for their change to be in force.

use std::collections::BTreeMap;

use tokio::sync::oneshot::Sender;
use wasabi_protocol::{
    clock::{Millis, unix_now},
    command::{Command, Outcome},
    id,
    rpc::CommandReply,
};

use crate::{
    join::{JoinRequest, ObservedShortage},
    member::{LeaderTask, Member},
    moves::MoveEvidence,
    record::Item,
    view_pacer::ViewPacer,
};

/// Time between two rounds of leader tasks.
const TASK_INTERVAL: Millis = Millis(50);

/// State that only a leader has. A new leader starts with an empty one.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    pub(crate) activations: Vec<ActivationWait>,
    pub(crate) moves: MoveEvidence,
    /// Hosts that recently requested to join the group.
    pub(crate) join_requests: BTreeMap<id::Member, JoinRequest>,
    /// The highest number of voters that were in force at the election or answered at one time
    /// since.
    pub(crate) size: Option<usize>,
    /// The current shortage of members, if any.
    pub(crate) shortage: Option<ObservedShortage>,
    view_pacer: ViewPacer,
    running: Vec<LeaderTask>,
    next: Millis,
}

/// An operator's accepted change that is not yet in force everywhere.
#[derive(Debug)]
pub(crate) struct ActivationWait {
    pub(crate) revision: id::Revision,
    pub(crate) deadline: Millis,
    pub(crate) outcome: Outcome,
    pub(crate) reply: Option<Sender<CommandReply>>,
}

impl LeaderState {
    /// Marks a task as in progress; returns whether it was not before.
    pub(crate) fn begin(&mut self, task: LeaderTask) -> bool {
        if self.running.contains(&task) {
            return false;
        }
        self.running.push(task);
        true
    }

    /// Marks a task as finished.
    pub(crate) fn end(&mut self, task: LeaderTask) {
        self.running.retain(|other| *other != task);
    }
}

impl Member {
    /// Runs the tasks of the leader.
    pub(crate) fn run_leader_tasks(&mut self) {
        if !self.leads() {
            return;
        }
        self.answer_activations();
        let now = self.clock.now();
        self.load.log(now);
        if now < self.leader_state.next {
            return;
        }
        self.leader_state.next = now + TASK_INTERVAL;
        self.propose_view();
        if self.machine.next_expiry().is_some_and(|expiry| expiry <= unix_now()) {
            self.propose_task(LeaderTask::Expiry, Item::Command(Command::ExpireKeys));
        }
        if let Some((member, address)) = self.unrecorded_address() {
            self.propose_task(LeaderTask::Address, Item::Address { member, address });
        }
        self.repair();
        self.advance_moves();
    }

    /// Proposes a new entry view when the entries have changed and the next view is due.
    fn propose_view(&mut self) {
        let now = self.clock.now();
        let view = self.machine.view();
        let Some(entries) = self.liveness.next_view(now, view) else { return };
        if !self.leader_state.view_pacer.is_due(now, view, &entries) {
            return;
        }
        let base = view.number;
        self.propose_task(LeaderTask::View, Item::Command(Command::SetView { base, entries }));
        self.leader_state.view_pacer.proposed(now);
    }

    /// Answers operators whose change is in force or whose deadline has passed.
    fn answer_activations(&mut self) {
        let now = self.clock.now();
        let (liveness, view) = (&self.liveness, self.machine.view());
        self.leader_state.activations.retain_mut(|wait| {
            let force = liveness.force(now, view, wait.revision);
            if !force.behind.is_empty() && now < wait.deadline {
                return true;
            }
            if let Some(reply) = wait.reply.take() {
                let outcome = wait.outcome.clone();
                let _ = reply.send(CommandReply::Committed { outcome, force });
            }
            false
        });
    }

    /// Answers operators with an unknown outcome, since only the next leader can tell whether their
    /// change is in force.
    pub(crate) fn cancel_activations(&mut self) {
        for wait in &mut self.leader_state.activations {
            if let Some(reply) = wait.reply.take() {
                let _ = reply.send(CommandReply::Unknown);
            }
        }
        self.leader_state.activations.clear();
    }

    /// Returns a member whose address is not recorded in the log yet.
    fn unrecorded_address(&self) -> Option<(id::Member, String)> {
        let members = self.group.membership().all();
        let recorded: BTreeMap<_, _> = self.addresses.iter().collect();
        members.filter(|member| !recorded.contains_key(member)).find_map(|member| {
            let address = self.learned.get(member)?;
            Some((member.clone(), address.clone()))
        })
    }
}
