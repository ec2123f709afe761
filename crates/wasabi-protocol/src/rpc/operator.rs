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

/// What the operator sees of the whole system.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// The configuration in force at control.
    pub config: Config,
    /// The entries and the revision in force at each.
    pub entries: Vec<EntryStatus>,
    /// The endpoints that entries reported.
    pub endpoints: Vec<Announcement>,
    /// Suspects and quarantined requests.
    pub suspects: Vec<Suspect>,
    /// The control members.
    pub members: Vec<MemberStatus>,
    /// Degraded parts.
    pub degraded: Vec<String>,
}

/// What control knows of one entry.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: Entry,
    /// The revision known to be in force there.
    pub revision: id::Revision,
    /// Time since it was last heard of, in milliseconds.
    pub silent: Millis,
    /// Whether it may still serve an older revision.
    pub standing: Standing,
}

/// Whether an entry serves the revision in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It confirmed the revision in force.
    Current,
    /// It may still serve an older revision.
    Behind,
    /// Its serving time has run out: it refuses new work by itself.
    Stopped,
}

/// What is known of one control member.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub member: id::Member,
    /// Its address.
    pub address: String,
    /// Its part in the group.
    pub role: Role,
    /// The last index that it holds durably.
    pub matched: u64,
}

/// The part of a member in the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It orders the log.
    Leader,
    /// It votes and holds the log.
    Voter,
    /// It receives the log and has no vote yet.
    Learner,
}

/// An operator's command with the credential.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Operate {
    /// The credential; control holds only its digest.
    pub credential: String,
    /// The command; only commands with an order are taken.
    pub command: Command,
    /// Longest time to wait until the change is in force at every entry, in milliseconds.
    pub wait: Millis,
}

/// The answer to [`Operate`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Operated {
    /// The command is committed.
    Committed {
        /// What it did.
        outcome: Outcome,
        /// Where an accepted change is in force.
        force: Force,
    },
    /// The asked member is not the leader; the command was not proposed.
    NotLeader {
        /// The leader's address, when it is known.
        leader: Option<String>,
    },
    /// Leadership was lost after the command was proposed; resend it to learn its outcome.
    Unknown,
    /// The command was not proposed.
    Refused(Fault),
}

/// Where a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Force {
    /// Entries that confirmed it.
    pub confirmed: Vec<id::Entry>,
    /// Entries that are known not to serve.
    pub stopped: Vec<id::Entry>,
    /// Entries that may still serve an older revision.
    pub behind: Vec<id::Entry>,
}

/// An operator's question for the status.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Inquire {
    /// The credential.
    pub credential: String,
    /// Whose knowledge is asked for.
    pub source: Source,
}

/// Whose knowledge an operator asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The leader's, which is up to date.
    Leader,
    /// That of the asked member, which may be old; for use without a quorum.
    Member,
}

/// The answer to [`Inquire`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Inquired {
    /// The status.
    Status(Box<Status>),
    /// The asked member is not the leader.
    NotLeader {
        /// The leader's address, when it is known.
        leader: Option<String>,
    },
    /// The question is refused.
    Refused(Fault),
}

/// An operator's change of the control group.
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
    /// Adds a member: it catches up without a vote and then gets one.
    Add {
        /// The member, under a name that was never used before.
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

/// The answer to [`ChangeMembers`]. The call is repeated until it is done.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum MembersChanged {
    /// The change is committed, and a quorum of the members holds the whole log.
    Done {
        /// The members.
        members: Vec<MemberStatus>,
    },
    /// The change is under way.
    Waiting {
        /// What it waits for.
        reason: String,
        /// The members.
        members: Vec<MemberStatus>,
    },
    /// The asked member is not the leader.
    NotLeader {
        /// The leader's address, when it is known.
        leader: Option<String>,
    },
    /// The change does not apply.
    Refused(Fault),
}

/// An operator's order to drain an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Drain {
    /// The credential.
    pub credential: String,
    /// The entry. It drains once it sees itself as draining in the view.
    pub entry: id::Entry,
}

/// The answer to [`Drain`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Drained {
    /// The entry is on no list any more, from this revision on.
    Ordered {
        /// The revision.
        revision: id::Revision,
    },
    /// The asked member is not the leader.
    NotLeader {
        /// The leader's address, when it is known.
        leader: Option<String>,
    },
    /// Leadership was lost before the order was committed; give it again.
    Unknown,
    /// The order does not apply.
    Refused(Fault),
}
