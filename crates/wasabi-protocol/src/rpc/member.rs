//! Messages between control members.

use serde::{Deserialize, Serialize};

use crate::id;

/// Messages of the agreement between two control members.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Step {
    /// The sender.
    pub from: id::Member,
    /// The IP address and port that the sender listens on.
    pub address: String,
    /// Proofs that the sender holds the same digests of operators' credentials; one that the
    /// receiver knows suffices, so that credentials can be replaced one after the other.
    pub proofs: Vec<String>,
    /// The member that the sender means.
    pub to: id::Member,
    /// Which part of the messages this is; none when it holds them whole.
    #[serde(default)]
    pub part: Option<Part>,
    /// The messages, encoded with postcard and then base64, or a part of what postcard gave.
    pub messages: String,
}

/// One of several parts of messages that are too large for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// Tells the messages from all others of the sender.
    pub number: u64,
    /// The place of this part, from 0 on.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
}

/// Asks a member whether it ever got a message from the asker.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// The asker.
    pub from: id::Member,
}

/// The answer to [`Hello`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HelloReply {
    /// No message of the asker ever came.
    Never,
    /// The asker took part before, so an empty folder means that it lost its disk.
    Before,
}

/// Asks the control leader to be a member of its group.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Join {
    /// The member.
    pub member: id::Member,
    /// The IP address and port that it listens on.
    pub address: String,
    /// Proofs that the sender knows the operators' digests.
    pub proofs: Vec<String>,
    /// The address of the leader that answered the member's last question, if one did.
    #[serde(default)]
    pub leader: Option<String>,
}

/// The answer to [`Join`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Joined {
    /// It is a voting member.
    Member,
    /// The next step is under way; the member asks again.
    Waiting,
    /// The asked member does not lead.
    NotLeader {
        /// The leader's address, when it is known.
        leader: Option<String>,
    },
}
