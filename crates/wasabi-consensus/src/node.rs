//! The state of one member, and the dispatch of events.

use std::collections::BTreeSet;

use wasabi_protocol::{clock::Millis, id};

use crate::{
    Action, Config, Event, MemberKind, Membership, Message, PersistentState, RefusalReason, Status,
    Vote, durable::Durable, follower::Incoming, log::Log, progress::Leader, rules::Rules,
};

/// One member of a group.
#[derive(Debug, Clone)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) rules: Rules,
    pub(crate) rng: fastrand::Rng,
    pub(crate) vote: Vote,
    pub(crate) log: Log,
    pub(crate) durable: Durable,
    pub(crate) state: State,
    pub(crate) leader: Option<id::Member>,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    /// When a leader was last heard. A start counts, since a leader may have been heard before it.
    pub(crate) heard: Millis,
    /// When the next election starts.
    pub(crate) deadline: Millis,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) halted: bool,
}

/// The role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// It follows a leader or waits for one; learners are always in this role.
    Follower,
    /// It asks whether it would win an election.
    PreCandidate,
    /// It asks for votes.
    Candidate,
    /// It leads.
    Leader,
}

#[derive(Debug, Clone)]
pub(crate) enum State {
    Follower,
    PreCandidate { granted: BTreeSet<id::Member> },
    Candidate { granted: BTreeSet<id::Member>, version: u64 },
    Leader(Leader),
}

impl Node {
    /// Returns a member that starts at `now` from what is on disk.
    pub fn new(config: Config, restored: PersistentState, now: Millis) -> Self {
        Self::build(config, restored, now, Rules::ALL)
    }

    /// Returns a member for which the given rules hold.
    #[cfg(feature = "rule-removal")]
    pub fn with_rules(
        config: Config,
        restored: PersistentState,
        now: Millis,
        rules: Rules,
    ) -> Self {
        Self::build(config, restored, now, rules)
    }

    fn build(config: Config, restored: PersistentState, now: Millis, rules: Rules) -> Self {
        let log = Log::new(restored.snapshot, restored.entries);
        let mut node = Self {
            rng: fastrand::Rng::with_seed(config.seed),
            config,
            rules,
            vote: restored.vote,
            durable: Durable::new(log.last().index),
            commit: log.base().index,
            applied: 0,
            log,
            state: State::Follower,
            leader: None,
            heard: if rules.start_holds_vote { now } else { Millis::ZERO },
            deadline: now,
            incoming: None,
            halted: false,
        };
        node.reset_deadline(now);
        node
    }

