//! Commands of the replicated log and their outcomes.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    contract::{Contract, Limits, Problem},
    endpoint, fault, id, site,
};

/// The operator who requested a change, and the revision that the change is based on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The unique id of the command. A resent command keeps it.
    pub command: id::Command,
    /// The operator who issued the command.
    pub operator: String,
    /// The revision that the change is based on.
    pub base: id::Revision,
}

/// One member of the entry view.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The entry's name.
    pub name: id::Entry,
    /// The IP address and port for callers and endpoints.
    pub caller_address: String,
    /// The IP address and port for peers and control.
    pub peer_address: String,
    /// The data centre.
    pub data_centre: id::DataCentre,
    /// The region.
    pub region: id::Region,
    /// CPU time that its host allots to it, in thousandths of a core.
    pub capacity: u32,
    /// When its process started, in milliseconds since the Unix epoch; distinguishes a restarted
    /// process from its predecessor.
    pub started: Millis,
    /// Whether it accepts new callers.
    pub duty: Duty,
}

/// Whether an entry accepts new callers and owns pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// It accepts new callers and owns pools.
    Serving,
    /// It finishes its current requests, is not listed to callers and owns no pool.
    Draining,
}

/// The live entries, as a numbered view.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct View {
    /// The number of the view.
    pub number: id::View,
    /// The members, ordered by name.
    pub entries: Vec<Entry>,
}

/// A version move as requested by an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Plan {
    /// The name of the move.
    pub name: id::Move,
    /// Whether the endpoints are model engines or plain services.
    pub kind: endpoint::Kind,
    /// The model or service.
    pub backend: id::Backend,
    /// The version in use.
    pub from: id::Version,
    /// The version to move to.
    pub to: id::Version,
    /// Deadline for moving all traffic, in milliseconds since the Unix epoch.
    pub finish_by: Millis,
    /// The initial share of each route's traffic, in thousandths.
    pub start_permille: u32,
    /// How long the new version is monitored once it has all traffic, in milliseconds.
    pub watch: Millis,
}

/// The stage of a version move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The new version receives at most this share of each route's traffic, in thousandths.
    Share(u32),
    /// All traffic goes to the new version, which is monitored; the old version is kept for a
    /// rollback.
    Watching {
        /// When monitoring ends, in milliseconds since the Unix epoch.
        until: Millis,
    },
    /// The move is complete.
    Done,
    /// The move was rolled back; the new version is banned.
    TakenBack,
}

impl Stage {
    /// Returns whether the move has ended.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }
}

/// A version move and its current stage.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Move {
    /// The requested move.
    pub plan: Plan,
    /// The current stage.
    pub stage: Stage,
    /// The reason for the current stage, shown to the operator.
    pub reason: String,
    /// When it was requested, in milliseconds since the Unix epoch.
    pub started: Millis,
    /// When the stage last changed, in milliseconds since the Unix epoch.
    pub changed: Millis,
}

impl Move {
    /// Returns the time from the request to the deadline, in milliseconds.
    pub fn span(&self) -> Millis {
        self.plan.finish_by.since(self.started)
    }
}

/// The configuration that is replicated to all entries.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    /// The revision of the whole configuration.
    pub revision: id::Revision,
    /// The entry view.
    pub view: View,
    /// The contracts, ordered by organisation.
    pub contracts: Vec<Contract>,
    /// Moves in progress and retained completed moves, ordered by name.
    pub moves: Vec<Move>,
    /// Versions that were rolled back and must not be deployed again.
    pub banned: Vec<(id::Backend, id::Version)>,
    /// The site configuration, in deployments that use one.
    pub site: Option<site::Config>,
}

impl Config {
    /// Returns the limits of an organisation, from its contract or else from the site.
    pub fn limits(&self, organisation: &id::Organisation) -> Option<Limits> {
        let mut contracts = self.contracts.iter();
        if let Some(contract) = contracts.find(|contract| contract.organisation == *organisation) {
            return Some(contract.limits);
        }
        let mut of_site = self.site.iter().flat_map(|site| &site.organisations);
        of_site.find(|one| one.name == *organisation)?.contract_limits()
    }
}

/// The key of an at-most-once record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// The organisation.
    pub organisation: id::Organisation,
    /// The idempotency key chosen by the caller.
    pub key: id::Key,
}

