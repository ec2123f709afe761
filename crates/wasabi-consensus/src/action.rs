//! Input events and output actions of a node.

use bytes::Bytes;
use wasabi_protocol::id;

use crate::{Change, Entry, Message, Position, Snapshot, Vote};

/// Identifies a proposal or membership change. The runtime assigns it and the node returns it
/// unchanged.
pub type RequestId = u64;

/// An input to a node.
#[derive(Debug)]
pub enum Event {
    /// Advances time. The runtime sends this at least every 20 ms.
    Tick,
    /// Delivers a message from the given member.
    Receive(id::Member, Message),
    /// Proposes a command.
    Propose {
        /// The command.
        data: Bytes,
        /// The id to return with the outcome.
        request: RequestId,
    },
    /// Reports that the batch of a [`Persist`] is durable.
    Persisted(Persisted),
    /// Requests a membership change of one member.
    ChangeMembers {
        /// The change.
        change: Change,
        /// The id to return with the outcome.
        request: RequestId,
    },
    /// Supplies the serialized state machine at an index that is already applied. The node persists
    /// it as a snapshot and discards the entries that it covers.
    Compact {
        /// The index.
        index: u64,
        /// The serialized state machine.
        data: Bytes,
    },
    /// Transfers leadership to the most up-to-date voter before a planned shutdown.
    TransferLeadership,
}

/// An operation that the runtime must perform, in the order returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends the message. The state that it depends on is already durable.
    Send(id::Member, Message),
    /// Makes the batch durable and returns the proof as [`Event::Persisted`]. At most one batch is
    /// outstanding.
    Persist(Persist),
    /// Replaces the state machine with the snapshot, which is durable. Also returned by the first
    /// step after a start from a snapshot that contains data.
    Restore(Snapshot),
    /// Applies the entries, which are committed and durable on this member. Each index is returned
    /// exactly once, in order.
    Commit(Vec<Entry>),
    /// The proposal or change was appended to the log. It is committed once [`Action::Commit`]
    /// returns an entry with this index and term.
    Accepted {
        /// The id of the proposal or change.
        request: RequestId,
        /// The position in the log.
        position: Position,
    },
    /// The proposal or change was refused and never takes effect.
    Refuse {
        /// The id of the proposal or change.
        request: RequestId,
        /// The reason.
        reason: RefusalReason,
    },
    /// This member became the leader of the term.
    BecomeLeader {
        /// The term.
        term: u64,
    },
    /// This member is no longer the leader. The outcome of accepted but uncommitted proposals is
    /// unknown.
    StepDown,
    /// The log contradicts committed entries. The runtime must terminate the process and preserve
    /// its disk for inspection.
    Halt(&'static str),
}

/// Why a proposal or change was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefusalReason {
    /// This member is not the leader; contains the leader if known.
    NotLeader(Option<id::Member>),
    /// A leadership transfer is in progress.
    Transferring,
    /// Too many entries are uncommitted.
    Busy,
    /// A previous membership change is not committed.
    ChangePending,
    /// The leader has not committed an entry of its own term.
    TermNotCommitted,
    /// The learner does not have all committed entries.
    NotCaughtUp,
    /// The change does not apply to the current membership.
    NotApplicable,
}

/// Data to be made durable with a single sync.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The current term and the vote in it, if changed.
    pub vote: Option<Vote>,
    /// A snapshot that replaces all entries that it covers.
    pub snapshot: Option<Snapshot>,
    /// The index from which on stored entries are discarded.
    pub truncate_from: Option<u64>,
    /// Entries to append after the truncation.
    pub entries: Vec<Entry>,
}

/// A batch that must be durable before messages that depend on it are sent.
///
/// The node holds those messages back until it receives [`Event::Persisted`], whose content only
/// [`Persist::store`] can create.
#[derive(Debug, Clone, PartialEq)]
pub struct Persist {
    pub(crate) batch: Batch,
    pub(crate) version: u64,
}

impl Persist {
    /// Returns the data to be made durable.
    pub const fn batch(&self) -> &Batch {
        &self.batch
    }

    /// Calls `write`, which must return only after the batch is synced, and returns the proof of
    /// durability.
    ///
    /// # Errors
    ///
    /// Returns the error of `write`. The process must then terminate because the state on disk is
    /// unknown.
    pub fn store<E>(self, write: impl FnOnce(&Batch) -> Result<(), E>) -> Result<Persisted, E> {
        write(&self.batch)?;
        Ok(Persisted { version: self.version })
    }
}

/// Proof that a batch is durable.
#[derive(Debug, PartialEq, Eq)]
pub struct Persisted {
    pub(crate) version: u64,
}
