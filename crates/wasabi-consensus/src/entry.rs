//! Log entries, positions, votes and snapshots.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wasabi_protocol::id;

use crate::Membership;

/// The position of an entry in the log: the term in which a leader appended it, and its index.
///
/// Positions are ordered by term and then by index, as elections compare logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// The term of the leader that appended the entry, which may be older than the member's current
    /// term.
    pub term: u64,
    /// The log index, starting at 1.
    pub index: u64,
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended the entry.
    pub term: u64,
    /// The log index, starting at 1.
    pub index: u64,
    /// The payload.
    pub data: Payload,
}

impl Entry {
    /// Returns the position of the entry.
    pub const fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }

    /// Returns the approximate encoded size of the entry in a message, in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        OVERHEAD_BYTES
            + match &self.data {
                Payload::Empty => 0,
                Payload::Command(bytes) => bytes.len(),
                Payload::Members(members) => 32 * (members.voters.len() + members.learners.len()),
            }
    }
}

/// The payload of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Payload {
    /// No content. A new leader appends such an entry so that entries of earlier terms can be
    /// committed.
    Empty,
    /// A state machine command.
    Command(Bytes),
    /// The membership in effect from this entry on.
    Members(Membership),
}

/// The current term of a member and the vote cast in it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Vote {
    /// The current term: the latest one that the member has adopted.
    pub term: u64,
    /// The candidate that this member voted for in that term.
    pub voted_for: Option<id::Member>,
}

/// The serialized state machine at a log position, with the membership in effect there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the snapshot covers.
    pub last: Position,
    /// The membership in effect at that entry.
    pub membership: Membership,
    /// The serialized state machine.
    pub data: Bytes,
}
