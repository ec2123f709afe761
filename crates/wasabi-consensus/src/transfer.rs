//! Handing leadership over before a planned stop.

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
        let best = candidates.max_by_key(|(_, peer)| (peer.matched, peer.contact));
        if let Some((target, _)) = best {
            let until = now + self.config.election_max;
            leader.transfer = Some(Transfer { target: target.clone(), until });
        }
    }

    /// Hands over once everything is committed and the target holds it, or gives up in time.
    pub(crate) fn finish_transfer(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else { return };
        let Some(Transfer { target, until }) = leader.transfer.clone() else { return };
        if until <= now {
            leader.transfer = None;
            return;
        }
        let matched = leader.peers.get(&target).map_or(0, |peer| peer.matched);
        if self.commit < last || matched < last {
            return;
        }
        // The lease ends first: from here on the others may vote at once, and this member cannot
        // lead this term again.
        self.follow(now, None, actions);
        let message = Message::TakeOver { term: self.vote.term };
        actions.push(Action::Send(target, message));
    }
}
