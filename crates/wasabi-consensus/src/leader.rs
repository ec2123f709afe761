//! A leader's duties: proposals, replication, heartbeats and commits.

use bytes::Bytes;
use wasabi_protocol::{clock::Millis, id};

use crate::{
    Action, Entry, Message, Node, Payload, Position, RefusalReason, Request, Verdict,
    node::State,
    progress::{Check, Mode, Progress},
};

impl Node {
    pub(crate) fn propose(&mut self, data: Bytes, request: Request, actions: &mut Vec<Action>) {
        if let Some(reason) = self.refusal() {
            actions.push(Action::Refuse { request, reason });
            return;
        }
        let position = self.push(Payload::Command(data));
        actions.push(Action::Accepted { request, position });
    }

    /// Returns why this member takes no proposal now.
    pub(crate) fn refusal(&self) -> Option<RefusalReason> {
        let State::Leader(leader) = &self.state else { return Some(self.not_leader()) };
        if leader.transfer.is_some() {
            return Some(RefusalReason::Transferring);
        }
        let uncommitted = self.log.last().index - self.commit;
        (self.config.uncommitted_max <= uncommitted).then_some(RefusalReason::Busy)
    }

    pub(crate) fn heartbeat(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::Leader(leader) = &mut self.state else { return };
        if now < leader.heartbeat + self.config.heartbeat {
            return;
        }
        leader.heartbeat = now;
        self.broadcast(now, actions);
    }

    /// Sends a heartbeat to every member. While much is on its way to one, its heartbeat rests only on
    /// what it is known to hold, so that it may overtake the rest.
    pub(crate) fn broadcast(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::Leader(leader) = &self.state else { return };
        let behind = self.config.behind_bytes_max;
        let held = |peer: &Progress| peer.is_under_way(behind).then_some(peer.matched);
        let peers: Vec<_> =
            leader.peers.iter().map(|(member, peer)| (member.clone(), held(peer))).collect();
        for (member, held) in peers {
            if let Some(index) = held {
                self.send_empty(now, &member, index, actions);
            }
            self.probe(now, &member, actions);
        }
    }

    /// Sends every member the entries that it lacks and that are in a batch already.
    pub(crate) fn replicate(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let term = self.vote.term;
        let State::Leader(leader) = &mut self.state else { return };
        for (member, peer) in &mut leader.peers {
            let Progress { next, matched, mode: Mode::Stream, flight, .. } = peer else { continue };
            while *next <= self.durable.issued()
                && *next - *matched <= self.config.ahead_max
                && flight.bytes() < self.config.ahead_bytes_max
            {
                let Some(prev_term) = self.log.term_at(*next - 1) else { break };
                let prev = Position { term: prev_term, index: *next - 1 };
                let left = self.durable.issued() - prev.index;
                let count = usize::try_from(left).unwrap_or(usize::MAX);
                let count = count.min(self.config.entries_max);
                let entries = self.log.range(*next, count, self.config.message_bytes_max);
                if entries.is_empty() {
                    break;
                }
                *next += entries.len() as u64;
                flight.add(*next - 1, entries.iter().map(Entry::size).sum());
                let commit = self.commit;
                let message = Message::Append { term, prev, entries, commit, sent: now };
                // Needs no wait: the term is durable since the election, and the leader counts its
                // own copy of the entries only when that is durable.
                actions.push(Action::Send(member.clone(), message));
            }
        }
    }

