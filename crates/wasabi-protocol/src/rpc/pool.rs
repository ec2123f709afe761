//! Messages between the holders of callers and the owners of pools and budgets.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    contract::{TIERS, Tier},
    fault::Fault,
    id,
    request::{Report, Request},
};

/// Asks a pool owner for a grant.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Acquire {
    /// The pool.
    pub pool: id::Pool,
    /// The entry that holds the caller.
    pub holder: id::Entry,
    /// The request.
    pub request: Request,
}

/// A grant: the holder may run the request on the endpoint.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Acquired {
    /// The request may run.
    Granted(Grant),
    /// The request is refused; nothing ran.
    Refused(Fault),
    /// The asked entry does not own the pool in its view.
    NotOwner {
        /// The number of its view.
        view: id::View,
        /// The entry that owns the pool as the asked one believes.
        #[serde(default)]
        owner: Option<id::Entry>,
    },
}

/// Gives a grant back.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Preempt {
    /// The pool.
    pub pool: id::Pool,
    /// The attempt that the grant started.
    pub attempt: id::Attempt,
}

/// A grant that a holder still uses, told to a new owner.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Running {
    /// The request.
    pub request: Request,
    /// The endpoint.
    pub endpoint: id::Endpoint,
}

/// Tells a new pool owner what a holder still runs, and one that comes back what has ended.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Holdings {
    /// The pool.
    pub pool: id::Pool,
    /// The entry that holds the callers.
    pub holder: id::Entry,
    /// What it runs.
    pub running: Vec<Running>,
    /// The attempts for which it asks for a grant; none when it does not tell. A grant of any other
    /// attempt that it does not run has ended, or was lost on its way.
    #[serde(default)]
    pub asking: Option<Vec<id::Attempt>>,
}

/// An endpoint that left, as the new owner of a pool is told.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Departure {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Processes up to this start number left; none when the teller never knew one.
    pub incarnation: Option<u64>,
    /// Time since it left, in milliseconds.
    pub age: Millis,
}

/// The load of a pool, shared between entries.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PoolLoad {
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

/// Part of an organisation's budget, lent to one pool owner for a short time.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Slice {
    /// Requests that may be started while the slice lasts.
    pub requests: f64,
    /// Estimated tokens that may be started while the slice lasts.
    pub tokens: f64,
    /// Requests that may run at one time while the slice lasts.
    pub concurrency: u32,
    /// Part of the limit on tokens that is not lent, from 0 to 1.
    pub headroom: f64,
    /// How long the slice lasts, in milliseconds.
    pub span: Millis,
}

/// What a pool owner used of an organisation's budget since it last asked, and what it wants.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
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
    /// Tokens that the account is overdrawn by.
    #[serde(default)]
    pub owed_tokens: u64,
    /// Estimated tokens started in the last window of a limit with a burst, so that a new lender
    /// knows what its predecessor lent.
    #[serde(default)]
    pub recent_tokens: u64,
    /// How long `recent_tokens` has been counted, at most the window, in milliseconds.
    #[serde(default)]
    pub counted: Millis,
    /// Tokens that were lent and may still be started.
    #[serde(default)]
    pub credit_tokens: u64,
}

/// Tokens that an entry lent to a pool in the window of an organisation's limit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lent {
    /// The organisation.
    pub organisation: id::Organisation,
    /// The pool.
    pub pool: id::Pool,
    /// The owner of the pool that they were lent to.
    pub owner: id::Entry,
    /// Tokens by the age in seconds at which they were lent, the latest first.
    pub tokens: Vec<u64>,
}

/// Asks the owner of an organisation's budget for the next slice.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Lend {
    /// The organisation.
    pub organisation: id::Organisation,
    /// The pool that asks.
    pub pool: id::Pool,
    /// The owner of the pool.
    pub owner: id::Entry,
    /// What the pool used and wants.
    pub used: Usage,
}
