//! Messages between entries, control and operators.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    command::{Command, Config, Entry, Move, Outcome},
    contract::{TIERS, Tier},
    endpoint::Announcement,
    fault::Fault,
    fingerprint, id,
    request::{Report, Request},
};

/// Names of the methods.
pub mod method {
    /// Asks a pool owner for a grant; answered when one is given or refused.
    pub const ACQUIRE: &str = "pool.acquire";
    /// Gives a grant back with its report.
    pub const RELEASE: &str = "pool.release";
    /// Takes a grant back from its holder before the first token.
    pub const PREEMPT: &str = "pool.preempt";
    /// Tells a new pool owner the grants that a holder still uses.
    pub const REPORT: &str = "pool.report";
    /// Relays an endpoint's announcement to the pool owner.
    pub const ANNOUNCE: &str = "endpoint.announce";
    /// Relays that an endpoint leaves.
    pub const LEAVE: &str = "endpoint.leave";
    /// Asks the owner of an organisation's budget for a slice.
    pub const LEND: &str = "budget.lend";
    /// Exchanges liveness and summaries between entries.
    pub const PEER_HEARTBEAT: &str = "peer.heartbeat";
    /// Returns the configuration in force at a peer or at control.
    pub const CONFIG: &str = "config.fetch";
    /// Exchanges liveness between an entry and the control leader.
    pub const CONTROL_HEARTBEAT: &str = "control.heartbeat";
    /// Proposes a command to the control leader.
    pub const PROPOSE: &str = "control.propose";
    /// Carries a message of the agreement between control members.
    pub const CONSENSUS: &str = "consensus.step";
    /// Asks a member whether it ever heard the asker, before the asker founds a group.
    pub const HELLO: &str = "consensus.hello";
    /// Gives an operator's command.
    pub const OPERATE: &str = "operator.command";
    /// Returns contracts, moves, entries, endpoints and degraded parts.
    pub const STATUS: &str = "operator.status";
    /// Changes the members of the control group.
    pub const MEMBERS: &str = "operator.members";
    /// Drains an entry.
    pub const DRAIN: &str = "operator.drain";
}

/// Asks a pool owner for a grant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Acquire {
    /// The pool.
    pub pool: id::Pool,
    /// The entry that holds the caller.
    pub holder: id::Entry,
    /// The request.
    pub request: Request,
}

/// A grant: the holder may run the request on the endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the grant at its owner.
    pub grant: id::Grant,
    /// The pool.
    pub pool: id::Pool,
    /// The owner.
    pub owner: id::Entry,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The IP address and port of the endpoint.
    pub address: String,
    /// The version of the endpoint.
    pub version: id::Version,
    /// Whether the endpoint resumes streams.
    pub resume: bool,
    /// Longest silence before the first token, in milliseconds.
    pub first_token_bound: Millis,
    /// Longest silence between tokens, in milliseconds.
    pub between_tokens_bound: Millis,
}

/// The owner's answer to [`Acquire`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Acquired {
    /// The request may run.
    Granted(Grant),
    /// The request is refused; nothing ran.
    Refused(Fault),
    /// The asked entry does not own the pool in its view.
    NotOwner {
        /// The number of its view.
        view: id::View,
    },
}

/// Gives a grant back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// The pool.
    pub pool: id::Pool,
    /// The owner that gave the grant.
    pub owner: id::Entry,
    /// The number of the grant.
    pub grant: id::Grant,
    /// The attempt that held it.
    pub attempt: id::Attempt,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The route of the request.
    pub route: id::Route,
    /// The version that served it.
    pub version: id::Version,
    /// What the attempt showed.
    pub report: Report,
}

/// Takes a grant back from its holder, unless a token of the answer came already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preempt {
    /// The pool.
    pub pool: id::Pool,
    /// The attempt that the grant started.
    pub attempt: id::Attempt,
}

/// A grant that a holder still uses, told to a new owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The request.
    pub request: Request,
    /// The endpoint.
    pub endpoint: id::Endpoint,
}

/// Tells a new pool owner what a holder still runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Holdings {
    /// The pool.
    pub pool: id::Pool,
    /// The entry that holds the callers.
    pub holder: id::Entry,
    /// What it runs.
    pub running: Vec<Running>,
}

/// The load of a pool, shared between entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pressure {
    /// The pool.
    pub pool: id::Pool,
    /// The model or service.
    pub backend: id::Backend,
    /// Waiting requests by tier.
    pub waiting: [u32; TIERS],
    /// Running requests by tier.
    pub running: [u32; TIERS],
    /// Requests that its endpoints may run at one time.
    pub capacity: u32,
    /// The least urgent tier started in the last second.
    pub lowest_started: Option<Tier>,
}

/// A request fingerprint that crashed endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Suspect {
    /// The fingerprint.
    pub fingerprint: fingerprint::Body,
    /// The organisation.
    pub organisation: id::Organisation,
    /// Crashes in which it ran alone or was the only common request.
    pub crashes: u32,
    /// Weight collected from crashes of whole batches, from 0 to the number of crashes.
    pub weight: f64,
    /// Age of the last crash, in milliseconds.
    pub age: Millis,
}

