//! What a leader knows of another member.

use std::collections::BTreeMap;

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
}

impl Progress {
    pub(crate) const fn new(next: u64, since: Millis) -> Self {
        Self { next, matched: 0, since, contact: None, mode: Mode::Probe }
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
