//! What an endpoint says of itself.

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, id};

/// Time between two announcements of an endpoint, in milliseconds.
pub const ANNOUNCE_INTERVAL: Millis = Millis(1_000);

/// Silence after which an endpoint counts as gone, in milliseconds.
///
/// It leaves room for two lost announcements within the 3 s in which a leaving endpoint must stop
/// getting new work.
pub const ANNOUNCE_TIMEOUT: Millis = Millis(2_500);

/// What an endpoint announces, first and at each renewal.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The endpoint's name, unique in the region.
    pub name: id::Endpoint,
    /// A number that grows with each start of the process, such as its Unix start time in ms.
    pub incarnation: u64,
    /// The IP address and port that serves requests.
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
    /// The hardware generation, which sets the expected pace.
    #[serde(default)]
    pub hardware: String,
    /// Most requests that it runs at one time.
    pub concurrency: u32,
    /// What it can do beyond serving.
    #[serde(default)]
    pub abilities: Abilities,
    /// The load report, taken some time before it was sent.
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

/// What an endpoint can do beyond serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Abilities {
    /// Refuses orders that carry an old fencing number.
    pub checks_fence: bool,
    /// Resumes a stream from a token offset.
    pub resume: bool,
    /// Cancels a running request.
    pub cancel: bool,
    /// Exports and imports KV cache.
    pub kv_transfer: bool,
}

/// A load report of an endpoint. It lags behind the truth.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// Used part of the KV cache, from 0 to 1.
    pub kv_used: f32,
}
