//! Messages between control hosts on behalf of their own callers, and the question who leads.

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, endpoint, id};

/// Who leads the control group, as the asked process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LeaderInfo {
    /// The address of the leader, when it is known.
    pub leader: Option<String>,
    /// The addresses of the members that are known, the asked one among them if it is one.
    pub members: Vec<String>,
}

/// A call that a control host makes for its own caller.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Forwarded<T> {
    /// Proofs that the sender knows the digests of the operators' credentials.
    pub proofs: Vec<String>,
    /// The call.
    pub call: T,
}

/// A version move as a control host's caller orders it. The leader fills in the version in use and
/// the revision.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MoveOrder {
    /// The model or service.
    pub backend: id::Backend,
    /// Whether model engines or plain services provide it.
    pub kind: endpoint::Kind,
    /// The version to move to.
    pub to: id::Version,
    /// Time until the move must be done or taken back, in milliseconds.
    pub within: Millis,
}

/// What the leader's state says, or who may know it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Read<T> {
    /// The asked member leads, and its state is the newest.
    Held(T),
    /// Another member may lead; its address, when it is known.
    Elsewhere(Option<String>),
}
