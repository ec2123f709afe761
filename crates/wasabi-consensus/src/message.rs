//! Messages between members.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wasabi_protocol::clock::Millis;

use crate::{Entry, Membership, Position};

/// A message between members.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender; changes nothing at the receiver.
    PreVote {
        /// The term that the sender would start.
        term: u64,
        /// The last entry of the sender's log.
        last: Position,
    },
    /// Answers [`Message::PreVote`].
    PreVoteReply {
        /// The term asked for when granted, otherwise the receiver's highest term joined.
        term: u64,
        /// Whether the receiver would vote for the asker.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The term that the sender started.
        term: u64,
        /// The last entry of the sender's log.
        last: Position,
        /// Whether the leader asked the sender to take over, so that its lease has ended.
        transfer: bool,
    },
    /// Answers [`Message::Vote`].
    VoteReply {
        /// The receiver's highest term joined.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Adds entries, or is a heartbeat when it has none.
    Append {
        /// The leader's term.
        term: u64,
        /// The entry before the first one sent.
        prev: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The leader's clock before sending, returned in the answer.
        sent: Millis,
    },
    /// Answers [`Message::Append`] and the last chunk of [`Message::Install`].
    AppendReply {
        /// The receiver's highest term joined.
        term: u64,
        /// What became of the entries.
        verdict: Verdict,
        /// The `sent` time of the message answered.
        sent: Millis,
    },
    /// Sends one chunk of a snapshot.
    Install {
        /// The leader's term.
        term: u64,
        /// The last entry that the snapshot covers.
        last: Position,
        /// The members in force at that entry.
        membership: Membership,
        /// Length of the whole snapshot, in bytes.
        total: u64,
        /// Offset of the chunk, in bytes.
        offset: u64,
        /// The chunk.
        chunk: Bytes,
        /// The leader's clock before sending, returned in the answer.
        sent: Millis,
    },
    /// Answers a chunk that did not complete the snapshot.
    InstallReply {
        /// The receiver's highest term joined.
        term: u64,
        /// The last entry that the snapshot covers.
        last: Position,
        /// The offset that the receiver needs next, in bytes.
        next: u64,
        /// The `sent` time of the message answered.
        sent: Millis,
    },
    /// Tells a voter that holds the whole log to start an election at once.
    TakeOver {
        /// The leader's term.
        term: u64,
    },
}

impl Message {
    /// Returns the term that the message carries.
    pub const fn term(&self) -> u64 {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Install { term, .. }
            | Self::InstallReply { term, .. }
            | Self::TakeOver { term } => *term,
        }
    }
}

/// What became of the entries of an [`Message::Append`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Verdict {
    /// The receiver holds the leader's log durably up to this index.
    Matched(u64),
    /// The receiver lacks the entry before the first one sent; its log can match the leader's
    /// only up to this index.
    Conflict(u64),
    /// The sender's term is over.
    Stale,
}
