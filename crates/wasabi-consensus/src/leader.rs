//! Leader side of replication: proposals, appends, heartbeats, snapshots and commits.

use bytes::Bytes;
use wasabi_protocol::{clock::Millis, id};

use crate::{
    Action, AppendResult, Entry, Message, Node, Payload, Position, RefusalReason, RequestId,
    node::State,
    progress::{DeliveryCheck, Progress, SendMode},
};

impl Node {
    pub(crate) fn propose(&mut self, data: Bytes, request: RequestId, actions: &mut Vec<Action>) {
        if let Some(reason) = self.proposal_refusal() {
            actions.push(Action::Refuse { request, reason });
            return;
        }
        let position = self.append_local(Payload::Command(data));
        actions.push(Action::Accepted { request, position });
    }

    /// Returns the reason for which this member would refuse a proposal now, if any.
    pub(crate) fn proposal_refusal(&self) -> Option<RefusalReason> {
        let State::Leader(leader) = &self.state else { return Some(self.not_leader()) };
        if leader.transfer.is_some() {
            return Some(RefusalReason::Transferring);
        }
        let uncommitted = self.log.last().index - self.commit_index;
        (self.config.uncommitted_max <= uncommitted).then_some(RefusalReason::Busy)
    }

    pub(crate) fn send_heartbeat_if_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::Leader(leader) = &mut self.state else { return };
        if now < leader.last_heartbeat + self.config.heartbeat_interval {
            return;
        }
        leader.last_heartbeat = now;
        self.broadcast_heartbeat(now, actions);
    }

    /// Probes every member. A backlogged member also gets a heartbeat that refers to the last entry
    /// known to match, so that it may overtake the data in flight.
    pub(crate) fn broadcast_heartbeat(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let State::Leader(leader) = &self.state else { return };
        let limit = self.config.backlog_bytes_max;
        let acknowledged = |peer: &Progress| peer.is_backlogged(limit).then_some(peer.match_index);
        let peers: Vec<_> = leader
            .peers
            .iter()
            .map(|(member, peer)| (member.clone(), acknowledged(peer)))
            .collect();
        for (member, acknowledged) in peers {
            if let Some(index) = acknowledged {
                self.send_empty_append(now, &member, index, actions);
            }
            self.probe(now, &member, actions);
        }
    }

    /// Streams to every member the entries that it lacks, up to the last one in a batch.
    pub(crate) fn replicate(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let term = self.vote.term;
        let State::Leader(leader) = &mut self.state else { return };
        for (member, peer) in &mut leader.peers {
            let Progress { next_index, match_index, mode: SendMode::Stream, inflight, .. } = peer
            else {
                continue;
            };
            while *next_index <= self.durable.issued_index()
                && *next_index - *match_index <= self.config.inflight_entries_max
                && inflight.bytes() < self.config.inflight_bytes_max
            {
                let Some(prev_term) = self.log.term_at(*next_index - 1) else { break };
                let prev = Position { term: prev_term, index: *next_index - 1 };
                let left = self.durable.issued_index() - prev.index;
                let count = usize::try_from(left).unwrap_or(usize::MAX);
                let count = count.min(self.config.message_entries_max);
                let entries = self.log.range(*next_index, count, self.config.message_bytes_max);
                if entries.is_empty() {
                    break;
                }
                *next_index += entries.len() as u64;
                inflight.add(*next_index - 1, entries.iter().map(Entry::size).sum());
                let commit = self.commit_index;
                let message = Message::Append { term, prev, entries, commit, sent: now };
                // Can be sent before the entries are durable here: the term is durable since the
                // election, and the leader counts its own copy only once it is durable.
                actions.push(Action::Send(member.clone(), message));
            }
        }
    }

    pub(crate) fn handle_append_reply(
        &mut self,
        now: Millis,
        from: &id::Member,
        verdict: AppendResult,
        sent: Millis,
        actions: &mut Vec<Action>,
    ) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.peers.get_mut(from) else { return };
        match verdict {
            AppendResult::Stale => {}
            AppendResult::Matched(index) => {
                peer.last_contact = peer.last_contact.max(Some(sent));
                peer.match_index = peer.match_index.max(index.min(last));
                peer.inflight.acknowledge(peer.match_index);
                peer.next_index = peer.next_index.max(peer.match_index + 1);
                let covered = match &peer.mode {
                    SendMode::Probe => true,
                    SendMode::Stream => false,
                    SendMode::Snapshot { snapshot, .. } => snapshot.last.index <= peer.match_index,
                };
                if peer.delivery_check.is_some_and(|check| check.index <= index) {
                    peer.delivery_check = None;
                }
                if covered {
                    peer.start_stream(now);
                }
            }
            AppendResult::Conflict(index) => {
                peer.last_contact = peer.last_contact.max(Some(sent));
                let next = index.min(last) + 1;
                // A conflict that adds no information triggers no probe before the next heartbeat.
                // Otherwise, duplicated messages would multiply the probes.
                let is_new = match peer.mode {
                    SendMode::Probe => next < peer.next_index,
                    // A reply to a message from before this stream says nothing about its entries
                    // and must not cause a backlog to be resent.
                    SendMode::Stream => {
                        peer.stream_started <= sent
                            || !peer.is_backlogged(self.config.backlog_bytes_max)
                    }
                    SendMode::Snapshot { .. } => false,
                };
                if !is_new || next <= peer.match_index {
                    return;
                }
                peer.next_index = next;
                peer.mode = SendMode::Probe;
                peer.inflight.clear();
                let from = from.clone();
                self.probe(now, &from, actions);
            }
        }
    }

    pub(crate) fn handle_install_reply(
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
        peer.last_contact = peer.last_contact.max(Some(sent));
        let SendMode::Snapshot { snapshot, offset, offset_since, resend_after, .. } =
            &mut peer.mode
        else {
            return;
        };
        // A late reply to an earlier chunk must not start a second sequence of chunks. A lower
        // offset counts only in a reply to the current chunk: the member has lost the earlier ones.
        let lost = next < *offset && *offset_since <= sent;
        if snapshot.last != last || !(*offset < next || lost) {
            return;
        }
        *offset = next.min(snapshot.data.len() as u64);
        let round_trip = now.since(sent);
        *resend_after = (round_trip + round_trip)
            .max(self.config.chunk_resend_min)
            .min(self.config.chunk_resend_max);
        *offset_since = now;
        self.send_chunk(now, from, actions);
    }

    /// Advances the commit index to the highest index that is durable on a quorum of the current
    /// voters.
    pub(crate) fn advance_commit_index(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let membership = self.log.membership();
        let matched = |member: &id::Member| {
            if *member != self.config.id {
                return leader.peers.get(member).map_or(0, |peer| peer.match_index);
            }
            if self.rules.sync_before_send { self.durable.index() } else { self.log.last().index }
        };
        let mut match_indexes: Vec<_> = membership.voters.iter().map(matched).collect();
        if !self.rules.learners_do_not_vote {
            match_indexes.extend(membership.learners.iter().map(matched));
        }
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = match_indexes.get(membership.quorum() - 1).copied() else { return };
        let own_term = self.log.term_at(index) == Some(self.vote.term);
        if self.commit_index < index && (own_term || !self.rules.current_term_commit) {
            self.commit_index = index;
        }
    }

    /// Sends an empty append that refers to the last entry sent, or a snapshot chunk if the entries
    /// that the member needs are compacted. A snapshot chunk, or the delivery check of a backlogged
    /// member, is not repeated before its resend time.
    fn probe(&mut self, now: Millis, member: &id::Member, actions: &mut Vec<Action>) {
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.peers.get_mut(member) else { return };
        let end = peer.next_index - 1;
        let is_installing = matches!(peer.mode, SendMode::Snapshot { .. });
        if !is_installing && self.log.term_at(end).is_none() {
            let snapshot = self.log.snapshot().clone();
            let resend_after = self.config.chunk_resend_min;
            peer.mode = SendMode::Snapshot {
                snapshot,
                offset: 0,
                offset_since: now,
                sent: None,
                resend_after,
            };
        }
        if let SendMode::Snapshot { sent, resend_after, .. } = &peer.mode {
            if sent.is_some_and(|sent| now < sent + *resend_after) {
                return;
            }
            self.send_chunk(now, member, actions);
            return;
        }
        if peer.is_backlogged(self.config.backlog_bytes_max) {
            if peer
                .delivery_check
                .is_some_and(|check| now < check.sent + self.config.delivery_check_interval)
            {
                return;
            }
            peer.delivery_check = Some(DeliveryCheck { index: end, sent: now });
        }
        self.send_empty_append(now, member, end, actions);
    }

    /// Sends an append without entries whose preceding entry is the one at the index. If that entry
    /// is compacted or absent, the message refers to the start of the log, which always matches.
    fn send_empty_append(
        &self,
        now: Millis,
        member: &id::Member,
        index: u64,
        actions: &mut Vec<Action>,
    ) {
        let prev = self.log.term_at(index).map(|term| Position { term, index }).unwrap_or_default();
        let commit = self.commit_index.min(prev.index);
        let term = self.vote.term;
        let message = Message::Append { term, prev, entries: Vec::new(), commit, sent: now };
        actions.push(Action::Send(member.clone(), message));
    }

    fn send_chunk(&mut self, now: Millis, member: &id::Member, actions: &mut Vec<Action>) {
        let term = self.vote.term;
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.peers.get_mut(member) else { return };
        let SendMode::Snapshot { snapshot, offset, sent, .. } = &mut peer.mode else { return };
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
