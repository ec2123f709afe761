//! Announcements of endpoints.

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
