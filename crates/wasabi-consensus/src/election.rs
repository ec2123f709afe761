//! Elections: pre-vote, vote, and taking office.

use std::collections::BTreeSet;

use wasabi_protocol::{clock::Millis, id};

use crate::{
    Action, Entry, Message, Node, Payload, Position, Vote,
    node::State,
    progress::{Leader, Progress},
};

impl Node {
    pub(crate) fn start_election(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.reset_deadline(now);
        if !self.rules.pre_vote {
            self.campaign(now, false, actions);
            return;
        }
        self.leader = None;
        let message = Message::PreVote { term: self.vote.term + 1, last: self.freshness() };
        let granted = BTreeSet::from([self.config.id.clone()]);
        self.state = State::PreCandidate { granted };
        for peer in self.electors() {
            self.send(peer, message.clone(), actions);
        }
        self.campaign_if_promised(now, actions);
    }

    pub(crate) fn answer_pre_vote(
        &mut self,
        now: Millis,
        from: id::Member,
        term: u64,
        last: Position,
        actions: &mut Vec<Action>,
    ) {
        let granted = !self.holds_vote(now) && self.vote.term < term && self.freshness() <= last;
        let term = if granted { term } else { self.vote.term };
        self.send(from, Message::PreVoteReply { term, granted }, actions);
    }

    pub(crate) fn count_pre_vote(
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
            self.campaign_if_promised(now, actions);
        }
    }

    pub(crate) fn answer_vote(
        &mut self,
        now: Millis,
        from: id::Member,
        (term, transfer): (u64, bool),
        last: Position,
        actions: &mut Vec<Action>,
    ) {
        if !transfer && self.holds_vote(now) {
            return;
        }
        // Read before the term is joined, for the rule that keeps both terms apart.
        let own = self.freshness();
        if self.vote.term < term {
            self.join(now, term, actions);
        }
        let free = self.vote.voted_for.as_ref().is_none_or(|given| *given == from);
        let granted = self.vote.term == term && free && own <= last;
        if granted && self.vote.voted_for.is_none() {
            self.vote.voted_for = Some(from.clone());
            self.durable.set_vote(self.vote.clone());
            self.reset_deadline(now);
        }
        self.send(from, Message::VoteReply { term: self.vote.term, granted }, actions);
    }

    pub(crate) fn count_vote(
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
            self.lead_if_elected(now, actions);
        }
    }

    /// Counts the candidate's own vote once it is durable.
    pub(crate) fn count_own_vote(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::Candidate { granted, version } = &mut self.state else { return };
        if self.durable.holds(*version) || !self.rules.sync_first {
            granted.insert(self.config.id.clone());
            self.lead_if_elected(now, actions);
        }
    }

    /// Starts a term of its own and asks for votes.
    pub(crate) fn campaign(&mut self, now: Millis, transfer: bool, actions: &mut Vec<Action>) {
        let last = self.freshness();
        self.leader = None;
        self.vote = Vote { term: self.vote.term + 1, voted_for: Some(self.config.id.clone()) };
        self.durable.set_vote(self.vote.clone());
        self.state = State::Candidate { granted: BTreeSet::new(), version: self.durable.version() };
        self.reset_deadline(now);
        let message = Message::Vote { term: self.vote.term, last, transfer };
        for peer in self.electors() {
            self.send(peer, message.clone(), actions);
        }
        self.count_own_vote(now, actions);
    }

    pub(crate) fn take_over(&mut self, now: Millis, term: u64, actions: &mut Vec<Action>) {
        let leads = matches!(self.state, State::Leader(_));
        if term == self.vote.term && self.is_voter() && !leads {
            self.campaign(now, true, actions);
        }
    }

    /// Returns what elections compare: the last entry with the term in which it was accepted.
    fn freshness(&self) -> Position {
        let last = self.log.last();
        if self.rules.separate_terms {
            return last;
        }
        Position { term: self.vote.term, index: last.index }
    }

    fn campaign_if_promised(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::PreCandidate { granted } = &self.state else { return };
        if self.is_quorum(granted) {
            self.campaign(now, false, actions);
        }
    }

    fn lead_if_elected(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::Candidate { granted, version } = &self.state else { return };
        let durable = self.durable.holds(*version) || !self.rules.sync_first;
        if !durable || !self.is_quorum(granted) {
            return;
        }
        let last = self.log.last();
        let next = last.index + 1;
        let others = self.log.membership().all().filter(|member| **member != self.config.id);
        self.state = State::Leader(Leader {
            elected: now,
            heartbeat: now,
            peers: others.map(|member| (member.clone(), Progress::new(next, now))).collect(),
            transfer: None,
        });
        self.leader = Some(self.config.id.clone());
        self.incoming = None;
        actions.push(Action::BecomeLeader { term: self.vote.term });
        // Earlier entries are committed together with this one, never by counting their copies.
        self.push(Payload::Empty);
        self.broadcast(now, actions);
    }

    /// Adds an entry of the present term to the log.
    pub(crate) fn push(&mut self, data: Payload) -> Position {
        let index = self.log.last().index + 1;
        let entry = Entry { term: self.vote.term, index, data };
        let position = entry.position();
        self.log.push(entry);
        self.durable.appended();
        position
    }

    /// Returns whether the members form a quorum of the voters in force.
    fn is_quorum(&self, granted: &BTreeSet<id::Member>) -> bool {
        let membership = self.log.membership();
        let counts = |member: &&id::Member| {
            membership.voters.contains(*member)
                || (!self.rules.learner_has_no_vote && membership.learners.contains(*member))
        };
        membership.quorum() <= granted.iter().filter(counts).count()
    }

    /// Returns the other members whose votes count.
    fn electors(&self) -> Vec<id::Member> {
        let membership = self.log.membership();
        let learners =
            if self.rules.learner_has_no_vote { None } else { Some(&membership.learners) };
        let members = membership.voters.iter().chain(learners.into_iter().flatten());
        members.filter(|member| **member != self.config.id).cloned().collect()
    }
}