/// What entries tell each other, and the answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: id::Entry,
    /// The number of the sender's view.
    pub view: id::View,
    /// The revision in force at the sender.
    pub revision: id::Revision,
    /// Revisions that the sender knows to be in force at other entries.
    pub known: Vec<(id::Entry, id::Revision)>,
    /// The pools that the sender owns.
    pub pools: Vec<Pressure>,
    /// Suspects and quarantined requests.
    pub suspects: Vec<Suspect>,
}

/// What an entry tells the control leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checkin {
    /// The entry, with its addresses.
    pub entry: Entry,
    /// The revision in force at the entry.
    pub revision: id::Revision,
    /// Revisions that it knows to be in force at its peers.
    pub known: Vec<(id::Entry, id::Revision)>,
    /// Evidence about moves, collected by the pools that it owns.
    pub evidence: Vec<Evidence>,
    /// The endpoints of the pools that it owns.
    pub endpoints: Vec<Announcement>,
    /// Suspects and quarantined requests.
    pub suspects: Vec<Suspect>,
    /// Parts that are degraded, in words for the operator.
    pub degraded: Vec<String>,
}

/// The control leader's answer to [`Checkin`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Checked {
    /// The leader has heard the entry.
    Heard {
        /// The revision in force.
        revision: id::Revision,
        /// The configuration, when the entry's is older.
        config: Option<Box<Config>>,
    },
    /// The asked member is not the leader.
    NotLeader {
        /// The leader's address, when it is known.
        leader: Option<String>,
    },
}

/// What one version showed on one route since the last check-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The move.
    pub name: id::Move,
    /// The route.
    pub route: id::Route,
    /// The version.
    pub version: id::Version,
    /// Requests that ended, without abandoned ones.
    pub requests: u64,
    /// Requests that failed by the endpoint's fault.
    pub errors: u64,
    /// Requests slower than the route's targets after correction for length.
    pub slow: u64,
    /// Whether the owner stopped the new version by its own evidence.
    pub stopped: bool,
}

/// A command to the control leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Propose {
    /// The command.
    pub command: Command,
}

/// The answer to [`Propose`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Proposed {
    /// The command is committed with this outcome.
    Committed(Outcome),
    /// The asked member is not the leader; the command was not proposed.
    NotLeader {
        /// The leader's address, when it is known.
        leader: Option<String>,
    },
    /// Leadership was lost after the command was proposed; it may still be committed.
    Unknown,
}

/// What the operator sees of the whole system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It orders the log.
    Leader,
    /// It votes and holds the log.
    Voter,
    /// It receives the log and has no vote yet.
    Learner,
}

/// A finished move, for reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The move, with its final stage.
    pub ended: Move,
}

/// Part of an organisation's budget, lent to one pool owner for a short time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Slice {
    /// Requests that may be started while the slice lasts.
    pub requests: f64,
    /// Estimated tokens that may be started while the slice lasts.
    pub tokens: f64,
    /// Requests that may run at one time while the slice lasts.
    pub concurrency: u32,
    /// How long the slice lasts, in milliseconds.
    pub span: Millis,
}

/// What a pool owner used of an organisation's budget since it last asked, and what it wants.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Requests started.
    pub requests: u64,
    /// Estimated tokens started.
    pub tokens: u64,
    /// Requests running now.
    pub running: u32,
    /// Requests that wait for budget.
    pub waiting: u32,
    /// Estimated tokens of the requests that wait for budget.
    pub waiting_tokens: u64,
}

/// Asks the owner of an organisation's budget for the next slice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lend {
    /// The organisation.
    pub organisation: id::Organisation,
    /// The pool that asks.
    pub pool: id::Pool,
    /// What the pool used and wants.
    pub used: Usage,
}

/// An operator's command with the credential.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Operate {
    /// The credential; control holds only its digest.
    pub credential: String,
    /// The command; only commands with an order are taken.
    pub command: Command,
    /// Longest time to wait until the change is in force at every entry, in milliseconds.
    pub wait: Millis,
}

/// The answer to [`Operate`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Force {
    /// Entries that confirmed it.
    pub confirmed: Vec<id::Entry>,
    /// Entries that are known not to serve.
    pub stopped: Vec<id::Entry>,
    /// Entries that may still serve an older revision.
    pub behind: Vec<id::Entry>,
}

/// An operator's question for the status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Inquire {
    /// The credential.
    pub credential: String,
    /// Whose knowledge is asked for.
    pub source: Source,
}

/// Whose knowledge an operator asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The leader's, which is up to date.
    Leader,
    /// That of the asked member, which may be old; for use without a quorum.
    Member,
}

/// The answer to [`Inquire`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeMembers {
    /// The credential.
    pub credential: String,
    /// The change.
    pub change: MemberChange,
}

/// A change of one member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The credential.
    pub credential: String,
    /// The entry. It drains once it sees itself as draining in the view.
    pub entry: id::Entry,
}

/// The answer to [`Drain`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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

/// Messages of the agreement between two control members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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
    /// The messages, encoded with postcard and then base64.
    pub messages: String,
}

/// Asks a member whether it ever got a message from the asker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The asker.
    pub from: id::Member,
}

/// The answer to [`Hello`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Met {
    /// No message of the asker ever came.
    Never,
    /// The asker took part before, so an empty folder means that it lost its disk.
    Before,
}
