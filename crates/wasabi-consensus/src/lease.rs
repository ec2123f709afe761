//! Read leases, and the checks that rest on when a quorum was last heard.

use wasabi_protocol::{clock::Millis, id};

use crate::{Action, Node, node::State, progress::Leader};

impl Node {
    /// Returns whether the state machine, applied up to [`Node::commit_index`], may be read at
    /// `now` without a further round: this member leads, has committed an entry of its own term,
    /// and no other member can be elected before the lease ends.
    ///
    /// `now` must be read after the request arrived. An answer prepared before a pause must be
    /// checked again before it leaves.
    pub fn can_read(&self, now: Millis) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        if self.halted || self.log.term_at(self.commit) != Some(self.vote.term) {
            return false;
        }
        if self.applied < self.commit {
            return false;
        }
        if !self.rules.lease {
            return true;
        }
        let contact = self.quorum_contact(leader, now, None);
        contact.is_some_and(|contact| now < contact + self.config.lease_span())
    }

    /// Returns whether this member votes for nobody because it leads or has heard a leader within
    /// the shortest election timeout. Read leases rest on this.
    pub(crate) fn holds_vote(&self, now: Millis) -> bool {
        if !self.rules.vote_hold {
            return false;
        }
        let heard = match &self.state {
            State::Leader(leader) => self.quorum_contact(leader, now, Some(leader.elected)),
            _ => Some(self.heard),
        };
        heard.is_some_and(|heard| now < heard + self.config.election_min)
    }

    /// Makes a leader step down that has not heard a quorum for the longest election timeout.
    pub(crate) fn check_quorum(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.rules.check_quorum {
            return;
        }
        let State::Leader(leader) = &self.state else { return };
        let contact = self.quorum_contact(leader, now, Some(leader.elected));
        if contact.is_none_or(|contact| contact + self.config.election_max <= now) {
            self.follow(now, None, actions);
        }
    }

    /// Returns the latest time such that a quorum of voters answered messages sent at that time or
    /// later. `unheard` stands for the time of a member that has not answered in this term.
    fn quorum_contact(
        &self,
        leader: &Leader,
        now: Millis,
        unheard: Option<Millis>,
    ) -> Option<Millis> {
        let membership = self.log.membership();
        let contact = |member: &id::Member| {
            if *member == self.config.id {
                return Some(now);
            }
            leader.peers.get(member).and_then(|peer| peer.contact).or(unheard)
        };
        let mut contacts: Vec<_> = membership.voters.iter().filter_map(contact).collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(membership.quorum() - 1).copied()
    }
}
