//! What entries tell each other about parts of prompts that crash endpoints.

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, fingerprint::Part, id};

/// A crash of an endpoint, and the parts that may have caused it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The incarnation that crashed, so that each crash counts once whoever reports it.
    pub incarnation: u64,
    /// Time since the crash, in milliseconds.
    pub age: Millis,
    /// The parts of the requests to which no answer had begun.
    pub suspected: Vec<Suspected>,
}

/// A part that a request had whose connection broke before its answer began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Suspected {
    /// The part.
    pub part: Part,
    /// A digest of the organisation of the request.
    pub organisation: u64,
}

/// A part that was found to crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Poison {
    /// The part.
    pub part: Part,
    /// How often it was found since its table began. A later finding replaces an earlier one.
    pub finding: u32,
    /// What holds for it.
    pub verdict: Verdict,
    /// Digests of the organisations whose requests crashed endpoints with it.
    pub organisations: Vec<u64>,
    /// Number of crashes that led to the finding.
    pub crashes: u32,
    /// Number of trials of this finding.
    pub trials: u32,
    /// Time until the next trial, in milliseconds.
    pub left: Millis,
}

/// What holds for a part that was found to crash endpoints. A later variant replaces an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Requests with it are refused.
    Quarantined,
    /// An answer to it began, so that requests with it run again.
    Released,
}
