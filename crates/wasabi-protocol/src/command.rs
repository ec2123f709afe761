//! Commands of the replicated log and their outcomes.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    contract::{Contract, Limits, Problem},
    endpoint, fault, id, site,
};

/// Who ordered a change, and on which revision.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The command's unique name. A resent command keeps it.
    pub command: id::Command,
    /// The operator who gave it.
    pub operator: String,
    /// The revision that the operator looked at.
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
    /// Processor time that its host gives it, in thousandths of a core.
    pub capacity: u32,
    /// When its process started, in milliseconds since the Unix epoch; tells a restarted process
    /// from the one before.
    pub started: Millis,
    /// Whether it takes new callers.
    pub duty: Duty,
}

/// Whether an entry takes new callers and owns pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// It takes new callers and owns pools.
    Serving,
    /// It finishes what it has; it is on no list and owns no pool.
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

/// A version move as the operator orders it.
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
    /// When all traffic must have moved, in milliseconds since the Unix epoch.
    pub finish_by: Millis,
    /// The first share of each route's traffic, in thousandths.
    pub start_permille: u32,
    /// How long the move is watched after its end, in milliseconds.
    pub watch: Millis,
}

/// Where a version move stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The new version gets at most this share of each route's traffic, in thousandths.
    Share(u32),
    /// All traffic goes to the new version; the old one is kept until the time, in milliseconds
    /// since the Unix epoch.
    Watching {
        /// The end of the watch.
        until: Millis,
    },
    /// The move is done.
    Done,
    /// The move was taken back; the new version is not offered again.
    TakenBack,
}

impl Stage {
    /// Returns whether the move has ended.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }
}

/// A version move and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Move {
    /// What was ordered.
    pub plan: Plan,
    /// Where it stands.
    pub stage: Stage,
    /// Why it stands there, for the operator.
    pub reason: String,
    /// When it was ordered, in milliseconds since the Unix epoch.
    pub started: Millis,
    /// When the stage last changed, in milliseconds since the Unix epoch.
    pub changed: Millis,
}

impl Move {
    /// Returns the time from the order until all traffic must have moved, in milliseconds.
    pub fn span(&self) -> Millis {
        self.plan.finish_by.since(self.started)
    }
}

/// The configuration that entries hold.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    /// The revision. It covers everything below.
    pub revision: id::Revision,
    /// The entry view.
    pub view: View,
    /// The contracts, ordered by organisation.
    pub contracts: Vec<Contract>,
    /// The moves that have not ended, and the ended ones still kept, ordered by name.
    pub moves: Vec<Move>,
    /// Versions that were taken back and are never offered again.
    pub banned: Vec<(id::Backend, id::Version)>,
    /// The site configuration, on deployments whose operator sends one.
    pub site: Option<site::Config>,
}

impl Config {
    /// Returns the limits of an organisation, from its contract or from the site.
    pub fn limits(&self, organisation: &id::Organisation) -> Option<Limits> {
        let mut contracts = self.contracts.iter();
        if let Some(contract) = contracts.find(|contract| contract.organisation == *organisation) {
            return Some(contract.limits);
        }
        let mut of_site = self.site.iter().flat_map(|site| &site.organisations);
        of_site.find(|one| one.name == *organisation)?.contract_limits()
    }
}

/// The name of an at-most-once record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// The organisation.
    pub organisation: id::Organisation,
    /// The key that its caller chose.
    pub key: id::Key,
}

/// The outcome of a request that runs at most once, as the record keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Kept {
    /// What is known about whether it ran.
    pub ran: fault::Ran,
    /// The HTTP status of the answer, when one came.
    pub status: Option<u16>,
    /// The content type of the answer.
    pub content_type: String,
    /// The body of the answer, when it is at most [`KEPT_BODY_BYTES_MAX`] long.
    pub body: Option<String>,
}

/// Longest answer body that a record keeps, in bytes.
pub const KEPT_BODY_BYTES_MAX: usize = 16 * 1024;

/// Time that a record is kept after its last change, in milliseconds.
pub const KEY_RETENTION: Millis = Millis::from_secs(24 * 60 * 60);

/// Allowance for the difference between callers' clocks and the log's clock, in milliseconds.
pub const KEY_CLOCK_SKEW_MAX: Millis = Millis::from_secs(5 * 60);

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Command {
    /// Puts a contract in force, in place of an earlier one of the same organisation.
    ApplyContract {
        /// Who orders it.
        order: Order,
        /// The contract.
        contract: Contract,
    },
    /// Ends a contract.
    RemoveContract {
        /// Who orders it.
        order: Order,
        /// The organisation.
        organisation: id::Organisation,
    },
    /// Starts a version move.
    StartMove {
        /// Who orders it.
        order: Order,
        /// The move.
        plan: Plan,
    },
    /// Takes a version move back by an operator's order.
    TakeBackMove {
        /// Who orders it.
        order: Order,
        /// The move.
        name: id::Move,
    },
    /// Changes the stage of a move that has not ended; given by the leader.
    StageMove {
        /// The move.
        name: id::Move,
        /// The stage that the leader saw.
        from: Stage,
        /// The new stage.
        to: Stage,
        /// Why.
        reason: String,
    },
    /// Replaces the entry view; given by the leader.
    SetView {
        /// The view that the leader saw.
        base: id::View,
        /// The live entries.
        entries: Vec<Entry>,
    },
    /// Grants the lease for orders to the platform.
    GrantOrderLease {
        /// Who asks.
        holder: id::Member,
        /// How long it holds, in milliseconds.
        span: Millis,
    },
    /// Records that a request is about to be dispatched.
    RecordDispatch {
        /// The key.
        key: Key,
        /// When the caller says that it made the key, in milliseconds since the Unix epoch.
        created: Option<Millis>,
        /// The digest of the body.
        body: u128,
        /// The attempt.
        attempt: id::Attempt,
        /// The entry that will dispatch.
        entry: id::Entry,
    },
    /// States that no byte of the attempt left and that none will.
    ReleaseDispatch {
        /// The key.
        key: Key,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// States how the attempt ended.
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
    /// Puts a site configuration in force unless one with the same or a higher version is.
    PutSite(Box<site::Document>),
}

/// What a command did.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// It was accepted; the configuration has this revision.
    Accepted {
        /// The revision.
        revision: id::Revision,
    },
    /// It was made on an older revision.
    Conflict {
        /// The revision in force.
        revision: id::Revision,
        /// Who made the last change.
        operator: String,
        /// What the last change was.
        change: String,
    },
    /// It was refused for the reasons given.
    Refused {
        /// Every fault.
        problems: Vec<Problem>,
    },
    /// The order lease is granted.
    Leased {
        /// The fencing number.
        fence: id::Fence,
        /// Time that the holder must wait before its first order, in milliseconds.
        wait: Millis,
    },
    /// Another holder has the order lease.
    LeaseHeld {
        /// The holder.
        holder: id::Member,
        /// Time until it ends, in milliseconds.
        remaining: Millis,
    },
    /// The dispatch is recorded: this attempt may run, and no other.
    Recorded,
    /// The key was recorded by another attempt that has no outcome yet.
    Pending {
        /// The other attempt.
        attempt: id::Attempt,
        /// The entry that holds it.
        entry: id::Entry,
    },
    /// The key has an outcome.
    Finished(Kept),
    /// The key was used with another body.
    KeyReused,
    /// The key has no record and is too old for that to prove that it never ran.
    KeyExpired,
    /// The record is changed as asked.
    Done,
    /// The record does not exist or belongs to another attempt.
    NoRecord,
}
