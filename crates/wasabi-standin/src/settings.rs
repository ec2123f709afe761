//! Settings of a stand-in and its fault modes.

use serde::{Deserialize, Serialize};
use wasabi_protocol::{clock::Millis, endpoint, id};

/// What a stand-in provides and how fast.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The endpoint's name.
    pub name: id::Endpoint,
    /// The IP address and port to listen on; port 0 picks a free one.
    #[serde(default = "any_port")]
    pub listen: String,
    /// The caller addresses of the entries to announce to.
    #[serde(default)]
    pub entries: Vec<String>,
    /// Whether it stands in for a model engine or a plain service.
    pub kind: endpoint::Kind,
    /// The model or service.
    pub backend: id::Backend,
    /// The version.
    #[serde(default = "first_version")]
    pub version: id::Version,
    /// The data centre.
    #[serde(default = "first_data_centre")]
    pub data_centre: id::DataCentre,
    /// The hardware generation.
    #[serde(default)]
    pub hardware: String,
    /// Most requests at one time, as announced. The stand-in admits every request.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// The announced abilities. `resume` and `checks_fence` are also obeyed.
    #[serde(default)]
    pub abilities: endpoint::Abilities,
    /// Time to the first token or to a service's answer, in milliseconds.
    #[serde(default)]
    pub first_token_ms: Millis,
    /// Time between tokens, in milliseconds; zero sends as fast as the connection takes them.
    #[serde(default)]
    pub between_tokens_ms: Millis,
    /// Prompt tokens processed per second; zero takes no time for the prompt.
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
    /// Added to the time between tokens, in milliseconds.
    pub slow_ms: Millis,
    /// Adds `slow_ms` only from this request number on.
    pub straggle_from: u64,
    /// Sends nothing at all and holds the connection.
    pub frozen: bool,
    /// Crashes when the body contains this text.
    pub crash_on: Option<String>,
    /// Sends this many tokens before it crashes.
    pub crash_after_tokens: u32,
    /// Answers this share of requests with status 500, in thousandths.
    pub fail_permille: u32,
    /// Answers with another attempt id.
    pub wrong_attempt: bool,
    /// Sends no attempt id.
    pub no_attempt: bool,
    /// Closes the connection after this many tokens.
    pub cut_after: Option<u32>,
    /// Ends the stream properly after this many tokens, without the end event.
    pub stop_after: Option<u32>,
    /// Goes silent after this many tokens, with the connection open.
    pub silent_after: Option<u32>,
    /// Sends the token with this number twice.
    pub repeat_token: Option<u32>,
    /// Applies the stream faults only to this many further requests; zero applies them to all.
    pub requests: u32,
    /// Refuses to say how many tokens it sent: the end event's count is one too high.
    pub wrong_count: bool,
}

impl Faults {
    /// Returns whether any stream fault is set.
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
    /// Returns settings for a fast stand-in on a free port of loopback.
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
