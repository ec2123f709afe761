//! Settings of a stand-in and its fault modes.

use serde::{Deserialize, Serialize};
use wasabi_protocol::{clock::Millis, endpoint, id};

/// Settings of a stand-in.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The endpoint's name.
    pub name: id::Endpoint,
    /// The IP address and port to listen on; port 0 selects a free port.
    #[serde(default = "any_port")]
    pub listen: String,
    /// The caller-facing addresses of the entries to announce to.
    #[serde(default)]
    pub entries: Vec<String>,
    /// Whether it simulates a model engine or a service.
    pub kind: endpoint::Kind,
    /// The name of the model or service.
    pub backend: id::Backend,
    /// The version of the model or service.
    #[serde(default = "first_version")]
    pub version: id::Version,
    /// The data centre.
    #[serde(default = "first_data_centre")]
    pub data_centre: id::DataCentre,
    /// The hardware generation.
    #[serde(default)]
    pub hardware: String,
    /// The announced maximum number of concurrent requests. The stand-in does not enforce it.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// The announced abilities. The stand-in implements `resume` and `checks_fence`.
    #[serde(default)]
    pub abilities: endpoint::Abilities,
    /// Time to the first token, or to the response of a service, in milliseconds.
    #[serde(default)]
    pub first_token_ms: Millis,
    /// Time between tokens, in milliseconds; with zero, tokens are sent without delay.
    #[serde(default)]
    pub between_tokens_ms: Millis,
    /// Prompt tokens processed per second; zero means that the prompt takes no time.
    #[serde(default)]
    pub prefill_tokens_per_s: u32,
    /// The initial fault modes.
    #[serde(default)]
    pub faults: Faults,
}

/// Fault modes. Each is off at its default value.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Added to the time to the first token or response and to the time between tokens, in
    /// milliseconds.
    pub slow_ms: Millis,
    /// Applies `slow_ms` only from the request with this number on, counted from 0.
    pub straggle_from: u64,
    /// Sends nothing and keeps the connection open.
    pub frozen: bool,
    /// Crashes when the request body contains this text.
    pub crash_on: Option<String>,
    /// Crashes only after this many tokens.
    pub crash_after_tokens: u32,
    /// Responds with status 500 to this share of requests, in thousandths.
    pub fail_permille: u32,
    /// Responds with a wrong attempt id.
    pub wrong_attempt: bool,
    /// Responds without an attempt id.
    pub no_attempt: bool,
    /// Closes the connection after this many tokens.
    pub cut_after: Option<u32>,
    /// Ends the response body after this many tokens, without the end event.
    pub stop_after: Option<u32>,
    /// Sends nothing more after this many tokens and keeps the connection open.
    pub silent_after: Option<u32>,
    /// Sends the token with this number twice.
    pub repeat_token: Option<u32>,
    /// Number of requests, from now on, to which the fault modes apply; zero means all requests.
    pub requests: u32,
    /// Reports one token too many in the end event.
    pub wrong_count: bool,
}

impl Faults {
    /// Returns whether any fault mode that breaks streams is set.
    pub fn breaks_streams(&self) -> bool {
        self.frozen
            || self.wrong_attempt
            || self.no_attempt
            || self.cut_after.is_some()
            || self.stop_after.is_some()
            || self.silent_after.is_some()
            || self.repeat_token.is_some()
            || self.wrong_count
    }
}

impl Settings {
    /// Returns settings for a stand-in without delays on a free loopback port.
    pub fn new(name: &str, kind: endpoint::Kind, backend: &str) -> Self {
        Self {
            name: name.into(),
            listen: any_port(),
            entries: Vec::new(),
            kind,
            backend: backend.into(),
            version: first_version(),
            data_centre: first_data_centre(),
            hardware: String::new(),
            concurrency: default_concurrency(),
            abilities: endpoint::Abilities::default(),
            first_token_ms: Millis::ZERO,
            between_tokens_ms: Millis::ZERO,
            prefill_tokens_per_s: 0,
            faults: Faults::default(),
        }
    }
}

fn any_port() -> String {
    "127.0.0.1:0".to_owned()
}

fn first_version() -> id::Version {
    "v1".into()
}

fn first_data_centre() -> id::DataCentre {
    "dc1".into()
}

const fn default_concurrency() -> u32 {
    32
}
