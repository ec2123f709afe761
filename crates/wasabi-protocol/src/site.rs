//! The site configuration: one versioned document with the routes, back ends and organisations of
//! a deployment whose operator sends all of them together.
//!
//! Contracts name the routes of one organisation each; a site names routes that all of its
//! organisations share. Limits, tiers and shares follow from either in the same way.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    contract::{self, Problem, Tier},
    endpoint, id,
};

/// Stands for no bound on requests. It leaves room for sums of several limits.
const UNLIMITED_REQUESTS: u32 = 1 << 24;

/// A site configuration as operators send it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// What it says.
    pub config: Config,
    /// The text that was sent, returned unchanged when it is read back.
    pub source: String,
}

/// The configuration of a site. The highest version is in force.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    /// The version that the operator gave it.
    pub version: u64,
    /// The routes, in the operator's order.
    pub routes: Vec<Route>,
    /// The models and plain services.
    pub backends: Vec<Backend>,
    /// What callers may send, and how slowly.
    pub limits: Limits,
    /// The organisations; none means that callers need no key.
    pub organisations: Vec<Organisation>,
}

/// A route: requests of one host under one path.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: id::Route,
    /// The host that callers name.
    pub host: String,
    /// The start of the path; it begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// The urgency.
    pub tier: Tier,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout: Millis,
    /// Target for the first byte or event of the answer, in milliseconds.
    pub first_event: Millis,
    /// Target for the time between two events, in milliseconds; zero when the answer is no stream.
    pub between_events: Millis,
    /// Time after which callers leave when no event came, in milliseconds; zero when they stay
    /// until the timeout.
    #[serde(default)]
    pub leaves_after: Millis,
    /// Most endpoints that one request may run on.
    pub attempts_max: u32,
    /// Whether callers need no key.
    pub is_open: bool,
    /// The back ends with their weights.
    pub targets: Vec<Target>,
}

/// A back end that a route leads to, with its part of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// The back end.
    pub backend: id::Backend,
    /// Its weight relative to the other targets of the route.
    pub weight: u32,
}

/// What of a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// The whole request may run more than once.
    Idempotent,
    /// The request may run once.
    Once,
    /// The answer is a stream of numbered events, and another endpoint may go on after the last
    /// one that the caller has.
    Resumable,
}

impl Repeat {
    /// Returns whether a request may be sent a second time after bytes of it left.
    pub const fn is_repeatable(self) -> bool {
        !matches!(self, Self::Once)
    }
}

/// A model or a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: id::Backend,
    /// Whether model engines or plain services provide it.
    pub kind: endpoint::Kind,
    /// Output tokens that one event of a stream holds.
    pub tokens_per_event: u32,
}

/// What callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head to arrive, in milliseconds.
    pub head_time: Millis,
    /// Longest time that a caller's connection may be idle, in milliseconds.
    pub idle_time: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Millis::from_secs(3),
            idle_time: Millis::from_secs(15),
        }
    }
}

/// An organisation and what it may use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: id::Organisation,
    /// SHA-256 digests (lower-case hexadecimal) of the keys that identify its callers.
    pub key_digests: Vec<String>,
    /// The urgency of all its requests, which goes before that of their routes.
    pub tier: Option<Tier>,
    /// Most tokens started in one second over all entries; zero means no limit.
    pub tokens_per_s: u32,
    /// Tokens that may be started beyond that in a window.
    pub burst: Option<contract::Burst>,
    /// Tokens that a request without a stated size counts as.
    pub plain_tokens: u32,
}

impl Config {
    /// Returns every fault of the configuration; none means that it can be accepted.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut report = |field: String, message: &str| {
            problems.push(Problem { field, message: message.to_owned() });
        };
        let backends: HashSet<_> = self.backends.iter().map(|backend| &backend.name).collect();
        let mut places = HashSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let mut at = |field: &str, message: &str| {
                report(format!("routes[{index}].{field}"), message);
            };
            if !places.insert((&route.host, &route.path_prefix)) {
                at("path_prefix", "must be unique for its host");
            }
            if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
                at("path_prefix", "must begin and end with a slash");
            }
            if route.timeout == Millis::ZERO {
                at("timeout", "must be at least 1 ms");
            }
            if route.targets.iter().any(|target| !backends.contains(&target.backend)) {
                at("targets", "must name back ends of this configuration");
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                at("targets", "must have a weight above 0");
            }
        }
        let mut keys = HashSet::new();
        for (index, organisation) in self.organisations.iter().enumerate() {
            for key in &organisation.key_digests {
                if !keys.insert(key) {
                    report(
                        format!("organisations[{index}].keys"),
                        "must not hold a key of another organisation",
                    );
                }
            }
        }
        problems
    }

    /// Returns the back end with this name.
    pub fn backend(&self, name: &id::Backend) -> Option<&Backend> {
        self.backends.iter().find(|backend| backend.name == *name)
    }
}

impl Organisation {
    /// Returns the limits as a contract would state them, or none when there is no limit. A site
    /// bounds tokens only.
    pub fn contract_limits(&self) -> Option<contract::Limits> {
        (0 < self.tokens_per_s).then_some(contract::Limits {
            requests_per_s: UNLIMITED_REQUESTS,
            tokens_per_s: self.tokens_per_s,
            concurrency: UNLIMITED_REQUESTS,
            burst: self.burst,
        })
    }
}

impl Route {
    /// Returns the target that a number between 0 and 1 falls to, by weight.
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: f64 = self.targets.iter().map(|target| f64::from(target.weight)).sum();
        let mut rest = draw * total;
        let weighted = || self.targets.iter().filter(|target| 0 < target.weight);
        for target in weighted() {
            rest -= f64::from(target.weight);
            if rest < 0.0 {
                return Some(target);
            }
        }
        weighted().next_back()
    }
}
