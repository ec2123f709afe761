//! Calls forwarded between control hosts, and discovery of the leader.

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, endpoint, id};

/// The leader and members of the control group, as known to the responding process.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LeaderInfo {
    /// The address of the leader, if known.
    pub leader: Option<String>,
    /// The addresses of the known members, including the responder if it is one.
    pub members: Vec<String>,
}

/// A call that a control host forwards on behalf of its caller.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Forwarded<T> {
    /// Proofs that the sender knows the digests of operators' credentials.
    pub proofs: Vec<String>,
    /// The call.
    pub call: T,
}

/// A version move as requested by a control host's caller. The leader adds the current version and
/// the revision.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MoveOrder {
    /// The model or service.
    pub backend: id::Backend,
    /// Whether it is provided by model engines or plain services.
    pub kind: endpoint::Kind,
    /// The version to move to.
    pub to: id::Version,
    /// Time within which the move must be completed or rolled back, in milliseconds.
    pub within: Millis,
}

/// The result of reading the leader's state, or a redirect to the leader.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Read<T> {
    /// The responder is the leader, and its state is up to date.
    Held(T),
    /// Another member may be the leader; its address, if known.
    Elsewhere(Option<String>),
}
