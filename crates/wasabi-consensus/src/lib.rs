//! Raft consensus between the control members on one replicated log, as a pure state machine.
//!
//! [`Node::step`] takes the time and an [`Event`] and returns [`Action`]s. The node reads no clock
//! and performs no I/O. `docs/consensus.md` describes the protocol and its rules.

mod action;
mod change;
mod config;
mod durable;
mod election;
mod entry;
mod follower;
#[cfg(feature = "rule-removal")]
mod inspect;
mod leader;
mod lease;
mod log;
mod membership;
mod message;
mod node;
mod progress;
mod rules;
mod transfer;

pub use action::{Action, Batch, Event, Persist, Persisted, RefusalReason, RequestId};
pub use config::{Config, PersistentState};
pub use entry::{Entry, Payload, Position, Snapshot, Vote};
#[cfg(feature = "rule-removal")]
pub use inspect::Inspection;
pub use membership::{Change, MemberKind, Membership, Status};
pub use message::{AppendResult, Message};
pub use node::{Node, Role};
#[doc(hidden)]
pub use rules::Rules;
