//! A follower's duties: taking entries and snapshots from the leader, and dropping old entries.

use bytes::Bytes;
use wasabi_protocol::{clock::Millis, id};

use crate::{Action, Entry, Membership, Message, Node, Position, Snapshot, Verdict, node::State};

/// A snapshot of which some chunks have arrived.
#[derive(Debug, Clone)]
pub(crate) struct Incoming {
    last: Position,
    membership: Membership,
    data: Vec<u8>,
}

impl Node {
    /// Returns whether the sender leads the present term, and follows it if so.
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
            let message = Message::AppendReply { term, verdict: Verdict::Stale, sent };
            self.send(from.clone(), message, actions);
            return false;
        }
        if matches!(self.state, State::Leader(_)) {
            self.halt("two members lead one term", actions);
            return false;
        }
        self.follow(now, Some(from.clone()), actions);
        self.heard = now;
        self.reset_deadline(now);
        true
    }

    pub(crate) fn append(
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
            if !self.add(entries, actions) {
                return;
            }
            self.commit = self.commit.max(commit.min(matched));
            Verdict::Matched(matched)
        } else {
            // The leader holds everything committed, so the search need not go below that.
            let end = self.log.last().index.min(prev.index.saturating_sub(1));
            let conflicts = self.log.term_at(prev.index).is_some();
            let hint = if conflicts { self.log.first_of_term(prev.index) - 1 } else { end };
            Verdict::Conflict(hint.max(self.commit))
        };
        let message = Message::AppendReply { term: self.vote.term, verdict, sent };
        self.send(from, message, actions);
    }

    pub(crate) fn install(
        &mut self,
        from: id::Member,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let Message::Install { last, membership, total, offset, chunk, sent, .. } = message else {
            return;
        };
        let term = self.vote.term;
        if last.index <= self.commit {
            let verdict = Verdict::Matched(last.index);
            self.send(from, Message::AppendReply { term, verdict, sent }, actions);
            return;
        }
        if self.incoming.as_ref().is_none_or(|incoming| incoming.last != last) {
            self.incoming = Some(Incoming { last, membership, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk);
        }
        let next = incoming.data.len() as u64;
        if next < total {
            self.send(from, Message::InstallReply { term, last, next, sent }, actions);
            return;
        }
        if let Some(incoming) = self.incoming.take() {
            let Incoming { last, membership, data } = incoming;
            let snapshot = Snapshot { last, membership, data: Bytes::from(data) };
            self.log.install(snapshot.clone());
            self.durable.installed(snapshot, self.log.last().index);
            self.commit = last.index;
        }
        let verdict = Verdict::Matched(last.index);
        self.send(from, Message::AppendReply { term, verdict, sent }, actions);
    }

    /// Replaces the entries up to the index by a snapshot of this member's own state machine.
    pub(crate) fn compact(&mut self, index: u64, data: Bytes) {
        if index <= self.log.base().index || self.applied < index {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let membership = self.log.membership_at(index).clone();
        let snapshot = Snapshot { last: Position { term, index }, membership, data };
        self.log.install(snapshot.clone());
        self.durable.compacted(snapshot);
    }

    /// Adds the entries that the log lacks, and returns whether they agree with what is committed.
    fn add(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) -> bool {
        let base = self.log.base().index;
        for entry in entries.into_iter().skip_while(|entry| entry.index <= base) {
            if self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last().index {
                if entry.index <= self.commit {
                    self.halt("a leader replaces a committed entry", actions);
                    return false;
                }
                self.log.truncate_from(entry.index);
                self.durable.truncated(entry.index);
            }
            self.log.push(entry);
            self.durable.appended();
        }
        true
    }
}