    /// Handles one event and returns what to do, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.halted {
            return actions;
        }
        // First, so that a leader that was frozen notices it before it acts.
        self.check_quorum(now, &mut actions);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Receive(from, message) => self.receive(now, from, message, &mut actions),
            Event::Propose { data, request } => self.propose(data, request, &mut actions),
            Event::Persisted(persisted) => {
                self.durable.persisted(persisted.version, &mut actions);
                self.count_own_vote(now, &mut actions);
            }
            Event::ChangeMembers { change, request } => {
                self.change_members(now, &change, request, &mut actions);
            }
            Event::Compact { index, data } => self.compact(index, data),
            Event::TransferLeadership => self.start_transfer(now),
        }
        self.finish(now, &mut actions);
        actions
    }

    /// Returns the role.
    pub const fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate { .. } => Role::PreCandidate,
            State::Candidate { .. } => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Returns the leader of the present term, when known.
    pub const fn leader(&self) -> Option<&id::Member> {
        self.leader.as_ref()
    }

    /// Returns the highest term joined.
    pub const fn term(&self) -> u64 {
        self.vote.term
    }

    /// Returns the highest index known to be committed.
    pub const fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the last index handed out by [`Action::Commit`] or [`Action::Restore`].
    pub const fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Returns the last index of the log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.log.last().index
    }

    /// Returns the members in force, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the highest index that another member is known to hold durably, or 0 when this one does
    /// not lead.
    pub fn matched(&self, member: &id::Member) -> u64 {
        let State::Leader(leader) = &self.state else { return 0 };
        leader.peers.get(member).map_or(0, |peer| peer.matched)
    }

    /// Returns what is known of each member in force.
    pub fn members(&self, now: Millis) -> Vec<Status> {
        let membership = self.log.membership();
        let peers = match &self.state {
            State::Leader(leader) => Some(&leader.peers),
            _ => None,
        };
        let status = |member: &id::Member| {
            let kind = if membership.voters.contains(member) {
                MemberKind::Voter
            } else {
                MemberKind::Learner
            };
            let is_own = *member == self.config.id;
            let peer = peers.and_then(|peers| peers.get(member));
            let contact = peer.and_then(|peer| peer.contact);
            Status {
                member: member.clone(),
                kind,
                matched: match is_own {
                    true => Some(self.durable.index()),
                    false => peer.map(|peer| peer.matched),
                },
                since_contact: match is_own {
                    true => Some(Millis::ZERO),
                    false => contact.map(|contact| now.since(contact)),
                },
                tracked_for: peer.map(|peer| now.since(peer.since)),
                has_caught_up: is_own || peer.is_some_and(|peer| self.has_caught_up(now, peer)),
            }
        };
        membership.all().map(status).collect()
    }

    pub(crate) fn reset_deadline(&mut self, now: Millis) {
        let spread = self.config.election_max.since(self.config.election_min).0.max(1);
        self.deadline = now + self.config.election_min + Millis(self.rng.u64(0..spread));
    }

    /// Returns whether the member votes according to the members in force.
    pub(crate) fn is_voter(&self) -> bool {
        self.log.membership().voters.contains(&self.config.id)
    }

    /// Sends the message once everything that this member has promised so far is durable.
    pub(crate) fn send(&mut self, to: id::Member, message: Message, actions: &mut Vec<Action>) {
        self.durable.send(to, message, actions);
    }

    /// Joins a higher term without a vote in it.
    pub(crate) fn join(&mut self, now: Millis, term: u64, actions: &mut Vec<Action>) {
        self.vote = Vote { term, voted_for: None };
        self.durable.set_vote(self.vote.clone());
        self.follow(now, None, actions);
    }

    /// Becomes a follower in the present term.
    pub(crate) fn follow(
        &mut self,
        now: Millis,
        leader: Option<id::Member>,
        actions: &mut Vec<Action>,
    ) {
        if matches!(self.state, State::Leader(_)) {
            actions.push(Action::StepDown);
            self.reset_deadline(now);
        }
        if self.leader != leader {
            // Two leaders' snapshots of one position may be encoded differently.
            self.incoming = None;
        }
        self.state = State::Follower;
        self.leader = leader;
    }

    pub(crate) fn halt(&mut self, reason: &'static str, actions: &mut Vec<Action>) {
        self.halted = true;
        actions.push(Action::Halt(reason));
    }

    pub(crate) fn not_leader(&self) -> RefusalReason {
        RefusalReason::NotLeader(self.leader.clone())
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if matches!(self.state, State::Leader(_)) {
            self.heartbeat(now, actions);
        } else if self.deadline <= now && self.is_voter() {
            self.start_election(now, actions);
        }
    }

    fn receive(
        &mut self,
        now: Millis,
        from: id::Member,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let joins = match &message {
            Message::PreVote { .. } | Message::TakeOver { .. } => false,
            Message::PreVoteReply { granted, .. } => !granted,
            // Handled with the vote itself, since a member that holds its vote does not join.
            Message::Vote { .. } => false,
            _ => true,
        };
        if joins && self.vote.term < message.term() {
            self.join(now, message.term(), actions);
        }
        match message {
            Message::PreVote { term, last } => self.answer_pre_vote(now, from, term, last, actions),
            Message::PreVoteReply { term, granted } => {
                self.count_pre_vote(now, from, term, granted, actions);
            }
            Message::Vote { term, last, transfer } => {
                self.answer_vote(now, from, (term, transfer), last, actions);
            }
            Message::VoteReply { term, granted } => {
                self.count_vote(now, from, term, granted, actions);
            }
            Message::Append { term, prev, entries, commit, sent } => {
                if self.accept_leader(now, &from, term, sent, actions) {
                    self.append(from, prev, entries, commit, sent, actions);
                }
            }
            Message::AppendReply { term, verdict, sent } => {
                if term == self.vote.term {
                    self.count_append(now, &from, verdict, sent, actions);
                }
            }
            Message::Install { term, .. } => {
                let sent = message_sent(&message);
                if self.accept_leader(now, &from, term, sent, actions) {
                    self.install(from, message, actions);
                }
            }
            Message::InstallReply { term, last, next, sent } => {
                if term == self.vote.term {
                    self.count_install(now, &from, last, next, sent, actions);
                }
            }
            Message::TakeOver { term } => self.take_over(now, term, actions),
        }
    }

    /// Commits, applies, hands over, and starts the next batch.
    fn finish(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.halted {
            return;
        }
        self.advance_commit();
        self.apply(actions);
        self.leave_if_removed(now, actions);
        self.finish_transfer(now, actions);
        if !self.rules.sync_first {
            self.durable.release(self.durable.version(), actions);
        }
        if let Some(persist) = self.durable.flush(&self.log) {
            actions.push(Action::Persist(persist));
        }
        self.replicate(now, actions);
    }

    fn apply(&mut self, actions: &mut Vec<Action>) {
        let base = self.log.base().index;
        if self.applied < base && base <= self.durable.index() {
            self.applied = base;
            if !self.log.snapshot().data.is_empty() {
                actions.push(Action::Restore(self.log.snapshot().clone()));
            }
        }
        let until = self.commit.min(self.durable.index());
        if self.applied < base || until <= self.applied {
            return;
        }
        let count = usize::try_from(until - self.applied).unwrap_or(usize::MAX);
        let entries = self.log.range(self.applied + 1, count, usize::MAX);
        self.applied = until;
        actions.push(Action::Commit(entries));
    }
}

const fn message_sent(message: &Message) -> Millis {
    match message {
        Message::Install { sent, .. } => *sent,
        _ => Millis::ZERO,
    }
}