/// The outcome of an at-most-once request, as stored in its record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Kept {
    /// Whether the request ran, as far as is known.
    pub ran: fault::Ran,
    /// The HTTP status of the response, if one was received.
    pub status: Option<u16>,
    /// The content type of the response.
    pub content_type: String,
    /// The response body, if it is at most [`KEPT_BODY_BYTES_MAX`] long.
    pub body: Option<String>,
}

/// Maximum size of a response body stored in a record, in bytes.
pub const KEPT_BODY_BYTES_MAX: usize = 16 * 1024;

/// How long a record is kept after its last change.
pub const KEY_RETENTION: Millis = Millis::from_secs(24 * 60 * 60);

/// Maximum tolerated skew between callers' clocks and the clock of the log.
pub const KEY_CLOCK_SKEW_MAX: Millis = Millis::from_secs(5 * 60);

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Command {
    /// Applies a contract, replacing any earlier one of the same organisation.
    ApplyContract {
        /// The order.
        order: Order,
        /// The contract.
        contract: Contract,
    },
    /// Removes a contract.
    RemoveContract {
        /// The order.
        order: Order,
        /// The organisation.
        organisation: id::Organisation,
    },
    /// Starts a version move.
    StartMove {
        /// The order.
        order: Order,
        /// The move.
        plan: Plan,
    },
    /// Rolls back a version move at an operator's request.
    TakeBackMove {
        /// The order.
        order: Order,
        /// The move.
        name: id::Move,
    },
    /// Changes the stage of a move in progress; proposed by the leader.
    StageMove {
        /// The move.
        name: id::Move,
        /// The stage that the proposal is based on.
        from: Stage,
        /// The new stage.
        to: Stage,
        /// The reason for the change.
        reason: String,
    },
    /// Replaces the entry view; proposed by the leader.
    SetView {
        /// The view that the proposal is based on.
        base: id::View,
        /// The live entries.
        entries: Vec<Entry>,
    },
    /// Grants the lease for issuing orders to the platform.
    GrantOrderLease {
        /// The member that requests the lease.
        holder: id::Member,
        /// Duration of the lease, in milliseconds.
        span: Millis,
    },
    /// Records that a request is about to be dispatched.
    RecordDispatch {
        /// The key.
        key: Key,
        /// Creation time of the key as stated by the caller, in milliseconds since the Unix epoch.
        created: Option<Millis>,
        /// The digest of the request body.
        body: u128,
        /// The attempt.
        attempt: id::Attempt,
        /// The entry that dispatches the request.
        entry: id::Entry,
    },
    /// Releases the record: no byte of the attempt was sent, and none will be.
    ReleaseDispatch {
        /// The key.
        key: Key,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Records how the attempt ended.
    FinishDispatch {
        /// The key.
        key: Key,
        /// The attempt.
        attempt: id::Attempt,
        /// The outcome.
        kept: Kept,
    },
    /// Removes records past their retention.
    ExpireKeys,
    /// Applies a site configuration, unless one with the same or a higher version is in force.
    PutSite(Box<site::Document>),
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The command was accepted; the configuration now has this revision.
    Accepted {
        /// The revision.
        revision: id::Revision,
    },
    /// The command is based on an outdated revision.
    Conflict {
        /// The revision in force.
        revision: id::Revision,
        /// The operator who made the last change.
        operator: String,
        /// Description of the last change.
        change: String,
    },
    /// The command was refused.
    Refused {
        /// All problems found.
        problems: Vec<Problem>,
    },
    /// The order lease was granted.
    Leased {
        /// The fencing token.
        fence: id::Fence,
        /// Time that the holder must wait before its first order, in milliseconds.
        wait: Millis,
    },
    /// The order lease is held by another member.
    LeaseHeld {
        /// The holder.
        holder: id::Member,
        /// Time until it expires, in milliseconds.
        remaining: Millis,
    },
    /// The dispatch is recorded: only this attempt may run.
    Recorded,
    /// The key was recorded by another attempt that has no outcome yet.
    Pending {
        /// The other attempt.
        attempt: id::Attempt,
        /// The entry that dispatched it.
        entry: id::Entry,
    },
    /// The request with this key has finished with this outcome.
    Finished(Kept),
    /// The key was used with a different body.
    KeyReused,
    /// The key has no record, but is older than the retention, so the request may have run.
    KeyExpired,
    /// The record was changed.
    Done,
    /// The record does not exist or belongs to another attempt.
    NoRecord,
}
