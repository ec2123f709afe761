//! Elections: pre-vote, vote, and becoming the leader.

use std::collections::BTreeSet;

use wasabi_protocol::{clock::Millis, id};

use crate::{
    Action, Entry, Message, Node, Payload, Position, Vote,
    node::State,
    progress::{LeaderState, Progress},
};

impl Node {
    pub(crate) fn start_election(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.reset_election_deadline(now);
        if !self.rules.pre_vote {
            self.campaign(now, false, actions);
            return;
        }
        self.leader = None;
        let message = Message::PreVote { term: self.vote.term + 1, last: self.last_position() };
        let granted = BTreeSet::from([self.config.id.clone()]);
        self.state = State::PreCandidate { granted };
        for peer in self.vote_recipients() {
            self.send(peer, message.clone(), actions);
        }
        self.campaign_if_pre_vote_won(now, actions);
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        now: Millis,
        from: id::Member,
        term: u64,
        last: Position,
        actions: &mut Vec<Action>,
    ) {
        let granted =
            !self.withholds_vote(now) && self.vote.term < term && self.last_position() <= last;
        let term = if granted { term } else { self.vote.term };
        self.send(from, Message::PreVoteReply { term, granted }, actions);
    }

    pub(crate) fn handle_pre_vote_reply(
        &mut self,
        now: Millis,
        from: id::Member,
        term: u64,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if !granted || term != self.vote.term + 1 {
            return;
        }
        if let State::PreCandidate { granted } = &mut self.state {
            granted.insert(from);
            self.campaign_if_pre_vote_won(now, actions);
        }
    }

    pub(crate) fn handle_vote(
        &mut self,
        now: Millis,
        from: id::Member,
        (term, transfer): (u64, bool),
        last: Position,
        actions: &mut Vec<Action>,
    ) {
        if !transfer && self.withholds_vote(now) {
            return;
        }
        // Read before the new term is adopted, so that without `compare_entry_terms` the comparison
        // uses the old term.
        let own = self.last_position();
        if self.vote.term < term {
            self.adopt_term(now, term, actions);
        }
        let may_vote = self.vote.voted_for.as_ref().is_none_or(|candidate| *candidate == from);
        let granted = self.vote.term == term && may_vote && own <= last;
        if granted && self.vote.voted_for.is_none() {
            self.vote.voted_for = Some(from.clone());
            self.durable.set_vote(self.vote.clone());
            self.reset_election_deadline(now);
        }
        self.send(from, Message::VoteReply { term: self.vote.term, granted }, actions);
    }

    pub(crate) fn handle_vote_reply(
        &mut self,
        now: Millis,
        from: id::Member,
        term: u64,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if !granted || term != self.vote.term {
            return;
        }
        if let State::Candidate { granted, .. } = &mut self.state {
            granted.insert(from);
            self.become_leader_if_elected(now, actions);
        }
    }

    /// Counts the vote of the candidate for itself once it is durable.
    pub(crate) fn count_own_vote(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::Candidate { granted, version } = &mut self.state else { return };
        if self.durable.is_durable(*version) || !self.rules.sync_before_send {
            granted.insert(self.config.id.clone());
            self.become_leader_if_elected(now, actions);
        }
    }

    /// Starts a new term as a candidate and requests votes.
    pub(crate) fn campaign(&mut self, now: Millis, transfer: bool, actions: &mut Vec<Action>) {
        let last = self.last_position();
        self.leader = None;
        self.vote = Vote { term: self.vote.term + 1, voted_for: Some(self.config.id.clone()) };
        self.durable.set_vote(self.vote.clone());
        self.state =
            State::Candidate { granted: BTreeSet::new(), version: self.durable.memory_version() };
        self.reset_election_deadline(now);
        let message = Message::Vote { term: self.vote.term, last, transfer };
        for peer in self.vote_recipients() {
            self.send(peer, message.clone(), actions);
        }
        self.count_own_vote(now, actions);
    }

    pub(crate) fn handle_take_over(&mut self, now: Millis, term: u64, actions: &mut Vec<Action>) {
        let leads = matches!(self.state, State::Leader(_));
        if term == self.vote.term && self.is_voter() && !leads {
            self.campaign(now, true, actions);
        }
    }

    /// Returns the position that elections compare: that of the last log entry.
    fn last_position(&self) -> Position {
        let last = self.log.last();
        if self.rules.compare_entry_terms {
            return last;
        }
        Position { term: self.vote.term, index: last.index }
    }

    fn campaign_if_pre_vote_won(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::PreCandidate { granted } = &self.state else { return };
        if self.is_quorum(granted) {
            self.campaign(now, false, actions);
        }
    }

    fn become_leader_if_elected(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::Candidate { granted, version } = &self.state else { return };
        let durable = self.durable.is_durable(*version) || !self.rules.sync_before_send;
        if !durable || !self.is_quorum(granted) {
            return;
        }
        let last = self.log.last();
        let next = last.index + 1;
        let others = self.log.membership().all().filter(|member| **member != self.config.id);
        self.state = State::Leader(LeaderState {
            elected_at: now,
            last_heartbeat: now,
            peers: others.map(|member| (member.clone(), Progress::new(next, now))).collect(),
            transfer: None,
        });
        self.leader = Some(self.config.id.clone());
        self.incoming_snapshot = None;
        actions.push(Action::BecomeLeader { term: self.vote.term });
        // Entries of earlier terms are committed only indirectly, together with this one, never by
        // counting their replicas.
        self.append_local(Payload::Empty);
        self.broadcast_heartbeat(now, actions);
    }

    /// Appends an entry of the current term to the log of this leader.
    pub(crate) fn append_local(&mut self, data: Payload) -> Position {
        let index = self.log.last().index + 1;
        let entry = Entry { term: self.vote.term, index, data };
        let position = entry.position();
        self.log.push(entry);
        self.durable.record_append();
        position
    }

    /// Returns whether the members form a quorum of the current voters.
    fn is_quorum(&self, granted: &BTreeSet<id::Member>) -> bool {
        let membership = self.log.membership();
        let counts = |member: &&id::Member| {
            membership.voters.contains(*member)
                || (!self.rules.learners_do_not_vote && membership.learners.contains(*member))
        };
        membership.quorum() <= granted.iter().filter(counts).count()
    }

    /// Returns the other members that votes are requested from.
    fn vote_recipients(&self) -> Vec<id::Member> {
        let membership = self.log.membership();
        let learners =
            if self.rules.learners_do_not_vote { None } else { Some(&membership.learners) };
        let members = membership.voters.iter().chain(learners.into_iter().flatten());
        members.filter(|member| **member != self.config.id).cloned().collect()
    }
}
