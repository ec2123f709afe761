//! What is durable, and the messages that wait for it.

use std::collections::VecDeque;

use wasabi_protocol::id;

use crate::{Action, Batch, Message, Persist, Snapshot, Vote, log::Log};

/// Tracks durable state by version: each change raises the version, and a message that depends on
/// a change waits until a batch of at least that version is persisted.
#[derive(Debug, Clone, Default)]
pub(crate) struct Durable {
    /// Version of the state in memory.
    version: u64,
    /// Version that is durable.
    stored: u64,
    /// Version of the outstanding batch.
    outstanding: Option<u64>,
    /// Last index in the outstanding batch that is still part of the log.
    outstanding_index: u64,
    /// Last index that was handed out in a batch.
    issued: u64,
    /// Last index that is durable.
    index: u64,
    vote: Option<Vote>,
    snapshot: Option<Snapshot>,
    truncate_from: Option<u64>,
    waiting: VecDeque<(u64, id::Member, Message)>,
}

impl Durable {
    pub(crate) fn new(last_index: u64) -> Self {
        Self { issued: last_index, index: last_index, ..Self::default() }
    }

    /// Returns the last index that is durable.
    pub(crate) const fn index(&self) -> u64 {
        self.index
    }

    /// Returns the last index that was handed out in a batch.
    pub(crate) const fn issued(&self) -> u64 {
        self.issued
    }

    /// Returns the version of the state in memory.
    pub(crate) const fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether everything up to the version is durable.
    pub(crate) const fn holds(&self, version: u64) -> bool {
        version <= self.stored
    }

    pub(crate) fn set_vote(&mut self, vote: Vote) {
        self.vote = Some(vote);
        self.version += 1;
    }

    pub(crate) const fn appended(&mut self) {
        self.version += 1;
    }

    pub(crate) fn truncated(&mut self, index: u64) {
        if index <= self.issued {
            let from = self.truncate_from.map_or(index, |from| from.min(index));
            self.truncate_from = Some(from);
            self.issued = index - 1;
        }
        self.index = self.index.min(index - 1);
        self.outstanding_index = self.outstanding_index.min(index - 1);
        self.version += 1;
    }

    /// Notes a snapshot of this member's own state machine; the entries that it covers are durable.
    pub(crate) fn compacted(&mut self, snapshot: Snapshot) {
        self.snapshot = Some(snapshot);
        self.version += 1;
    }

    /// Notes a snapshot that came from the leader; `last_index` is the end of the log after it.
    pub(crate) fn installed(&mut self, snapshot: Snapshot, last_index: u64) {
        let covered = snapshot.last.index;
        self.snapshot = Some(snapshot);
        if last_index == covered {
            // The rest of the stored log is void, also when it is longer than the snapshot.
            self.truncate_from = Some(covered + 1);
            self.issued = covered;
            // Below the snapshot's end, so that it counts only after its own batch.
            self.index = self.index.min(covered.saturating_sub(1));
            self.outstanding_index = self.outstanding_index.min(covered.saturating_sub(1));
        }
        self.issued = self.issued.max(covered);
        self.version += 1;
    }

    /// Sends the message, or keeps it until the present state is durable.
    pub(crate) fn send(&mut self, to: id::Member, message: Message, actions: &mut Vec<Action>) {
        if self.version == self.stored {
            actions.push(Action::Send(to, message));
        } else {
            self.waiting.push_back((self.version, to, message));
        }
    }

    /// Returns the next batch, unless one is outstanding or nothing changed.
    pub(crate) fn flush(&mut self, log: &Log) -> Option<Persist> {
        if self.outstanding.is_some() || self.version == self.stored {
            return None;
        }
        let entries = log.since(self.issued + 1).to_vec();
        self.issued = log.last().index;
        self.outstanding = Some(self.version);
        self.outstanding_index = self.issued;
        let batch = Batch {
            vote: self.vote.take(),
            snapshot: self.snapshot.take(),
            truncate_from: self.truncate_from.take(),
            entries,
        };
        Some(Persist { batch, version: self.version })
    }

    /// Notes that the batch of the version is durable and releases the messages that waited.
    pub(crate) fn persisted(&mut self, version: u64, actions: &mut Vec<Action>) {
        if self.outstanding != Some(version) {
            return;
        }
        self.outstanding = None;
        self.stored = version;
        self.index = self.index.max(self.outstanding_index);
        self.release(version, actions);
    }

    /// Releases the messages that wait for the version or an earlier one.
    pub(crate) fn release(&mut self, version: u64, actions: &mut Vec<Action>) {
        while self.waiting.front().is_some_and(|(needed, ..)| *needed <= version) {
            if let Some((_, to, message)) = self.waiting.pop_front() {
                actions.push(Action::Send(to, message));
            }
        }
    }
}
