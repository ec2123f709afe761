//! The state of a member and the dispatch of events.

use std::collections::BTreeSet;

use wasabi_protocol::{clock::Millis, id};

use crate::{
    Action, Config, Event, MemberKind, Membership, Message, PersistentState, RefusalReason, Status,
    Vote, durable::Durable, follower::IncomingSnapshot, log::Log, progress::LeaderState,
    rules::Rules,
};

/// A member of a consensus group.
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
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    /// When this member last heard from a leader. Initially the start time, because the member may
    /// have heard from a leader before a restart.
    pub(crate) leader_heard_at: Millis,
    /// When this member starts an election, unless it hears from a leader.
    pub(crate) election_deadline: Millis,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) halted: bool,
}

/// The role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader or waits for one. Learners always have this role.
    Follower,
    /// Runs a pre-vote round.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the group.
    Leader,
}

#[derive(Debug, Clone)]
pub(crate) enum State {
    Follower,
    PreCandidate { granted: BTreeSet<id::Member> },
    Candidate { granted: BTreeSet<id::Member>, version: u64 },
    Leader(LeaderState),
}

impl Node {
    /// Returns a member that starts at `now` from the persistent state.
    pub fn new(config: Config, restored: PersistentState, now: Millis) -> Self {
        Self::build(config, restored, now, Rules::ALL)
    }

