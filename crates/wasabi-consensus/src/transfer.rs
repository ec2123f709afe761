//! Leadership transfer before a planned shutdown.

use wasabi_protocol::clock::Millis;

use crate::{Action, Message, Node, node::State, progress::Transfer};

impl Node {
    pub(crate) fn start_transfer(&mut self, now: Millis) {
        let State::Leader(leader) = &mut self.state else { return };
        if leader.transfer.is_some() {
            return;
        }
        let voters = &self.log.membership().voters;
        let candidates = leader.peers.iter().filter(|(member, _)| voters.contains(*member));
        let best = candidates.max_by_key(|(_, peer)| (peer.match_index, peer.last_contact));
        if let Some((target, _)) = best {
            let deadline = now + self.config.election_timeout_max;
            leader.transfer = Some(Transfer { target: target.clone(), deadline });
        }
    }

    /// Completes the transfer once all entries are committed and the target has them, or cancels it
    /// at the deadline.
    pub(crate) fn finish_transfer(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else { return };
        let Some(Transfer { target, deadline }) = leader.transfer.clone() else { return };
        if deadline <= now {
            leader.transfer = None;
            return;
        }
        let matched = leader.peers.get(&target).map_or(0, |peer| peer.match_index);
        if self.commit_index < last || matched < last {
            return;
        }
        // Step down first, which ends the lease: the others may vote as soon as the target
        // campaigns, and this member cannot lead this term again.
        self.become_follower(now, None, actions);
        let message = Message::TakeOver { term: self.vote.term };
        actions.push(Action::Send(target, message));
    }
}
