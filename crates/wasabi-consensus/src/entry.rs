//! What the log holds.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wasabi_protocol::id;

use crate::Membership;

/// The place of an entry: the term in which it was accepted, and its index.
///
/// Positions are ordered by term and then by index, which is the order in which logs are compared
/// at elections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// The term in which the entry was accepted. It is not the highest term joined.
    pub term: u64,
    /// The index, counted from 1.
    pub index: u64,
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The term in which the entry was accepted.
    pub term: u64,
    /// The index, counted from 1.
    pub index: u64,
    /// The content.
    pub data: Payload,
}

impl Entry {
    /// Returns the place of the entry.
    pub const fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }

    /// Returns the approximate size of the entry in a message, in bytes.
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

/// The content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; appended by a new leader so that earlier entries can be committed.
    Empty,
    /// A command of the state machine.
    Command(Bytes),
    /// The members from this entry on.
    Members(Membership),
}

/// The highest term joined and the vote given in it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Vote {
    /// The highest term joined.
    pub term: u64,
    /// The candidate that got the vote of this member in that term.
    pub voted_for: Option<id::Member>,
}

/// The state machine up to a position, with the members in force there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the snapshot covers.
    pub last: Position,
    /// The members in force at that entry.
    pub membership: Membership,
    /// The state machine's bytes.
    pub data: Bytes,
}
