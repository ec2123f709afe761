//! What a pool owner needs to know of a request, and what it learns when the request ends.

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, contract::Tier, fault, fingerprint, id};

/// A request as the pool owner sees it. The body stays with the entry that holds the caller.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Request {
    /// The attempt that a grant would start.
    pub attempt: id::Attempt,
    /// The organisation that pays for it.
    pub organisation: id::Organisation,
    /// The route of the contract.
    pub route: id::Route,
    /// The model or service.
    pub backend: id::Backend,
    /// The urgency.
    pub tier: Tier,
    /// Weight of the organisation's share within the tier.
    pub share: u32,
    /// Whether it may be sent again after bytes of it left.
    pub idempotent: bool,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Most output tokens that the caller asks for; the true number is unknown.
    pub output_tokens: u32,
    /// Chained hashes of the leading prompt blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// The digest of organisation and body, for quarantine.
    pub fingerprint: fingerprint::Body,
    /// Time that it has waited before it reached this owner, in milliseconds.
    pub waited: Millis,
    /// Time left until its deadline, in milliseconds.
    pub remaining: Millis,
    /// Target for the first token, counted from its arrival, in milliseconds.
    pub first_token: Millis,
    /// Target for the time between tokens, in milliseconds.
    pub between_tokens: Millis,
    /// Time after which its caller leaves when no token came, counted from its arrival, in
    /// milliseconds; zero when it stays until the deadline.
    #[serde(default)]
    pub leaves_after: Millis,
    /// Endpoints that this request already met and must not meet again.
    pub avoid: Vec<id::Endpoint>,
}

impl Request {
    /// Returns the estimated work in tokens, by which shares and token limits are counted.
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// How an attempt ended, as the entry that held it reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The whole answer came.
    Finished,
    /// The endpoint answered with a server error.
    Failed,
    /// The endpoint refused or broke the connection before any byte of the request left.
    Unreachable,
    /// The connection broke after bytes of the request left.
    Broken,
    /// The endpoint made no progress within its bound.
    Silent,
    /// The caller went away or the deadline passed; this says nothing about the endpoint.
    Abandoned,
}

impl End {
    /// Returns what is known about whether the attempt ran.
    pub const fn ran(self) -> fault::Ran {
        match self {
            Self::Finished => fault::Ran::Ran,
            Self::Unreachable => fault::Ran::NotRun,
            // A server error does not say how much of the request took effect.
            Self::Failed | Self::Broken | Self::Silent | Self::Abandoned => fault::Ran::MayHaveRun,
        }
    }

    /// Returns whether the endpoint or its version is to blame.
    pub const fn is_endpoint_failure(self) -> bool {
        !matches!(self, Self::Finished | Self::Abandoned)
    }
}

/// What an attempt showed about its endpoint.
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
    /// Prompt tokens as the engine counted them, or the estimate.
    pub prompt_tokens: u32,
}
