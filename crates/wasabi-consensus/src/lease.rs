//! Read leases and other checks based on the last contact with a quorum.

use wasabi_protocol::{clock::Millis, id};

use crate::{Action, Node, node::State, progress::LeaderState};

impl Node {
    /// Returns whether the state machine, applied up to [`Node::commit_index`], may be read at
    /// `now` without a further round of messages: this member leads, has committed an entry of its
    /// own term, and no other member can be elected before the lease expires.
    ///
    /// `now` must be read after the request arrived. A response prepared before the process was
    /// paused must be checked again before it is sent.
    pub fn can_read(&self, now: Millis) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        if self.halted || self.log.term_at(self.commit_index) != Some(self.vote.term) {
            return false;
        }
        if self.applied_index < self.commit_index {
            return false;
        }
        if !self.rules.read_lease {
            return true;
        }
        let contact = self.last_quorum_contact(leader, now, None);
        contact.is_some_and(|contact| now < contact + self.config.lease_duration())
    }

    /// Returns whether this member grants no votes because it leads or has heard from a leader
    /// within the shortest election timeout. Read leases depend on this.
    pub(crate) fn withholds_vote(&self, now: Millis) -> bool {
        if !self.rules.leader_stickiness {
            return false;
        }
        let heard = match &self.state {
            State::Leader(leader) => self.last_quorum_contact(leader, now, Some(leader.elected_at)),
            _ => Some(self.leader_heard_at),
        };
        heard.is_some_and(|heard| now < heard + self.config.election_timeout_min)
    }

    /// Makes a leader step down if it has not heard from a quorum for the longest election timeout.
    pub(crate) fn check_quorum(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.rules.check_quorum {
            return;
        }
        let State::Leader(leader) = &self.state else { return };
        let contact = self.last_quorum_contact(leader, now, Some(leader.elected_at));
        if contact.is_none_or(|contact| contact + self.config.election_timeout_max <= now) {
            self.become_follower(now, None, actions);
        }
    }

    /// Returns the latest time such that a quorum of voters replied to messages sent at that time
    /// or later. `unheard` is used as the time of a member that has not replied in this term.
    fn last_quorum_contact(
        &self,
        leader: &LeaderState,
        now: Millis,
        unheard: Option<Millis>,
    ) -> Option<Millis> {
        let membership = self.log.membership();
        let contact = |member: &id::Member| {
            if *member == self.config.id {
                return Some(now);
            }
            leader.peers.get(member).and_then(|peer| peer.last_contact).or(unheard)
        };
        let mut contacts: Vec<_> = membership.voters.iter().filter_map(contact).collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(membership.quorum() - 1).copied()
    }
}
