//! Requests as pool owners schedule them, and reports on ended attempts.

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, contract::Tier, endpoint::Closed, fault, fingerprint, id};

/// A request as seen by the pool owner. The body stays with the entry that the caller is connected
/// to.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Request {
    /// The attempt that the grant is for.
    pub attempt: id::Attempt,
    /// The organisation whose limits the request counts towards.
    pub organisation: id::Organisation,
    /// The route of the contract.
    pub route: id::Route,
    /// The model or service.
    pub backend: id::Backend,
    /// The urgency.
    pub tier: Tier,
    /// The organisation's weight within the tier.
    pub share: u32,
    /// Whether it may be sent again after part of it was sent.
    pub idempotent: bool,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens requested by the caller; the actual number is unknown.
    pub output_tokens: u32,
    /// Chained hashes of the leading prompt blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// The digest of organisation and body, for quarantine.
    pub fingerprint: fingerprint::Body,
    /// The parts of the prompt that other requests may share, at most [`fingerprint::PARTS_MAX`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<fingerprint::Part>,
    /// Time that it waited before it reached this owner, in milliseconds.
    pub waited: Millis,
    /// Time remaining until its deadline, in milliseconds.
    pub remaining: Millis,
    /// Target for the time from its arrival to the first token, in milliseconds.
    pub first_token: Millis,
    /// Target for the time between tokens, in milliseconds.
    pub between_tokens: Millis,
    /// Time from its arrival after which its caller disconnects if no token was received, in
    /// milliseconds; zero if the caller waits until the deadline.
    #[serde(default)]
    pub leaves_after: Millis,
    /// Endpoints that were already tried and must not be tried again.
    pub avoid: Vec<id::Endpoint>,
    /// Endpoints that accept no requests from the holder now. Unlike `avoid`, they do not mark the
    /// request as a retry.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub closed: Vec<Closed>,
    /// Whether the owner queues the request when it cannot start at once.
    #[serde(default, skip_serializing_if = "Patience::is_default")]
    pub patience: Patience,
}

/// Whether the owner of a pool queues a request that cannot start at once, or refuses it so that its
/// holder asks another pool of the same model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Patience {
    /// It is queued.
    #[default]
    Queue,
    /// It is queued unless the pool has no endpoint.
    UnlessEmpty,
    /// It is refused when no endpoint has room.
    UnlessFull,
}

impl Patience {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

impl Request {
    /// Returns the estimated cost in tokens, which counts towards shares and token limits.
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }

    /// Returns for how long an endpoint accepts no requests from the holder, if at all.
    pub fn closed_for(&self, endpoint: &id::Endpoint, incarnation: u64) -> Option<Millis> {
        let mut closed = self.closed.iter();
        let is_same =
            |closed: &&Closed| closed.endpoint == *endpoint && incarnation <= closed.incarnation;
        closed.find(is_same).map(|closed| closed.left)
    }
}

/// How an attempt ended, as reported by the entry that ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The complete response was received.
    Finished,
    /// The endpoint responded with a server error.
    Failed,
    /// The connection was refused or closed before any byte of the request was sent.
    Unreachable,
    /// The connection was closed after part of the request was sent.
    Broken,
    /// The endpoint made no progress before its timeout.
    Silent,
    /// The caller disconnected or the deadline passed; the endpoint is not at fault.
    Abandoned,
}

impl End {
    /// Returns whether the attempt ran, as far as is known.
    pub const fn ran(self) -> fault::Ran {
        match self {
            Self::Finished => fault::Ran::Ran,
            Self::Unreachable => fault::Ran::NotRun,
            // After a server error, any part of the request may have taken effect.
            Self::Failed | Self::Broken | Self::Silent | Self::Abandoned => fault::Ran::MayHaveRun,
        }
    }

    /// Returns whether the attempt counts as a failure of the endpoint and its version.
    pub const fn is_endpoint_failure(self) -> bool {
        !matches!(self, Self::Finished | Self::Abandoned)
    }
}

/// Measurements of an ended attempt.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// How it ended.
    pub end: End,
    /// Time from the first byte sent to the first token or byte received, in milliseconds.
    pub first_token: Option<Millis>,
    /// Time from the first to the last token, in milliseconds.
    pub stream: Millis,
    /// Output tokens received.
    pub output_tokens: u32,
    /// Prompt tokens as counted by the engine, or the estimate.
    pub prompt_tokens: u32,
}
