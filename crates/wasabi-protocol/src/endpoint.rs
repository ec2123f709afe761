//! Announcements of endpoints.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, id};

/// Interval between announcements of an endpoint.
pub const ANNOUNCE_INTERVAL: Millis = Millis(1_000);

/// Time without an announcement after which an endpoint is considered gone.
///
/// Tolerates two lost announcements and stays below the 3 s within which a departing endpoint must
/// stop receiving new requests.
pub const ANNOUNCE_TIMEOUT: Millis = Millis(2_500);

/// An endpoint's announcement, sent at registration and at each renewal.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The endpoint's name, unique in the region.
    pub name: id::Endpoint,
    /// A number that increases with each start of the process, such as its Unix start time in ms.
    pub incarnation: u64,
    /// The IP address and port that serve requests.
    pub address: String,
    /// The data centre that the endpoint runs in.
    pub data_centre: id::DataCentre,
    /// Whether it is a model engine or a plain service.
    pub kind: Kind,
    /// The model or service that it provides.
    pub backend: id::Backend,
    /// The version that it provides.
    pub version: id::Version,
    /// The adapters that are loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The hardware generation, which determines the expected speed.
    #[serde(default)]
    pub hardware: String,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Optional capabilities.
    #[serde(default)]
    pub abilities: Abilities,
    /// The load report, measured some time before it was sent.
    #[serde(default)]
    pub load: Load,
}

/// Maximum number of concurrent requests that an endpoint may announce.
pub const CONCURRENCY_MAX: u32 = 65_536;

/// Highest incarnation, so that JSON parsers with floating-point numbers represent it exactly.
pub const INCARNATION_MAX: u64 = 1 << 53;

/// Maximum length of each name in an announcement, in bytes.
pub const NAME_BYTES_MAX: usize = 1_024;

impl Announcement {
    /// Checks the values of an announcement that was received from outside the system.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field and what it must be.
    pub fn check(&self) -> Result<(), String> {
        let names = [
            ("name", self.name.as_str()),
            ("backend", self.backend.as_str()),
            ("version", self.version.as_str()),
            ("data centre", self.data_centre.as_str()),
            ("hardware", &self.hardware),
        ];
        if let Some((field, _)) = names[..2].iter().find(|(_, name)| name.is_empty()) {
            return Err(format!("the {field} must not be empty"));
        }
        if let Some((field, _)) = names.iter().find(|(_, name)| NAME_BYTES_MAX < name.len()) {
            return Err(format!("the {field} must have at most {NAME_BYTES_MAX} bytes"));
        }
        if !(1..=CONCURRENCY_MAX).contains(&self.concurrency) {
            return Err(format!("the concurrency must be from 1 to {CONCURRENCY_MAX}"));
        }
        if INCARNATION_MAX < self.incarnation {
            return Err(format!("the incarnation must be at most {INCARNATION_MAX}"));
        }
        check_address(&self.address)
    }
}

/// Checks that an address can be connected to.
fn check_address(address: &str) -> Result<(), String> {
    let parsed: SocketAddr =
        address.parse().map_err(|_| "the address must be an IP address and port".to_owned())?;
    let ip = parsed.ip();
    if parsed.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err("the address must be one that requests can be sent to".to_owned());
    }
    Ok(())
}

/// An endpoint that accepts no requests from one entry for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Closed {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The incarnation that accepts none. Later ones are not affected.
    pub incarnation: u64,
    /// Time until it accepts requests again, in milliseconds.
    pub left: Millis,
}

/// Whether an endpoint is a model engine or a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A language-model engine.
    Model,
    /// A plain service.
    Service,
}

/// Optional capabilities of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Abilities {
    /// Rejects orders with an outdated fencing token.
    pub checks_fence: bool,
    /// Resumes a stream from a token offset.
    pub resume: bool,
    /// Cancels a running request.
    pub cancel: bool,
    /// Exports and imports KV cache entries.
    pub kv_transfer: bool,
}

/// A load report of an endpoint; always somewhat out of date.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests in the current batch.
    pub running: u32,
    /// Requests queued in the engine.
    pub waiting: u32,
    /// Used fraction of the KV cache, from 0 to 1.
    pub kv_used: f32,
}
