//! Messages between operators and control.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    command::{Command, Config, Entry, Outcome},
    endpoint::Announcement,
    fault::Fault,
    id,
    rpc::Suspect,
};

/// The status of the whole system, as shown to operators.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// The configuration in force at the responder.
    pub config: Config,
    /// The entries, with the revision in force at each.
    pub entries: Vec<EntryStatus>,
    /// The endpoints reported by entries.
    pub endpoints: Vec<Announcement>,
    /// Suspected and quarantined requests.
    pub suspects: Vec<Suspect>,
    /// The control members.
    pub members: Vec<MemberStatus>,
    /// Degraded components.
    pub degraded: Vec<String>,
}

/// The status of an entry, as known to control.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: Entry,
    /// The last revision known to be in force there.
    pub revision: id::Revision,
    /// Time since its last check-in, in milliseconds.
    pub silent: Millis,
    /// Whether it may still serve an older revision.
    pub standing: Standing,
}

/// Whether an entry serves the current revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It confirmed the current revision.
    Current,
    /// It may still serve an older revision.
    Behind,
    /// Its permission to serve has expired, so it refuses new requests.
    Stopped,
}

/// The status of a control member.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub member: id::Member,
    /// Its address.
    pub address: String,
    /// Its role in the group.
    pub role: Role,
    /// The last log index known to be durable at the member.
    pub matched: u64,
}

/// The role of a member in the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It appends to the log and replicates it.
    Leader,
    /// It votes and stores the log.
    Voter,
    /// It receives the log but does not vote yet.
    Learner,
}

/// An operator's command, with the operator's credential.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CommandRequest {
    /// The credential, of which control stores only the digest.
    pub credential: String,
    /// The command; only commands with an [`Order`](crate::command::Order) are accepted.
    pub command: Command,
    /// Maximum time to wait until the change is in force at every entry, in milliseconds.
    pub wait: Millis,
}

/// The response to [`CommandRequest`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum CommandReply {
    /// The command was committed.
    Committed {
        /// The outcome of the command.
        outcome: Outcome,
        /// Where the change is in force, if it was accepted.
        force: RevisionStatus,
    },
    /// The responder is not the leader; the command was not proposed.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<String>,
    },
    /// Leadership was lost after the command was proposed; resend it to learn its outcome.
    Unknown,
    /// The command was not proposed.
    Refused(Fault),
}

/// The entries by whether a revision is in force at them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct RevisionStatus {
    /// Entries that confirmed it.
    pub confirmed: Vec<id::Entry>,
    /// Entries that are known to have stopped serving.
    pub stopped: Vec<id::Entry>,
    /// Entries that may still serve an older revision.
    pub behind: Vec<id::Entry>,
}

/// An operator's request for the status.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StatusRequest {
    /// The credential.
    pub credential: String,
    /// Which member's state is requested.
    pub source: Source,
}

/// Which member's state is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The state of the leader, which is up to date.
    Leader,
    /// The state of the responder, which may be outdated; available without a quorum.
    Member,
}

/// The response to [`StatusRequest`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum StatusReply {
    /// The status.
    Status(Box<Status>),
    /// The responder is not the leader.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<String>,
    },
    /// The request was refused.
    Refused(Fault),
}

/// An operator's request to change the members of the control group.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeMembers {
    /// The credential.
    pub credential: String,
    /// The change.
    pub change: MemberChange,
}

/// A change of one member of the control group.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// Adds a member, first as a learner and, once it has caught up, as a voter.
    Add {
        /// The member; its name must never have been used before.
        member: id::Member,
        /// The IP address and port that it listens on.
        address: String,
    },
    /// Removes a member.
    Remove {
        /// The member.
        member: id::Member,
    },
}

/// The response to [`ChangeMembers`]. The call is repeated until the change is done.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum MembersChanged {
    /// The change is committed, and a quorum of the members has the complete log.
    Done {
        /// The members.
        members: Vec<MemberStatus>,
    },
    /// The change is in progress.
    Waiting {
        /// What the change is waiting for.
        reason: String,
        /// The members.
        members: Vec<MemberStatus>,
    },
    /// The responder is not the leader.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<String>,
    },
    /// The change was refused.
    Refused(Fault),
}

/// An operator's request to drain an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Drain {
    /// The credential.
    pub credential: String,
    /// The entry. It starts draining once the entry view marks it as draining.
    pub entry: id::Entry,
}

/// The response to [`Drain`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Drained {
    /// The entry is no longer listed to callers, as of this revision.
    Ordered {
        /// The revision.
        revision: id::Revision,
    },
    /// The responder is not the leader.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<String>,
    },
    /// Leadership was lost before the request was committed; send it again.
    Unknown,
    /// The request was refused.
    Refused(Fault),
}
