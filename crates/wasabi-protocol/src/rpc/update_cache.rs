//! Encoded configuration updates, cached for requesters that hold the same configuration.
//!
//! A requester whose configuration is in the history gets only the changes since. Configurations are
//! compared by the digests of their items, and the requester verifies the digest of the result.

use std::{collections::VecDeque, sync::Arc};

use serde::{Serialize, Serializer};
use serde_json::value::{RawValue, to_raw_value};

use crate::{
    command::Config,
    id,
    rpc::{ConfigDigests, ConfigVersion, Extent, Update},
};

/// Maximum number of cached updates to one revision. Most requesters hold the previous revision.
const CACHED_UPDATES_MAX: usize = 8;

/// Maximum number of configurations in the history. A requester that holds none of them gets the
/// complete configuration.
const HISTORY_MAX: usize = 32;

/// The encoded updates to the current revision, and the digests of recent configurations.
#[derive(Debug, Default)]
pub struct UpdateCache {
    revision: id::Revision,
    cached: Vec<(Option<ConfigVersion>, EncodedUpdate)>,
    /// The digests of recent configurations, the newest last.
    history: VecDeque<ConfigDigests>,
}

/// An encoded [`Update`]. Clones share its bytes.
#[derive(Debug, Clone)]
pub struct EncodedUpdate {
    extent: Extent,
    json: Arc<RawValue>,
}

impl UpdateCache {
    /// Returns the update for a requester that holds `held`. Unless it is cached, `config` is called,
    /// which returns the configuration of `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration can't be encoded.
    pub fn answer(
        &mut self,
        revision: id::Revision,
        held: Option<ConfigVersion>,
        config: impl FnOnce() -> Config,
    ) -> Result<EncodedUpdate, serde_json::Error> {
        if self.revision != revision {
            self.revision = revision;
            self.cached.clear();
        }
        if let Some((_, update)) = self.cached.iter().find(|(known, _)| *known == held) {
            return Ok(update.clone());
        }
        let config = config();
        self.record(&config);
        let update = EncodedUpdate::new(&self.new_update(config, held.as_ref()))?;
        if self.cached.len() == CACHED_UPDATES_MAX {
            self.cached.remove(0);
        }
        self.cached.push((held, update.clone()));
        Ok(update)
    }

    /// Adds a configuration to the history, unless it is the latest one there.
    pub fn record(&mut self, config: &Config) {
        let last = self.history.back().map(ConfigDigests::revision);
        if last == Some(config.revision) {
            return;
        }
        if Some(config.revision) < last {
            // A control group that was created anew restarts at the first revision.
            self.history.clear();
        }
        let mut digests = ConfigDigests::of(config);
        if let Some(last) = self.history.back() {
            digests.share(last);
        }
        if self.history.len() == HISTORY_MAX {
            self.history.pop_front();
        }
        self.history.push_back(digests);
    }

    /// Returns the version of the latest configuration in the history.
    pub fn latest_version(&self) -> ConfigVersion {
        self.history.back().map(ConfigDigests::version).unwrap_or_default()
    }

    fn new_update(&self, config: Config, held: Option<&ConfigVersion>) -> Update {
        let base = held.filter(|held| held.content.is_some() && held.revision < config.revision);
        let (Some(base), Some(after)) = (base, self.history.back()) else {
            return Update::new(config, held);
        };
        match self.history.iter().find(|digests| digests.version() == *base) {
            Some(before) => Update::delta(&config, after, before),
            None => Update { content: after.content(), ..Update::new(config, held) },
        }
    }
}

impl EncodedUpdate {
    fn new(update: &Update) -> Result<Self, serde_json::Error> {
        Ok(Self { extent: update.extent(), json: to_raw_value(update)?.into() })
    }

    /// Returns how much of the configuration the update contains.
    pub const fn extent(&self) -> Extent {
        self.extent
    }

    /// Returns the encoded size in bytes.
    pub fn bytes(&self) -> usize {
        self.json.get().len()
    }
}

impl Serialize for EncodedUpdate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.json.serialize(serializer)
    }
}
