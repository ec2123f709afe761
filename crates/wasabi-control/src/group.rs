//! The replicated log as seen by the control thread: the consensus node and its storage.

use std::collections::VecDeque;

use bytes::Bytes;
use wasabi_consensus::{
    Action, Change, Config, Entry, Event, Membership, Message, Node, Persist, Persisted,
    PersistentState, RefusalReason, Role, Snapshot, Status,
};
use wasabi_protocol::{clock::Millis, id};
use wasabi_wal::{Log, replica};

/// Output of the replicated log.
#[derive(Debug)]
pub(crate) enum Effect {
    /// A message must be sent.
    Send(id::Member, Message),
    /// The proposal with this number was appended to the log.
    Appended { request: u64, term: u64, index: u64 },
    /// The proposal with this number never takes effect.
    Refused { request: u64, reason: RefusalReason },
    /// Entries are committed.
    Commit(Vec<Entry>),
    /// The state is replaced by a snapshot.
    Restore(Snapshot),
    /// This member became the leader.
    Lead { term: u64 },
    /// This member is no longer the leader.
    StepDown,
    /// The log contradicts committed entries.
    Halt(&'static str),
}

/// The consensus node with its storage.
#[derive(Debug)]
pub(crate) struct Group {
    node: Node,
    log: Log,
    effects: VecDeque<Effect>,
    persist: Option<Persist>,
    proof: Option<Persisted>,
}

impl Group {
    /// Creates the group from the restored log of this member.
    pub(crate) fn new(name: id::Member, log: Log, restored: PersistentState, now: Millis) -> Self {
        let node = Node::new(Config::new(name, fastrand::u64(..)), restored, now);
        Self { node, log, effects: VecDeque::new(), persist: None, proof: None }
    }

    /// Passes an event to the node.
    pub(crate) fn step(&mut self, now: Millis, event: Event) {
        for action in self.node.step(now, event) {
            let effect = match action {
                Action::Persist(persist) => {
                    self.persist = Some(persist);
                    continue;
                }
                Action::Send(to, message) => Effect::Send(to, message),
                Action::Restore(snapshot) => Effect::Restore(snapshot),
                Action::Commit(entries) => Effect::Commit(entries),
                Action::Accepted { request, position } => {
                    Effect::Appended { request, term: position.term, index: position.index }
                }
                Action::Refuse { request, reason } => Effect::Refused { request, reason },
                Action::BecomeLeader { term } => Effect::Lead { term },
                Action::StepDown => Effect::StepDown,
                Action::Halt(reason) => Effect::Halt(reason),
            };
            self.effects.push_back(effect);
        }
    }

    /// Proposes an entry.
    pub(crate) fn propose(&mut self, now: Millis, data: Bytes, request: u64) {
        self.step(now, Event::Propose { data, request });
    }

    /// Proposes a membership change of one member.
    pub(crate) fn change(&mut self, now: Millis, change: Change, request: u64) {
        self.step(now, Event::ChangeMembers { change, request });
    }

    /// Writes and syncs pending data. The node is notified by [`Group::confirm`], so that proposals
    /// that arrived during the sync are written together by the next one.
    ///
    /// # Errors
    ///
    /// Returns the storage error; the process must then end.
    pub(crate) fn sync(&mut self) -> wasabi_wal::Result<()> {
        let Some(persist) = self.persist.take() else { return Ok(()) };
        let log = &mut self.log;
        self.proof = Some(persist.store(|batch| replica::store(log, batch))?);
        Ok(())
    }

    /// Notifies the node of the data written by the last sync.
    pub(crate) fn confirm(&mut self, now: Millis) {
        if let Some(proof) = self.proof.take() {
            self.step(now, Event::Persisted(proof));
        }
    }

    /// Returns whether there is work to do without further input.
    pub(crate) fn is_busy(&self) -> bool {
        self.persist.is_some() || self.proof.is_some() || !self.effects.is_empty()
    }

    /// Returns the next effect.
    pub(crate) fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Returns whether linearizable reads are possible at this member.
    pub(crate) fn can_read(&self, now: Millis) -> bool {
        self.node.can_read(now)
    }

    /// Returns whether this member considers itself the leader.
    pub(crate) fn is_leader(&self) -> bool {
        self.node.role() == Role::Leader
    }

    /// Returns the leader, if known.
    pub(crate) fn leader(&self) -> Option<&id::Member> {
        self.node.leader()
    }

    /// Returns the current membership.
    pub(crate) fn membership(&self) -> &Membership {
        self.node.membership()
    }

    /// Returns the status of each member.
    pub(crate) fn members(&self, now: Millis) -> Vec<Status> {
        self.node.members(now)
    }

    /// Returns the highest index that a member is known to hold, or 0 when this member does not
    /// lead.
    pub(crate) fn matched(&self, member: &id::Member) -> u64 {
        self.node.matched(member)
    }

    /// Returns whether no membership change is in progress and a quorum holds everything committed.
    pub(crate) fn is_settled(&self) -> bool {
        self.node.settled()
    }

    /// Returns the size of the log on disk, in bytes.
    pub(crate) fn log_bytes(&self) -> u64 {
        self.log.size()
    }
}
