//! Messages between entries, and between entries and control.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    command::{Command, Config, Entry, Outcome},
    endpoint::Announcement,
    fingerprint, id,
    rpc::Lent,
};

/// A request fingerprint that crashed endpoints.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: id::Entry,
    /// The number of the sender's view.
    pub view: id::View,
    /// The revision in force at the sender.
    pub revision: id::Revision,
    /// Whether a control leader told the sender's process what is in force. Otherwise its
    /// configuration may be older than one that was acknowledged before it started.
    #[serde(default)]
    pub is_confirmed: bool,
    /// Time for which the sender's process has been confirmed and has not paused; zero when it is not
    /// confirmed.
    #[serde(default)]
    pub ready_for: Millis,
    /// Some of the suspects and quarantined requests that the sender knows of; later heartbeats tell
    /// the others.
    #[serde(default)]
    pub suspects: Vec<Suspect>,
    /// What the sender lent in the windows of limits with a burst, so that the next lender of an
    /// organisation does not lend it again.
    #[serde(default)]
    pub lent: Vec<Lent>,
}

/// What an entry tells the control leader.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Checkin {
    /// The entry, with its addresses.
    pub entry: Entry,
    /// The revision in force at the entry.
    pub revision: id::Revision,
    /// The version of the site configuration in force at the entry, if it has one.
    pub site: Option<u64>,
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
    /// Whether the entry fetches the revision that the answer names. Entries of earlier versions do
    /// not say so, and are answered with the configuration itself.
    #[serde(default)]
    pub fetches: bool,
}

/// The control leader's answer to [`Checkin`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Checked {
    /// The leader has heard the entry.
    Heard {
        /// The revision in force.
        revision: id::Revision,
        /// The configuration, when that of an entry that does not fetch is older; without the site
        /// when the entry has it.
        config: Option<Box<Config>>,
        /// The addresses of the control members.
        members: Vec<String>,
    },
    /// The asked member is not the leader.
    NotLeader {
        /// The leader's address, when it is known.
        leader: Option<String>,
    },
}

/// What one version showed on one route since the last check-in.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Propose {
    /// The command.
    pub command: Command,
}

/// The answer to [`Propose`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
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
