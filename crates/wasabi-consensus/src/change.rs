//! Membership changes: one member at a time, each committed before the next.

use wasabi_protocol::clock::Millis;

use crate::{
    Action, Change, Message, Node, Payload, RefusalReason, Request, node::State, progress::Progress,
};

impl Node {
    /// Returns whether no membership change is under way at this leader and a quorum of the voters
    /// in force holds everything committed. A repair is done when this is true and the new member
    /// is a voter.
    pub fn settled(&self) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        let membership = self.log.membership();
        let holds = |member: &&wasabi_protocol::id::Member| {
            let own = **member == self.config.id && self.commit <= self.durable.index();
            own || leader.peers.get(*member).is_some_and(|peer| self.commit <= peer.matched)
        };
        self.log.membership_index() <= self.commit
            && self.log.term_at(self.commit) == Some(self.vote.term)
            && membership.quorum() <= membership.voters.iter().filter(holds).count()
    }

    pub(crate) fn change_members(
        &mut self,
        now: Millis,
        change: &Change,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        let refusal = self.refusal().or_else(|| self.change_refusal(now, change));
        let next = self.log.membership().after(change);
        let (None, Some(next)) = (&refusal, next) else {
            let reason = refusal.unwrap_or(RefusalReason::NotApplicable);
            actions.push(Action::Refuse { request, reason });
            return;
        };
        // In force from here on, so that its own commit needs a quorum of the new members.
        let position = self.push(Payload::Members(next.clone()));
        if let State::Leader(leader) = &mut self.state {
            leader.peers.retain(|member, _| next.contains(member));
            for member in next.all().filter(|member| **member != self.config.id) {
                let progress = || Progress::new(position.index, now);
                leader.peers.entry(member.clone()).or_insert_with(progress);
            }
        }
        actions.push(Action::Accepted { request, position });
    }

    /// Ends the leadership of a member whose own removal is committed.
    pub(crate) fn leave_if_removed(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::Leader(leader) = &self.state else { return };
        if self.is_voter() || self.commit < self.log.membership_index() {
            return;
        }
        // Spares the rest an election timeout.
        let ahead = leader
            .peers
            .iter()
            .filter(|(member, _)| self.log.membership().voters.contains(*member));
        if let Some((member, _)) = ahead.max_by_key(|(_, peer)| peer.matched) {
            let message = Message::TakeOver { term: self.vote.term };
            actions.push(Action::Send(member.clone(), message));
        }
        self.follow(now, None, actions);
    }

    fn change_refusal(&self, now: Millis, change: &Change) -> Option<RefusalReason> {
        let State::Leader(leader) = &self.state else { return Some(self.not_leader()) };
        if self.rules.one_change && self.commit < self.log.membership_index() {
            return Some(RefusalReason::ChangePending);
        }
        // Without this, a change of an earlier leader that was never committed could meet this one,
        // and both could be committed by quorums that do not overlap.
        if self.rules.one_change && self.log.term_at(self.commit) != Some(self.vote.term) {
            return Some(RefusalReason::TermNotCommitted);
        }
        let Change::Promote(member) = change else { return None };
        let peer = leader.peers.get(member)?;
        (!self.has_caught_up(now, peer)).then_some(RefusalReason::NotCaughtUp)
    }

    /// Returns whether the member holds everything committed and answered a moment ago.
    pub(crate) fn has_caught_up(&self, now: Millis, peer: &Progress) -> bool {
        let recent = peer.contact.is_some_and(|at| now < at + self.config.election_min);
        recent && self.commit <= peer.matched
    }
}
