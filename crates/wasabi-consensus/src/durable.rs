//! Tracking of durable state and of the messages that wait for it.

use std::collections::VecDeque;

use wasabi_protocol::id;

use crate::{Action, Batch, Message, Persist, Snapshot, Vote, log::Log};

/// Tracks durable state by version. Each change increments the version, and a message that depends
/// on a change is held back until a batch of at least that version is persisted.
#[derive(Debug, Clone, Default)]
pub(crate) struct Durable {
    /// Version of the state in memory.
    memory_version: u64,
    /// Version of the durable state.
    durable_version: u64,
    /// Version of the outstanding batch.
    outstanding: Option<u64>,
    /// Last index of the outstanding batch that is not truncated since.
    outstanding_index: u64,
    /// Last index included in a batch so far.
    issued_index: u64,
    /// Last durable index.
    durable_index: u64,
    vote: Option<Vote>,
    snapshot: Option<Snapshot>,
    truncate_from: Option<u64>,
    waiting_messages: VecDeque<(u64, id::Member, Message)>,
}

impl Durable {
    pub(crate) fn new(last_index: u64) -> Self {
        Self { issued_index: last_index, durable_index: last_index, ..Self::default() }
    }

    /// Returns the last durable index.
    pub(crate) const fn index(&self) -> u64 {
        self.durable_index
    }

    /// Returns the last index included in a batch so far.
    pub(crate) const fn issued_index(&self) -> u64 {
        self.issued_index
    }

    /// Returns the version of the state in memory.
    pub(crate) const fn memory_version(&self) -> u64 {
        self.memory_version
    }

    /// Returns whether the state of the version is durable.
    pub(crate) const fn is_durable(&self, version: u64) -> bool {
        version <= self.durable_version
    }

    pub(crate) fn set_vote(&mut self, vote: Vote) {
        self.vote = Some(vote);
        self.memory_version += 1;
    }

    pub(crate) const fn record_append(&mut self) {
        self.memory_version += 1;
    }

    pub(crate) fn record_truncation(&mut self, index: u64) {
        if index <= self.issued_index {
            let from = self.truncate_from.map_or(index, |from| from.min(index));
            self.truncate_from = Some(from);
            self.issued_index = index - 1;
        }
        self.durable_index = self.durable_index.min(index - 1);
        self.outstanding_index = self.outstanding_index.min(index - 1);
        self.memory_version += 1;
    }

    /// Records a snapshot of this member's own state machine, which covers only durable entries.
    pub(crate) fn record_compaction(&mut self, snapshot: Snapshot) {
        self.snapshot = Some(snapshot);
        self.memory_version += 1;
    }

    /// Records a snapshot received from the leader. `last_index` is the last index of the log after
    /// the installation.
    pub(crate) fn record_install(&mut self, snapshot: Snapshot, last_index: u64) {
        let covered = snapshot.last.index;
        self.snapshot = Some(snapshot);
        if last_index == covered {
            // Discards all stored entries, including those after the snapshot.
            self.truncate_from = Some(covered + 1);
            self.issued_index = covered;
            // Stays below the snapshot until the batch that contains it is persisted.
            self.durable_index = self.durable_index.min(covered.saturating_sub(1));
            self.outstanding_index = self.outstanding_index.min(covered.saturating_sub(1));
        }
        self.issued_index = self.issued_index.max(covered);
        self.memory_version += 1;
    }

    /// Sends the message, or holds it back until the current state is durable.
    pub(crate) fn send(&mut self, to: id::Member, message: Message, actions: &mut Vec<Action>) {
        if self.memory_version == self.durable_version {
            actions.push(Action::Send(to, message));
        } else {
            self.waiting_messages.push_back((self.memory_version, to, message));
        }
    }

    /// Returns the next batch, or `None` if one is outstanding or nothing changed.
    pub(crate) fn flush(&mut self, log: &Log) -> Option<Persist> {
        if self.outstanding.is_some() || self.memory_version == self.durable_version {
            return None;
        }
        let entries = log.entries_from(self.issued_index + 1).to_vec();
        self.issued_index = log.last().index;
        self.outstanding = Some(self.memory_version);
        self.outstanding_index = self.issued_index;
        let batch = Batch {
            vote: self.vote.take(),
            snapshot: self.snapshot.take(),
            truncate_from: self.truncate_from.take(),
            entries,
        };
        Some(Persist { batch, version: self.memory_version })
    }

    /// Records that the batch of the version is durable and releases the messages that waited for
    /// it.
    pub(crate) fn record_persisted(&mut self, version: u64, actions: &mut Vec<Action>) {
        if self.outstanding != Some(version) {
            return;
        }
        self.outstanding = None;
        self.durable_version = version;
        self.durable_index = self.durable_index.max(self.outstanding_index);
        self.release_messages(version, actions);
    }

    /// Sends the messages that wait for the version or an earlier one.
    pub(crate) fn release_messages(&mut self, version: u64, actions: &mut Vec<Action>) {
        while self.waiting_messages.front().is_some_and(|(needed, ..)| *needed <= version) {
            if let Some((_, to, message)) = self.waiting_messages.pop_front() {
                actions.push(Action::Send(to, message));
            }
        }
    }
}
