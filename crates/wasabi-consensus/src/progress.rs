//! What a leader knows of another member.

use std::collections::{BTreeMap, VecDeque};

use wasabi_protocol::{clock::Millis, id};

use crate::Snapshot;

/// How the leader sends to a member.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Mode {
    /// The point where the logs match is unknown; only heartbeats are sent.
    Probe,
    /// Entries are sent ahead of the answers.
    Stream,
    /// A snapshot is sent, one chunk after each answer.
    Install {
        snapshot: Snapshot,
        offset: u64,
        /// When a chunk at this offset was first sent.
        since: Millis,
        /// When the last chunk was sent.
        sent: Option<Millis>,
        /// Time after which the chunk is sent again, in milliseconds.
        again: Millis,
    },
}

/// What a leader knows of another member.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The next index to send.
    pub(crate) next: u64,
    /// The highest index that the member holds durably.
    pub(crate) matched: u64,
    /// When the leader began to send to the member.
    pub(crate) since: Millis,
    /// The leader's clock before the latest message that the member answered was sent.
    pub(crate) contact: Option<Millis>,
    pub(crate) mode: Mode,
    /// The messages of entries without an answer.
    pub(crate) flight: Flight,
    /// When the present stream of entries began.
    pub(crate) streamed: Millis,
    /// The last unanswered message that shows whether the stream arrived.
    pub(crate) check: Option<Check>,
}

/// An empty message behind the entries of a stream. Its answer shows whether they arrived.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Check {
    /// The last index of the stream when it was sent.
    pub(crate) index: u64,
    pub(crate) sent: Millis,
}

/// Messages of entries that were sent ahead of the answers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Flight {
    /// The last index of each message with its bytes of entries, in order.
    sent: VecDeque<(u64, usize)>,
    bytes: usize,
}

impl Flight {
    pub(crate) fn add(&mut self, last: u64, bytes: usize) {
        self.sent.push_back((last, bytes));
        self.bytes += bytes;
    }

    /// Takes into account that the member holds all entries up to the index.
    pub(crate) fn settle(&mut self, matched: u64) {
        while let Some((last, bytes)) = self.sent.front().copied()
            && last <= matched
        {
            self.sent.pop_front();
            self.bytes -= bytes;
        }
    }

    /// Forgets all messages, which are sent again.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the bytes of entries without an answer.
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Progress {
    pub(crate) fn new(next: u64, since: Millis) -> Self {
        let flight = Flight::default();
        Self {
            next,
            matched: 0,
            since,
            contact: None,
            mode: Mode::Probe,
            flight,
            streamed: since,
            check: None,
        }
    }

    /// Begins to send entries from the first one on that the member is not known to hold.
    pub(crate) fn stream(&mut self, now: Millis) {
        self.next = self.matched + 1;
        self.mode = Mode::Stream;
        self.flight.clear();
        self.streamed = now;
        self.check = None;
    }

    /// Returns whether more than so many bytes were sent that the member is not known to hold.
    pub(crate) const fn is_under_way(&self, bytes: usize) -> bool {
        match &self.mode {
            Mode::Probe => false,
            Mode::Stream => bytes < self.flight.bytes(),
            Mode::Install { snapshot, .. } => bytes < snapshot.data.len(),
        }
    }
}

/// The state of a leader.
#[derive(Debug, Clone)]
pub(crate) struct Leader {
    pub(crate) elected: Millis,
    pub(crate) heartbeat: Millis,
    pub(crate) peers: BTreeMap<id::Member, Progress>,
    pub(crate) transfer: Option<Transfer>,
}

/// A hand-over of leadership that has not happened yet.
#[derive(Debug, Clone)]
pub(crate) struct Transfer {
    pub(crate) target: id::Member,
    pub(crate) until: Millis,
}
