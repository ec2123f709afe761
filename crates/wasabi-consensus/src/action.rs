//! What goes into a node and what comes out of it.

use bytes::Bytes;
use wasabi_protocol::id;

use crate::{Change, Entry, Message, Position, Snapshot, Vote};

/// The runtime's number for a proposal or a change; the node only hands it back.
pub type Request = u64;

/// What happens to a node.
#[derive(Debug)]
pub enum Event {
    /// Time has passed. The runtime sends this at least every 20 ms.
    Tick,
    /// A message arrived from the member.
    Receive(id::Member, Message),
    /// Proposes a command.
    Propose {
        /// The command.
        data: Bytes,
        /// The runtime's number for it.
        request: Request,
    },
    /// The batch of a [`Persist`] is durable.
    Persisted(Persisted),
    /// Changes one member.
    ChangeMembers {
        /// The change.
        change: Change,
        /// The runtime's number for it.
        request: Request,
    },
    /// The state machine's bytes at an index up to the last one committed to it. The node has them
    /// persisted and drops the entries that they cover.
    Compact {
        /// The index.
        index: u64,
        /// The state machine's bytes.
        data: Bytes,
    },
    /// Hands leadership to the most advanced voter, for a planned stop.
    TransferLeadership,
}

/// What the runtime must do, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends the message. Whatever it depends on is durable already.
    Send(id::Member, Message),
    /// Makes the batch durable and hands the proof back by [`Event::Persisted`]. At most one is
    /// outstanding.
    Persist(Persist),
    /// Replaces the state machine by the snapshot, which is durable. Also comes in the first step
    /// after a start from a snapshot that holds data.
    Restore(Snapshot),
    /// Applies the entries, which are committed and durable here. Each index comes once and in
    /// order.
    Commit(Vec<Entry>),
    /// The proposal or change has a place in the log. It is committed when [`Action::Commit`]
    /// brings this index with this term.
    Accepted {
        /// The runtime's number.
        request: Request,
        /// The place.
        position: Position,
    },
    /// The proposal or change was not taken; it never takes effect.
    Refuse {
        /// The runtime's number.
        request: Request,
        /// Why.
        reason: RefusalReason,
    },
    /// This member leads the term from now on.
    BecomeLeader {
        /// The term.
        term: u64,
    },
    /// This member no longer leads. Accepted proposals that were not committed have an unknown
    /// outcome.
    StepDown,
    /// The log contradicts what was committed. The runtime must end the process and keep its disk
    /// for inspection.
    Halt(&'static str),
}

/// Why a proposal or change was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefusalReason {
    /// This member does not lead; the leader is named when known.
    NotLeader(Option<id::Member>),
    /// Leadership is being handed over.
    Transferring,
    /// Too many proposals are uncommitted.
    Busy,
    /// An earlier membership change is not committed.
    ChangePending,
    /// No entry of the leader's own term is committed.
    TermNotCommitted,
    /// The learner does not hold the whole committed log.
    NotCaughtUp,
    /// The change does not apply to the members.
    NotApplicable,
}

/// Data to be made durable in one step.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The highest term joined and the vote in it, when changed.
    pub vote: Option<Vote>,
    /// A snapshot that replaces every entry that it covers.
    pub snapshot: Option<Snapshot>,
    /// The index from which stored entries are void.
    pub truncate_from: Option<u64>,
    /// Entries to add after the truncation.
    pub entries: Vec<Entry>,
}

/// A batch that must be durable before the messages that depend on it leave the node.
///
/// The node keeps those messages until it gets [`Event::Persisted`], whose content only
/// [`Persist::store`] creates.
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

    /// Calls `write`, which must return only once the batch is synced, and returns the proof.
    ///
    /// # Errors
    ///
    /// Returns the error of `write`. The process must then end: what reached the disk is unknown.
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
