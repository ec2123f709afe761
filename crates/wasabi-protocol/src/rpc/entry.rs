//! Messages between entries, and between entries and control.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    command::{Command, Config, Entry, Outcome},
    endpoint::Announcement,
    fingerprint, id,
    rpc::{Answered, Crash, Lent, Poison},
};

/// A request that is suspected of crashing endpoints.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// The fingerprint of the request.
    pub fingerprint: fingerprint::Body,
    /// The organisation.
    pub organisation: id::Organisation,
    /// Crashes in which it ran alone or was the only request in common.
    pub crashes: u32,
    /// Accumulated weight from crashes of batches, from 0 to the number of crashes.
    pub weight: f64,
    /// Time since the last crash, in milliseconds.
    pub age: Millis,
}

/// A heartbeat between entries, and the response to it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: id::Entry,
    /// The number of the sender's view.
    pub view: id::View,
    /// The revision in force at the sender.
    pub revision: id::Revision,
    /// Whether a control leader confirmed the configuration of the sender's process. Otherwise it may
    /// be older than one that was acknowledged before the process started.
    #[serde(default)]
    pub is_confirmed: bool,
    /// How long the sender's process has been confirmed without a pause; zero if it is not confirmed.
    #[serde(default)]
    pub ready_for: Millis,
    /// Some of the suspected and quarantined requests known to the sender; later heartbeats carry the
    /// others.
    #[serde(default)]
    pub suspects: Vec<Suspect>,
    /// Crashes of endpoints whose cause the sender does not know.
    #[serde(default)]
    pub crashes: Vec<Crash>,
    /// Of the parts of prompts that these crashes speak against, those to which the sender received
    /// answers.
    #[serde(default)]
    pub answered: Vec<Answered>,
    /// Some of the parts of prompts that the sender found to crash endpoints; later heartbeats carry
    /// the others.
    #[serde(default)]
    pub poisons: Vec<Poison>,
    /// What the sender lent within the windows of limits with a burst, so that the next lender of an
    /// organisation doesn't lend it again.
    #[serde(default)]
    pub lent: Vec<Lent>,
}

/// A check-in of an entry with the control leader.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Checkin {
    /// The entry and its addresses.
    pub entry: Entry,
    /// The revision in force at the entry.
    pub revision: id::Revision,
    /// The version of the site configuration in force at the entry, if it has one.
    pub site: Option<u64>,
    /// Revisions known to be in force at its peers.
    pub known: Vec<(id::Entry, id::Revision)>,
    /// Evidence about moves, collected by its pools.
    pub evidence: Vec<Evidence>,
    /// The endpoints of its pools.
    pub endpoints: Vec<Announcement>,
    /// Suspected and quarantined requests.
    pub suspects: Vec<Suspect>,
    /// Descriptions of degraded components, for the operator.
    pub degraded: Vec<String>,
    /// Whether the entry fetches the configuration itself when the response names a newer revision.
    /// Entries of earlier versions don't, so the response to them contains the configuration.
    #[serde(default)]
    pub fetches: bool,
}

/// The control leader's response to [`Checkin`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum CheckinReply {
    /// The check-in was accepted.
    Heard {
        /// The revision in force.
        revision: id::Revision,
        /// The configuration, if that of the entry is older and the entry doesn't fetch; without the
        /// site if the entry has it.
        config: Option<Box<Config>>,
        /// The addresses of the control members.
        members: Vec<String>,
    },
    /// The responder is not the leader.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<String>,
    },
}

/// Measurements of a version on a route since the last check-in.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Evidence {
    /// The move.
    pub name: id::Move,
    /// The route.
    pub route: id::Route,
    /// The version.
    pub version: id::Version,
    /// Completed requests, not counting abandoned ones.
    pub requests: u64,
    /// Requests that failed because of the endpoint.
    pub errors: u64,
    /// Requests slower than the route's targets after correction for length.
    pub slow: u64,
    /// Whether the pool owner stopped the new version based on its own evidence.
    pub stopped: bool,
}

/// A command to the control leader.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Propose {
    /// The command.
    pub command: Command,
}

/// The response to [`Propose`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Proposed {
    /// The command was committed with this outcome.
    Committed(Outcome),
    /// The responder is not the leader; the command was not proposed.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<String>,
    },
    /// Leadership was lost after the command was proposed; it may still be committed.
    Unknown,
}
