//! Messages between entries that serve callers and the owners of pools and budgets.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    contract::{TIERS, Tier},
    fault::Fault,
    fingerprint, id,
    request::{Report, Request},
    rpc::NamedRate,
};

/// Requests a grant from a pool owner.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Acquire {
    /// The pool.
    pub pool: id::Pool,
    /// The entry that the caller is connected to.
    pub holder: id::Entry,
    /// The request.
    pub request: Request,
}

/// A grant: permits its holder to run the request on the endpoint.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// The number of the grant, assigned by the owner.
    pub grant: id::Grant,
    /// The pool.
    pub pool: id::Pool,
    /// The owner.
    pub owner: id::Entry,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The incarnation of the endpoint; 0 when the owner does not report it.
    #[serde(default)]
    pub incarnation: u64,
    /// What the owner knows of the rate that the endpoint accepts; `None` if it named none.
    #[serde(default)]
    pub rate: Option<NamedRate>,
    /// The IP address and port of the endpoint.
    pub address: String,
    /// The version of the endpoint.
    pub version: id::Version,
    /// Whether the endpoint can resume streams.
    pub resume: bool,
    /// Timeout for the first token, in milliseconds.
    pub first_token_bound: Millis,
    /// Timeout between tokens, in milliseconds.
    pub between_tokens_bound: Millis,
}

/// The owner's response to [`Acquire`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Acquired {
    /// The request may run.
    Granted(Grant),
    /// The request was refused and did not run.
    Refused(Fault),
    /// The responder doesn't own the pool in its view.
    NotOwner {
        /// The number of the responder's view.
        view: id::View,
        /// The owner of the pool, according to the responder.
        #[serde(default)]
        owner: Option<id::Entry>,
    },
}

/// Releases a grant.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Release {
    /// The pool.
    pub pool: id::Pool,
    /// The owner that issued the grant.
    pub owner: id::Entry,
    /// The number of the grant.
    pub grant: id::Grant,
    /// The attempt that the grant was for.
    pub attempt: id::Attempt,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The route of the request.
    pub route: id::Route,
    /// The version of the endpoint.
    pub version: id::Version,
    /// The report on the attempt.
    pub report: Report,
    /// For an attempt that broke before its answer began: which parts of its prompt the holder knows
    /// to be sound, because it received answers to them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answered: Vec<Answered>,
}

/// A part of a prompt to which an answer began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answered {
    /// The part.
    pub part: fingerprint::Part,
    /// Time since the beginning of the last such answer, in milliseconds.
    pub age: Millis,
}

/// Revokes a grant, unless its holder has already received a token of the response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Preempt {
    /// The pool.
    pub pool: id::Pool,
    /// The attempt that the grant is for.
    pub attempt: id::Attempt,
}

/// A grant that its holder still uses, reported to a new owner.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Running {
    /// The request.
    pub request: Request,
    /// The endpoint.
    pub endpoint: id::Endpoint,
}

/// Reports to a new pool owner which requests a holder still runs, and to a returning owner which
/// ones have ended.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Holdings {
    /// The pool.
    pub pool: id::Pool,
    /// The entry that the callers are connected to.
    pub holder: id::Entry,
    /// The requests that it runs.
    pub running: Vec<Running>,
    /// The attempts for which it is requesting a grant; `None` if not reported. Grants of attempts
    /// that are neither running nor listed here have ended, or were lost in transit.
    #[serde(default)]
    pub asking: Option<Vec<id::Attempt>>,
}

/// A departed endpoint, as reported to the new owner of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Departure {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The latest incarnation that departed; `None` if the sender never knew one.
    pub incarnation: Option<u64>,
    /// Time since the departure, in milliseconds.
    pub age: Millis,
}

/// The load of a pool.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PoolLoad {
    /// The pool.
    pub pool: id::Pool,
    /// The model or service.
    pub backend: id::Backend,
    /// Number of waiting requests by tier.
    pub waiting: [u32; TIERS],
    /// Number of running requests by tier.
    pub running: [u32; TIERS],
    /// Maximum number of concurrent requests of its endpoints.
    pub capacity: u32,
    /// The least urgent tier started in the last second.
    pub lowest_started: Option<Tier>,
}

/// A part of an organisation's budget, lent to a pool owner for a short time.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Slice {
    /// Requests that may be started while the slice is valid.
    pub requests: f64,
    /// Estimated tokens that may be started while the slice is valid.
    pub tokens: f64,
    /// Maximum number of concurrent requests while the slice is valid.
    pub concurrency: u32,
    /// Fraction of the token limit that is not lent, from 0 to 1.
    pub headroom: f64,
    /// How long the slice is valid, in milliseconds.
    pub span: Millis,
}

/// What a pool owner used of an organisation's budget since its last request, and what it needs.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Requests started.
    pub requests: u64,
    /// Estimated tokens started.
    pub tokens: u64,
    /// Requests running now.
    pub running: u32,
    /// Requests waiting for budget.
    pub waiting: u32,
    /// Estimated tokens of the requests waiting for budget.
    pub waiting_tokens: u64,
    /// Tokens by which the account is overdrawn.
    #[serde(default)]
    pub owed_tokens: u64,
    /// Estimated tokens started in the last window of a limit with a burst. They tell a new lender
    /// what its predecessor lent.
    #[serde(default)]
    pub recent_tokens: u64,
    /// How long `recent_tokens` has been counted, at most the length of the window, in milliseconds.
    #[serde(default)]
    pub counted: Millis,
    /// Tokens that were lent and not yet used.
    #[serde(default)]
    pub credit_tokens: u64,
}

/// Tokens that an entry lent to a pool within the window of an organisation's limit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lent {
    /// The organisation.
    pub organisation: id::Organisation,
    /// The pool.
    pub pool: id::Pool,
    /// The owner of the pool at that time.
    pub owner: id::Entry,
    /// Tokens lent in each past second, the most recent first.
    pub tokens: Vec<u64>,
}

/// Requests the next slice from the owner of an organisation's budget.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Lend {
    /// The organisation.
    pub organisation: id::Organisation,
    /// The pool that needs budget.
    pub pool: id::Pool,
    /// The owner of the pool.
    pub owner: id::Entry,
    /// What the pool used and needs.
    pub used: Usage,
}
