//! Messages between control members.

use serde::{Deserialize, Serialize};

use crate::id;

/// Consensus messages from one control member to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Step {
    /// The sender.
    pub from: id::Member,
    /// The IP address and port that the sender listens on.
    pub address: String,
    /// Proofs that the sender knows the digests of operators' credentials. One valid proof suffices,
    /// so that credentials can be rotated one at a time.
    pub proofs: Vec<String>,
    /// The intended receiver.
    pub to: id::Member,
    /// Which part of the messages this is; `None` if it contains all of them.
    #[serde(default)]
    pub part: Option<Part>,
    /// The messages, encoded with postcard and then base64, or a part of the postcard encoding.
    pub messages: String,
}

/// A part of messages that are too large for a single request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// Identifies the messages among all of the sender.
    pub number: u64,
    /// The index of this part, starting at 0.
    pub index: u32,
    /// The total number of parts.
    pub count: u32,
}

/// Asks a member whether it has ever received a message from the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub from: id::Member,
}

/// The response to [`Hello`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HelloReply {
    /// No message from the sender was ever received.
    Never,
    /// The sender was a member before, so if its data directory is empty, its disk was lost.
    Before,
}

/// Asks the control leader to add a member to its group.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Join {
    /// The member.
    pub member: id::Member,
    /// The IP address and port that it listens on.
    pub address: String,
    /// Proofs that the sender knows the digests of operators' credentials.
    pub proofs: Vec<String>,
    /// The address of the leader that answered the member's previous request, if any.
    #[serde(default)]
    pub leader: Option<String>,
}

/// The response to [`Join`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Joined {
    /// The sender is a voting member.
    Member,
    /// The change is in progress; the sender should ask again.
    Waiting,
    /// The responder is not the leader.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<String>,
    },
}
