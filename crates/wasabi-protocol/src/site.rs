//! The site configuration: a single versioned document with all routes, back ends and
//! organisations of a deployment.
//!
//! A contract defines the routes of one organisation; a site defines routes shared by all of its
//! organisations. Limits, tiers and shares are derived from both in the same way.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    contract::{self, Problem, Tier},
    endpoint, id,
};

/// Limit on requests that stands for "unlimited". Sums of several such limits don't overflow.
const UNLIMITED_REQUESTS: u32 = 1 << 24;

/// A site configuration as operators send it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// The parsed configuration.
    pub config: Config,
    /// The original text, returned unchanged when the configuration is read back.
    pub source: String,
}

/// The configuration of a site. The highest version takes effect.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    /// The version number, assigned by the operator.
    pub version: u64,
    /// The routes, in the order of the document.
    pub routes: Vec<Route>,
    /// The models and plain services.
    pub backends: Vec<Backend>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// The organisations. If empty, callers need no key.
    pub organisations: Vec<Organisation>,
}

/// A route: requests of one host under one path.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: id::Route,
    /// The host name in callers' requests.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// The urgency.
    pub tier: Tier,
    /// Request timeout, in milliseconds.
    pub timeout: Millis,
    /// Target for the time to the first byte or event of the response, in milliseconds.
    pub first_event: Millis,
    /// Target for the time between two events, in milliseconds; zero if the response is not a stream.
    pub between_events: Millis,
    /// Time without an event after which callers disconnect, in milliseconds; zero if they wait
    /// until the timeout.
    #[serde(default)]
    pub leaves_after: Millis,
    /// Maximum number of attempts per request, each on another endpoint.
    pub attempts_max: u32,
    /// Whether the route can be used without a key.
    pub is_open: bool,
    /// The back ends and their weights.
    pub targets: Vec<Target>,
}

/// A back end of a route, with its share of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// The back end.
    pub backend: id::Backend,
    /// Its weight relative to the other targets of the route.
    pub weight: u32,
}

/// Whether and how a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    Once,
    /// The response is a stream of numbered events, which another endpoint can resume after the
    /// last event that the caller received.
    Resumable,
}

impl Repeat {
    /// Returns whether a request may be sent again after part of it was sent.
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
    /// Whether it is provided by model engines or plain services.
    pub kind: endpoint::Kind,
    /// Number of output tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_time: Millis,
    /// Idle timeout of callers' connections, in milliseconds.
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

/// An organisation and its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: id::Organisation,
    /// SHA-256 digests (lower-case hexadecimal) of the keys that identify its callers.
    pub key_digests: Vec<String>,
    /// The tier of all its requests, which overrides the tier of their routes.
    pub tier: Option<Tier>,
    /// Maximum number of tokens started per second over all entries; zero means no limit.
    pub tokens_per_s: u32,
    /// Tokens that may be started beyond this rate within a window.
    pub burst: Option<contract::Burst>,
    /// Number of tokens that a request without a stated size counts as.
    pub plain_tokens: u32,
}

impl Config {
    /// Validates the configuration and returns all problems; empty if it is valid.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut report = |field: String, message: &str| {
            problems.push(Problem { field, message: message.to_owned() });
        };
        let backends: HashSet<_> = self.backends.iter().map(|backend| &backend.name).collect();
        let mut prefixes = HashSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let mut report_route = |field: &str, message: &str| {
                report(format!("routes[{index}].{field}"), message);
            };
            if !prefixes.insert((&route.host, &route.path_prefix)) {
                report_route("path_prefix", "must be unique for its host");
            }
            if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
                report_route("path_prefix", "must begin and end with a slash");
            }
            if route.timeout == Millis::ZERO {
                report_route("timeout", "must be at least 1 ms");
            }
            if route.targets.iter().any(|target| !backends.contains(&target.backend)) {
                report_route("targets", "must name back ends of this configuration");
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                report_route("targets", "must have a weight above 0");
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
    /// Returns the limits in the form of a contract's, or `None` if there is no limit. A site
    /// limits only tokens.
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
    /// Selects a target by weight, for a random number from 0 to 1.
    pub fn target(&self, random: f64) -> Option<&Target> {
        let total: f64 = self.targets.iter().map(|target| f64::from(target.weight)).sum();
        let mut rest = random * total;
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
