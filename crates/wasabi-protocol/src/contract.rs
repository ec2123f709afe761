//! Contracts with organisations: limits, tiers, shares and routes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, id};

/// Number of tiers.
pub const TIERS: usize = 5;

/// The priority tier of a route. Tier 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tier(pub u8);

impl Tier {
    /// The most urgent tier.
    pub const TOP: Self = Self(0);

    /// Returns the index of this tier in an array of [`TIERS`] items.
    pub fn index(self) -> usize {
        usize::from(self.0).min(TIERS - 1)
    }

    /// Returns all tiers, most urgent first.
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        (0..TIERS as u8).map(Self)
    }
}

/// The contract of one organisation.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The organisation.
    pub organisation: id::Organisation,
    /// SHA-256 digests (lower-case hexadecimal) of the bearer tokens that identify callers.
    pub token_digests: Vec<String>,
    /// The organisation's weight within a tier, relative to other organisations.
    pub share: u32,
    /// Limits, summed over all entries.
    pub limits: Limits,
    /// The routes that callers of this organisation may use.
    pub routes: Vec<Route>,
}

/// Limits of a contract, summed over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests started per second.
    pub requests_per_s: u32,
    /// Maximum number of estimated tokens (prompt and output) started per second.
    pub tokens_per_s: u32,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Tokens that may be started beyond `tokens_per_s` after low traffic; `None` allows the tokens
    /// of 250 ms.
    #[serde(default)]
    pub burst: Option<Burst>,
}

/// A burst allowance in a sliding window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Tokens that may be started in any window beyond `tokens_per_s` times its length.
    pub tokens: u32,
    /// The length of the window, in milliseconds.
    pub window: Millis,
}

/// A route of a contract.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name of the route, unique in the contract.
    pub name: id::Route,
    /// The tier of requests on this route.
    pub tier: Tier,
    /// The model or service that serves the route.
    pub target: Target,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Target for the time to the first byte or token of a response, in milliseconds.
    pub first_token_ms: Millis,
    /// Target for the time between tokens, in milliseconds.
    pub between_tokens_ms: Millis,
    /// Time after which a response is of no use to the caller, in milliseconds.
    pub deadline_ms: Millis,
}

/// The model or service that serves a route.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// A language model, called through the chat completions route.
    Model {
        /// The name of the model.
        name: id::Backend,
    },
    /// A plain service, called through the pass-through route.
    Service {
        /// The name of the service.
        name: id::Backend,
        /// The HTTP method of the call.
        method: String,
        /// The path prefix within the service, such as `/orders`.
        path_prefix: String,
    },
}

impl Target {
    /// Returns the name of the model or service.
    pub fn backend(&self) -> &id::Backend {
        match self {
            Self::Model { name } | Self::Service { name, .. } => name,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Repeat {
    /// The request is idempotent and may be retried.
    Idempotent,
    /// The request runs at most once, identified by its idempotency key.
    AtMostOnce {
        /// Whether requests without an idempotency key are rejected.
        require_key: bool,
        /// Whether keys without a creation time are rejected.
        require_key_time: bool,
    },
}

impl Repeat {
    /// Returns whether a request may be sent again after part of it was sent.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// A validation error of a contract or a site configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// The field, such as `routes[2].tier`.
    pub field: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl Contract {
    /// Validates the contract and returns all problems; empty if it is valid.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut report = |field: String, message: &str| {
            problems.push(Problem { field, message: message.to_owned() });
        };
        if self.organisation.as_str().is_empty() {
            report("organisation".into(), "must not be empty");
        }
        if self.share == 0 {
            report("share".into(), "must be at least 1");
        }
        if self.token_digests.is_empty() {
            report("token_digests".into(), "must hold at least one digest");
        }
        for (index, digest) in self.token_digests.iter().enumerate() {
            let is_digest = digest.len() == 64
                && digest.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
            if !is_digest {
                report(
                    format!("token_digests[{index}]"),
                    "must be a SHA-256 digest of 64 lower-case hexadecimal digits",
                );
            }
        }
        for (field, value) in [
            ("limits.requests_per_s", self.limits.requests_per_s),
            ("limits.tokens_per_s", self.limits.tokens_per_s),
            ("limits.concurrency", self.limits.concurrency),
        ] {
            if value == 0 {
                report(field.into(), "must be at least 1");
            }
        }
        let mut names = BTreeSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            if !names.insert(route.name.as_str()) {
                report(format!("routes[{index}].name"), "must be unique in the contract");
            }
            for (field, message) in route.problems() {
                report(format!("routes[{index}].{field}"), message);
            }
        }
        if self.routes.is_empty() {
            report("routes".into(), "must hold at least one route");
        }
        problems
    }

    /// Returns the route with this name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name.as_str() == name)
    }

    /// Returns the first route to this model.
    pub fn model_route(&self, model: &str) -> Option<&Route> {
        self.routes
            .iter()
            .find(|route| matches!(&route.target, Target::Model { name } if name.as_str() == model))
    }

    /// Returns the route with the longest path prefix that matches a service call.
    pub fn service_route(&self, service: &str, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter_map(|route| match &route.target {
                Target::Service { name, method: allowed, path_prefix }
                    if name.as_str() == service
                        && allowed.eq_ignore_ascii_case(method)
                        && is_path_prefix(path_prefix, path) =>
                {
                    Some((path_prefix.len(), route))
                }
                _ => None,
            })
            .max_by_key(|(length, _)| *length)
            .map(|(_, route)| route)
    }
}

impl Route {
    fn problems(&self) -> Vec<(&'static str, &'static str)> {
        let mut problems = Vec::new();
        if TIERS <= usize::from(self.tier.0) {
            problems.push(("tier", "must be between 0 (most urgent) and 4"));
        }
        if self.deadline_ms < self.first_token_ms {
            problems.push(("deadline_ms", "must not be less than first_token_ms"));
        }
        if self.first_token_ms == Millis::ZERO {
            problems.push(("first_token_ms", "must be at least 1"));
        }
        if self.between_tokens_ms == Millis::ZERO {
            problems.push(("between_tokens_ms", "must be at least 1"));
        }
        if self.target.backend().as_str().is_empty() {
            problems.push(("target", "must name a model or a service"));
        }
        if let Target::Service { path_prefix, .. } = &self.target
            && !path_prefix.starts_with('/')
        {
            problems.push(("target.service.path_prefix", "must start with `/`"));
        }
        problems
    }
}

/// Returns whether `prefix` is a prefix of `path` at a segment boundary: `/orders` doesn't match
/// `/orders-archive`.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