    pub(crate) fn count_append(
        &mut self,
        now: Millis,
        from: &id::Member,
        verdict: Verdict,
        sent: Millis,
        actions: &mut Vec<Action>,
    ) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.peers.get_mut(from) else { return };
        match verdict {
            Verdict::Stale => {}
            Verdict::Matched(index) => {
                peer.contact = peer.contact.max(Some(sent));
                peer.matched = peer.matched.max(index.min(last));
                peer.flight.settle(peer.matched);
                peer.next = peer.next.max(peer.matched + 1);
                let covered = match &peer.mode {
                    Mode::Probe => true,
                    Mode::Stream => false,
                    Mode::Install { snapshot, .. } => snapshot.last.index <= peer.matched,
                };
                if peer.check.is_some_and(|check| check.index <= index) {
                    peer.check = None;
                }
                if covered {
                    peer.stream(now);
                }
            }
            Verdict::Conflict(index) => {
                peer.contact = peer.contact.max(Some(sent));
                let next = index.min(last) + 1;
                // An answer without news gets no probe before the next heartbeat; with doubled
                // messages, probes would otherwise multiply.
                let is_new = match peer.mode {
                    Mode::Probe => next < peer.next,
                    // One that answers a message from before this stream tells nothing of it, and
                    // must not have much sent again.
                    Mode::Stream => {
                        peer.streamed <= sent || !peer.is_under_way(self.config.behind_bytes_max)
                    }
                    Mode::Install { .. } => false,
                };
                if !is_new || next <= peer.matched {
                    return;
                }
                peer.next = next;
                peer.mode = Mode::Probe;
                peer.flight.clear();
                let from = from.clone();
                self.probe(now, &from, actions);
            }
        }
    }

    pub(crate) fn count_install(
        &mut self,
        now: Millis,
        from: &id::Member,
        last: Position,
        next: u64,
        sent: Millis,
        actions: &mut Vec<Action>,
    ) {
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.peers.get_mut(from) else { return };
        peer.contact = peer.contact.max(Some(sent));
        let Mode::Install { snapshot, offset, since, again, .. } = &mut peer.mode else { return };
        // A late answer for an earlier chunk must not start a second stream of chunks. A lower
        // offset counts only in answer to the present chunk: then the member lost the earlier ones.
        let lost = next < *offset && *since <= sent;
        if snapshot.last != last || !(*offset < next || lost) {
            return;
        }
        *offset = next.min(snapshot.data.len() as u64);
        let took = now.since(sent);
        *again = (took + took).max(self.config.chunk_again).min(self.config.chunk_again_max);
        *since = now;
        self.send_chunk(now, from, actions);
    }

    /// Commits what a quorum of the voters in force holds durably.
    pub(crate) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let membership = self.log.membership();
        let matched = |member: &id::Member| {
            if *member != self.config.id {
                return leader.peers.get(member).map_or(0, |peer| peer.matched);
            }
            if self.rules.sync_first { self.durable.index() } else { self.log.last().index }
        };
        let mut held: Vec<_> = membership.voters.iter().map(matched).collect();
        if !self.rules.learner_has_no_vote {
            held.extend(membership.learners.iter().map(matched));
        }
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = held.get(membership.quorum() - 1).copied() else { return };
        let own_term = self.log.term_at(index) == Some(self.vote.term);
        if self.commit < index && (own_term || !self.rules.current_term_commit) {
            self.commit = index;
        }
    }

    /// Sends what shows where the member's log stands: a message that rests on the last entry that was
    /// sent, or a snapshot's chunk when the entries that it needs are gone. What is on its way already
    /// gets time for its answer.
    fn probe(&mut self, now: Millis, member: &id::Member, actions: &mut Vec<Action>) {
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.peers.get_mut(member) else { return };
        let end = peer.next - 1;
        let is_installing = matches!(peer.mode, Mode::Install { .. });
        if !is_installing && self.log.term_at(end).is_none() {
            let snapshot = self.log.snapshot().clone();
            let again = self.config.chunk_again;
            peer.mode = Mode::Install { snapshot, offset: 0, since: now, sent: None, again };
        }
        if let Mode::Install { sent, again, .. } = &peer.mode {
            if sent.is_some_and(|sent| now < sent + *again) {
                return;
            }
            self.send_chunk(now, member, actions);
            return;
        }
        if peer.is_under_way(self.config.behind_bytes_max) {
            if peer.check.is_some_and(|check| now < check.sent + self.config.check_again) {
                return;
            }
            peer.check = Some(Check { index: end, sent: now });
        }
        self.send_empty(now, member, end, actions);
    }

    /// Sends a message without entries that rests on the entry at the index. Without that entry it
    /// rests on the beginning of the log, which all members share.
    fn send_empty(&self, now: Millis, member: &id::Member, index: u64, actions: &mut Vec<Action>) {
        let prev = self.log.term_at(index).map(|term| Position { term, index }).unwrap_or_default();
        let commit = self.commit.min(prev.index);
        let term = self.vote.term;
        let message = Message::Append { term, prev, entries: Vec::new(), commit, sent: now };
        actions.push(Action::Send(member.clone(), message));
    }

    fn send_chunk(&mut self, now: Millis, member: &id::Member, actions: &mut Vec<Action>) {
        let term = self.vote.term;
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.peers.get_mut(member) else { return };
        let Mode::Install { snapshot, offset, sent, .. } = &mut peer.mode else { return };
        *sent = Some(now);
        let start = usize::try_from(*offset).unwrap_or(usize::MAX).min(snapshot.data.len());
        let end = start.saturating_add(self.config.message_bytes_max).min(snapshot.data.len());
        let message = Message::Install {
            term,
            last: snapshot.last,
            membership: snapshot.membership.clone(),
            total: snapshot.data.len() as u64,
            offset: *offset,
            chunk: snapshot.data.slice(start..end),
            sent: now,
        };
        actions.push(Action::Send(member.clone(), message));
    }
}
