//! Replication progress of the other members, as tracked by the leader.

use std::collections::{BTreeMap, VecDeque};

use wasabi_protocol::{clock::Millis, id};

use crate::Snapshot;

/// How the leader replicates to a member.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum SendMode {
    /// The last matching entry is unknown; only empty appends are sent.
    Probe,
    /// Entries are pipelined without waiting for replies.
    Stream,
    /// A snapshot is transferred, one chunk at a time.
    Snapshot {
        snapshot: Snapshot,
        offset: u64,
        /// When the transfer reached this offset.
        offset_since: Millis,
        /// When the last chunk was sent.
        sent: Option<Millis>,
        /// Time after which an unacknowledged chunk is resent, in milliseconds.
        resend_after: Millis,
    },
}

/// Replication progress of one member.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The next index to send.
    pub(crate) next_index: u64,
    /// The highest index known to be durable on the member.
    pub(crate) match_index: u64,
    /// When the leader started to replicate to the member.
    pub(crate) tracked_since: Millis,
    /// The leader's clock before it sent the latest message that the member replied to.
    pub(crate) last_contact: Option<Millis>,
    pub(crate) mode: SendMode,
    /// The unacknowledged messages with entries.
    pub(crate) inflight: Inflight,
    /// When the current stream of entries started.
    pub(crate) stream_started: Millis,
    /// The latest delivery check without a reply.
    pub(crate) delivery_check: Option<DeliveryCheck>,
}

/// An empty append sent after the entries in flight. Its reply shows whether they arrived.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DeliveryCheck {
    /// The last index in flight when the check was sent.
    pub(crate) index: u64,
    pub(crate) sent: Millis,
}

/// Messages with entries that are not acknowledged yet.
#[derive(Debug, Clone, Default)]
pub(crate) struct Inflight {
    /// The last index of each message and the size of its entries in bytes, in order.
    sent: VecDeque<(u64, usize)>,
    bytes: usize,
}

impl Inflight {
    pub(crate) fn add(&mut self, last: u64, bytes: usize) {
        self.sent.push_back((last, bytes));
        self.bytes += bytes;
    }

    /// Removes the messages whose entries are all at or below the matched index.
    pub(crate) fn acknowledge(&mut self, matched: u64) {
        while let Some((last, bytes)) = self.sent.front().copied()
            && last <= matched
        {
            self.sent.pop_front();
            self.bytes -= bytes;
        }
    }

    /// Removes all messages because their entries will be resent.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the size of the unacknowledged entries, in bytes.
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Progress {
    pub(crate) fn new(next_index: u64, now: Millis) -> Self {
        let inflight = Inflight::default();
        Self {
            next_index,
            match_index: 0,
            tracked_since: now,
            last_contact: None,
            mode: SendMode::Probe,
            inflight,
            stream_started: now,
            delivery_check: None,
        }
    }

    /// Starts to stream entries after the last one known to match.
    pub(crate) fn start_stream(&mut self, now: Millis) {
        self.next_index = self.match_index + 1;
        self.mode = SendMode::Stream;
        self.inflight.clear();
        self.stream_started = now;
        self.delivery_check = None;
    }

    /// Returns whether more than the given number of bytes is sent but not acknowledged.
    pub(crate) const fn is_backlogged(&self, bytes: usize) -> bool {
        match &self.mode {
            SendMode::Probe => false,
            SendMode::Stream => bytes < self.inflight.bytes(),
            SendMode::Snapshot { snapshot, .. } => bytes < snapshot.data.len(),
        }
    }
}

/// The state of a leader.
#[derive(Debug, Clone)]
pub(crate) struct LeaderState {
    pub(crate) elected_at: Millis,
    pub(crate) last_heartbeat: Millis,
    pub(crate) peers: BTreeMap<id::Member, Progress>,
    pub(crate) transfer: Option<Transfer>,
}

/// A pending leadership transfer.
#[derive(Debug, Clone)]
pub(crate) struct Transfer {
    pub(crate) target: id::Member,
    pub(crate) deadline: Millis,
}
