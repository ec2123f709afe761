//! Single-member membership changes, each committed before the next one starts.

use wasabi_protocol::clock::Millis;

use crate::{
    Action, Change, Message, Node, Payload, RefusalReason, RequestId, node::State,
    progress::Progress,
};

impl Node {
    /// Returns whether this leader has no membership change in progress and a quorum of the current
    /// voters has all committed entries. A repair is complete when this holds and the new member is
    /// a voter.
    pub fn settled(&self) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        let membership = self.log.membership();
        let holds = |member: &&wasabi_protocol::id::Member| {
            let own = **member == self.config.id && self.commit_index <= self.durable.index();
            own || leader
                .peers
                .get(*member)
                .is_some_and(|peer| self.commit_index <= peer.match_index)
        };
        self.log.membership_index() <= self.commit_index
            && self.log.term_at(self.commit_index) == Some(self.vote.term)
            && membership.quorum() <= membership.voters.iter().filter(holds).count()
    }

    pub(crate) fn change_members(
        &mut self,
        now: Millis,
        change: &Change,
        request: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let refusal = self.proposal_refusal().or_else(|| self.change_refusal(now, change));
        let next = self.log.membership().after(change);
        let (None, Some(next)) = (&refusal, next) else {
            let reason = refusal.unwrap_or(RefusalReason::NotApplicable);
            actions.push(Action::Refuse { request, reason });
            return;
        };
        // Takes effect when appended, so that committing it requires a quorum of the new voters.
        let position = self.append_local(Payload::Members(next.clone()));
        if let State::Leader(leader) = &mut self.state {
            leader.peers.retain(|member, _| next.contains(member));
            for member in next.all().filter(|member| **member != self.config.id) {
                let progress = || Progress::new(position.index, now);
                leader.peers.entry(member.clone()).or_insert_with(progress);
            }
        }
        actions.push(Action::Accepted { request, position });
    }

    /// Steps down if this leader's own removal from the voters is committed.
    pub(crate) fn step_down_if_removed(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::Leader(leader) = &self.state else { return };
        if self.is_voter() || self.commit_index < self.log.membership_index() {
            return;
        }
        // Lets the most up-to-date voter start an election without waiting for the timeout.
        let ahead = leader
            .peers
            .iter()
            .filter(|(member, _)| self.log.membership().voters.contains(*member));
        if let Some((member, _)) = ahead.max_by_key(|(_, peer)| peer.match_index) {
            let message = Message::TakeOver { term: self.vote.term };
            actions.push(Action::Send(member.clone(), message));
        }
        self.become_follower(now, None, actions);
    }

    fn change_refusal(&self, now: Millis, change: &Change) -> Option<RefusalReason> {
        let State::Leader(leader) = &self.state else { return Some(self.not_leader()) };
        if self.rules.one_pending_change && self.commit_index < self.log.membership_index() {
            return Some(RefusalReason::ChangePending);
        }
        // Without this rule, an uncommitted change of an earlier leader and this one could both be
        // committed by quorums that do not overlap.
        if self.rules.one_pending_change
            && self.log.term_at(self.commit_index) != Some(self.vote.term)
        {
            return Some(RefusalReason::TermNotCommitted);
        }
        let Change::Promote(member) = change else { return None };
        let peer = leader.peers.get(member)?;
        (!self.has_caught_up(now, peer)).then_some(RefusalReason::NotCaughtUp)
    }

    /// Returns whether the member has all committed entries and has replied within the shortest
    /// election timeout.
    pub(crate) fn has_caught_up(&self, now: Millis, peer: &Progress) -> bool {
        let recent =
            peer.last_contact.is_some_and(|at| now < at + self.config.election_timeout_min);
        recent && self.commit_index <= peer.match_index
    }
}
