//! Messages between members.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wasabi_protocol::clock::Millis;

use crate::{Entry, Membership, Position};

/// A message between members.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender, without changing the receiver's state.
    PreVote {
        /// The term in which the sender would campaign.
        term: u64,
        /// The last entry of the sender's log.
        last: Position,
    },
    /// Reply to [`Message::PreVote`].
    PreVoteReply {
        /// The requested term if granted, otherwise the receiver's current term.
        term: u64,
        /// Whether the receiver would vote for the requester.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The term in which the sender campaigns.
        term: u64,
        /// The last entry of the sender's log.
        last: Position,
        /// Whether the leader transferred leadership to the sender, which means that the leader's
        /// lease has ended.
        transfer: bool,
    },
    /// Reply to [`Message::Vote`].
    VoteReply {
        /// The receiver's current term.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries to the receiver's log; a heartbeat if it has no entries.
    Append {
        /// The leader's term.
        term: u64,
        /// The position of the entry preceding the new ones.
        prev: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The leader's clock before sending, echoed in the reply.
        sent: Millis,
    },
    /// Reply to [`Message::Append`] and to the last chunk of [`Message::Install`].
    AppendReply {
        /// The receiver's current term.
        term: u64,
        /// The outcome of the append.
        verdict: AppendResult,
        /// The `sent` time of the message that this replies to.
        sent: Millis,
    },
    /// Transfers one chunk of a snapshot.
    Install {
        /// The leader's term.
        term: u64,
        /// The last entry that the snapshot covers.
        last: Position,
        /// The membership in effect at that entry.
        membership: Membership,
        /// Size of the whole snapshot, in bytes.
        total: u64,
        /// Offset of the chunk, in bytes.
        offset: u64,
        /// The content of the chunk.
        chunk: Bytes,
        /// The leader's clock before sending, echoed in the reply.
        sent: Millis,
    },
    /// Reply to a chunk that did not complete the snapshot.
    InstallReply {
        /// The receiver's current term.
        term: u64,
        /// The last entry that the snapshot covers.
        last: Position,
        /// The offset that the receiver needs next, in bytes.
        next: u64,
        /// The `sent` time of the message that this replies to.
        sent: Millis,
    },
    /// Tells a voter with a complete log to start an election immediately.
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

/// The outcome of a [`Message::Append`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum AppendResult {
    /// The receiver's log durably matches the leader's up to this index.
    Matched(u64),
    /// The receiver's log does not contain the preceding entry and can match the leader's at most
    /// up to this index.
    Conflict(u64),
    /// The sender's term is older than the receiver's.
    Stale,
}
