//! Follower side of replication: appending entries, installing snapshots and compacting the log.

use bytes::Bytes;
use wasabi_protocol::{clock::Millis, id};

use crate::{
    Action, AppendResult, Entry, Membership, Message, Node, Position, Snapshot, node::State,
};

/// A partially received snapshot.
#[derive(Debug, Clone)]
pub(crate) struct IncomingSnapshot {
    last: Position,
    membership: Membership,
    data: Vec<u8>,
}

impl Node {
    /// Follows the sender if it leads the current term, and returns whether it does.
    pub(crate) fn accept_leader(
        &mut self,
        now: Millis,
        from: &id::Member,
        term: u64,
        sent: Millis,
        actions: &mut Vec<Action>,
    ) -> bool {
        if term < self.vote.term {
            let term = self.vote.term;
            let message = Message::AppendReply { term, verdict: AppendResult::Stale, sent };
            self.send(from.clone(), message, actions);
            return false;
        }
        if matches!(self.state, State::Leader(_)) {
            self.halt("two members lead the same term", actions);
            return false;
        }
        self.become_follower(now, Some(from.clone()), actions);
        self.leader_heard_at = now;
        self.reset_election_deadline(now);
        true
    }

    pub(crate) fn handle_append(
        &mut self,
        from: id::Member,
        prev: Position,
        entries: Vec<Entry>,
        commit: u64,
        sent: Millis,
        actions: &mut Vec<Action>,
    ) {
        let base = self.log.base().index;
        let known = prev.index < base || self.log.term_at(prev.index) == Some(prev.term);
        let verdict = if known {
            let matched = prev.index + entries.len() as u64;
            if !self.append_entries(entries, actions) {
                return;
            }
            self.commit_index = self.commit_index.max(commit.min(matched));
            AppendResult::Matched(matched)
        } else {
            // The leader has all committed entries, so the logs match at least up to the commit
            // index.
            let end = self.log.last().index.min(prev.index.saturating_sub(1));
            let conflicts = self.log.term_at(prev.index).is_some();
            let hint = if conflicts { self.log.first_of_term(prev.index) - 1 } else { end };
            AppendResult::Conflict(hint.max(self.commit_index))
        };
        let message = Message::AppendReply { term: self.vote.term, verdict, sent };
        self.send(from, message, actions);
    }

    pub(crate) fn handle_install(
        &mut self,
        from: id::Member,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let Message::Install { last, membership, total, offset, chunk, sent, .. } = message else {
            return;
        };
        let term = self.vote.term;
        if last.index <= self.commit_index {
            let verdict = AppendResult::Matched(last.index);
            self.send(from, Message::AppendReply { term, verdict, sent }, actions);
            return;
        }
        if self.incoming_snapshot.as_ref().is_none_or(|incoming| incoming.last != last) {
            self.incoming_snapshot = Some(IncomingSnapshot { last, membership, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming_snapshot else { return };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk);
        }
        let next = incoming.data.len() as u64;
        if next < total {
            self.send(from, Message::InstallReply { term, last, next, sent }, actions);
            return;
        }
        if let Some(incoming) = self.incoming_snapshot.take() {
            let IncomingSnapshot { last, membership, data } = incoming;
            let snapshot = Snapshot { last, membership, data: Bytes::from(data) };
            self.log.install(snapshot.clone());
            self.durable.record_install(snapshot, self.log.last().index);
            self.commit_index = last.index;
        }
        let verdict = AppendResult::Matched(last.index);
        self.send(from, Message::AppendReply { term, verdict, sent }, actions);
    }

    /// Replaces the entries up to the index with a snapshot of this member's own state machine.
    pub(crate) fn compact(&mut self, index: u64, data: Bytes) {
        if index <= self.log.base().index || self.applied_index < index {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let membership = self.log.membership_at(index).clone();
        let snapshot = Snapshot { last: Position { term, index }, membership, data };
        self.log.install(snapshot.clone());
        self.durable.record_compaction(snapshot);
    }

    /// Appends the entries missing from the log, truncating conflicting ones. Returns false if this
    /// would replace a committed entry.
    fn append_entries(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) -> bool {
        let base = self.log.base().index;
        for entry in entries.into_iter().skip_while(|entry| entry.index <= base) {
            if self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last().index {
                if entry.index <= self.commit_index {
                    self.halt(
                        "the leader sent an entry that conflicts with a committed entry",
                        actions,
                    );
                    return false;
                }
                self.log.truncate_from(entry.index);
                self.durable.record_truncation(entry.index);
            }
            self.log.push(entry);
            self.durable.record_append();
        }
        true
    }
}