    /// Returns a member that follows only the given protocol rules.
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
            commit_index: log.base().index,
            applied_index: 0,
            log,
            state: State::Follower,
            leader: None,
            leader_heard_at: if rules.stickiness_after_start { now } else { Millis::ZERO },
            election_deadline: now,
            incoming_snapshot: None,
            halted: false,
        };
        node.reset_election_deadline(now);
        node
    }

    /// Handles an event and returns the actions to perform, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.halted {
            return actions;
        }
        // Must come first, so that a leader whose process was paused steps down before it acts on
        // the event.
        self.check_quorum(now, &mut actions);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Receive(from, message) => self.receive(now, from, message, &mut actions),
            Event::Propose { data, request } => self.propose(data, request, &mut actions),
            Event::Persisted(persisted) => {
                self.durable.record_persisted(persisted.version, &mut actions);
                self.count_own_vote(now, &mut actions);
            }
            Event::ChangeMembers { change, request } => {
                self.change_members(now, &change, request, &mut actions);
            }
            Event::Compact { index, data } => self.compact(index, data),
            Event::TransferLeadership => self.start_transfer(now),
        }
        self.finish_step(now, &mut actions);
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

    /// Returns the leader of the current term, if known.
    pub const fn leader(&self) -> Option<&id::Member> {
        self.leader.as_ref()
    }

    /// Returns the current term.
    pub const fn term(&self) -> u64 {
        self.vote.term
    }

    /// Returns the highest index known to be committed.
    pub const fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the last index returned in [`Action::Commit`] or [`Action::Restore`].
    pub const fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the last index of the log, whether committed or not.
    pub fn last_index(&self) -> u64 {
        self.log.last().index
    }

    /// Returns the current membership, whether committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the highest index known to be durable on another member, or 0 if this member does
    /// not lead.
    pub fn matched(&self, member: &id::Member) -> u64 {
        let State::Leader(leader) = &self.state else { return 0 };
        leader.peers.get(member).map_or(0, |peer| peer.match_index)
    }

    /// Returns the replication status of each current member.
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
            let contact = peer.and_then(|peer| peer.last_contact);
            Status {
                member: member.clone(),
                kind,
                matched: match is_own {
                    true => Some(self.durable.index()),
                    false => peer.map(|peer| peer.match_index),
                },
                since_contact: match is_own {
                    true => Some(Millis::ZERO),
                    false => contact.map(|contact| now.since(contact)),
                },
                tracked_for: peer.map(|peer| now.since(peer.tracked_since)),
                has_caught_up: is_own || peer.is_some_and(|peer| self.has_caught_up(now, peer)),
            }
        };
        membership.all().map(status).collect()
    }

    pub(crate) fn reset_election_deadline(&mut self, now: Millis) {
        let spread =
            self.config.election_timeout_max.since(self.config.election_timeout_min).0.max(1);
        self.election_deadline =
            now + self.config.election_timeout_min + Millis(self.rng.u64(0..spread));
    }

    /// Returns whether this member is a voter in the current membership.
    pub(crate) fn is_voter(&self) -> bool {
        self.log.membership().voters.contains(&self.config.id)
    }

    /// Sends the message once the current state of this member is durable.
    pub(crate) fn send(&mut self, to: id::Member, message: Message, actions: &mut Vec<Action>) {
        self.durable.send(to, message, actions);
    }

    /// Adopts a higher term without voting in it, and becomes a follower.
    pub(crate) fn adopt_term(&mut self, now: Millis, term: u64, actions: &mut Vec<Action>) {
        self.vote = Vote { term, voted_for: None };
        self.durable.set_vote(self.vote.clone());
        self.become_follower(now, None, actions);
    }

    /// Becomes a follower in the current term.
    pub(crate) fn become_follower(
        &mut self,
        now: Millis,
        leader: Option<id::Member>,
        actions: &mut Vec<Action>,
    ) {
        if matches!(self.state, State::Leader(_)) {
            actions.push(Action::StepDown);
            self.reset_election_deadline(now);
        }
        if self.leader != leader {
            // Chunks from different leaders cannot be combined, because their snapshots of the same
            // position may be encoded differently.
            self.incoming_snapshot = None;
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
            self.send_heartbeat_if_due(now, actions);
        } else if self.election_deadline <= now && self.is_voter() {
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
        let adopts_term = match &message {
            Message::PreVote { .. } | Message::TakeOver { .. } => false,
            Message::PreVoteReply { granted, .. } => !granted,
            // Handled together with the vote, because a member that withholds its vote does not
            // adopt the term.
            Message::Vote { .. } => false,
            _ => true,
        };
        if adopts_term && self.vote.term < message.term() {
            self.adopt_term(now, message.term(), actions);
        }
        match message {
            Message::PreVote { term, last } => self.handle_pre_vote(now, from, term, last, actions),
            Message::PreVoteReply { term, granted } => {
                self.handle_pre_vote_reply(now, from, term, granted, actions);
            }
            Message::Vote { term, last, transfer } => {
                self.handle_vote(now, from, (term, transfer), last, actions);
            }
            Message::VoteReply { term, granted } => {
                self.handle_vote_reply(now, from, term, granted, actions);
            }
            Message::Append { term, prev, entries, commit, sent } => {
                if self.accept_leader(now, &from, term, sent, actions) {
                    self.handle_append(from, prev, entries, commit, sent, actions);
                }
            }
            Message::AppendReply { term, verdict, sent } => {
                if term == self.vote.term {
                    self.handle_append_reply(now, &from, verdict, sent, actions);
                }
            }
            Message::Install { term, .. } => {
                let sent = message_sent(&message);
                if self.accept_leader(now, &from, term, sent, actions) {
                    self.handle_install(from, message, actions);
                }
            }
            Message::InstallReply { term, last, next, sent } => {
                if term == self.vote.term {
                    self.handle_install_reply(now, &from, last, next, sent, actions);
                }
            }
            Message::TakeOver { term } => self.handle_take_over(now, term, actions),
        }
    }

    /// Advances the commit index, applies entries, completes transfers, starts the next batch and
    /// replicates.
    fn finish_step(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.halted {
            return;
        }
        self.advance_commit_index();
        self.apply(actions);
        self.step_down_if_removed(now, actions);
        self.finish_transfer(now, actions);
        if !self.rules.sync_before_send {
            self.durable.release_messages(self.durable.memory_version(), actions);
        }
        if let Some(persist) = self.durable.flush(&self.log) {
            actions.push(Action::Persist(persist));
        }
        self.replicate(now, actions);
    }

    fn apply(&mut self, actions: &mut Vec<Action>) {
        let base = self.log.base().index;
        if self.applied_index < base && base <= self.durable.index() {
            self.applied_index = base;
            if !self.log.snapshot().data.is_empty() {
                actions.push(Action::Restore(self.log.snapshot().clone()));
            }
        }
        let until = self.commit_index.min(self.durable.index());
        if self.applied_index < base || until <= self.applied_index {
            return;
        }
        let count = usize::try_from(until - self.applied_index).unwrap_or(usize::MAX);
        let entries = self.log.range(self.applied_index + 1, count, usize::MAX);
        self.applied_index = until;
        actions.push(Action::Commit(entries));
    }
}

const fn message_sent(message: &Message) -> Millis {
    match message {
        Message::Install { sent, .. } => *sent,
        _ => Millis::ZERO,
    }
}
