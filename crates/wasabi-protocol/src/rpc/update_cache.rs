//! Encoded configuration updates, cached for askers that hold the same configuration.
//!
//! An asker whose configuration the holder had itself gets only what changed since. Configurations
//! are compared by the digests of their parts, and the asker compares the digest of the result.

use std::{collections::VecDeque, sync::Arc};

use serde::{Serialize, Serializer};
use serde_json::value::{RawValue, to_raw_value};

use crate::{
    command::Config,
    id,
    rpc::{ConfigDigests, ConfigVersion, Extent, Update},
};

/// Most answers that are kept for one revision. Most askers hold the revision before it.
const KEPT_MAX: usize = 8;

/// Most earlier configurations from which the way to the present one is known. An asker that holds
/// none of them gets the whole.
const OUTLINES_MAX: usize = 32;

/// The answers given for the revision in force, and outlines of those that were in force before.
#[derive(Debug, Default)]
pub struct UpdateCache {
    revision: id::Revision,
    kept: Vec<(Option<ConfigVersion>, EncodedUpdate)>,
    /// Outlines of the configurations that were held, the newest last.
    outlines: VecDeque<ConfigDigests>,
}

/// An encoded [`Update`]. Clones share its bytes.
#[derive(Debug, Clone)]
pub struct EncodedUpdate {
    extent: Extent,
    json: Arc<RawValue>,
}

impl UpdateCache {
    /// Returns the answer to an asker that holds `held`. `config` is called unless an asker that
    /// holds the same was answered before; it returns the configuration of `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error when the configuration cannot be encoded.
    pub fn answer(
        &mut self,
        revision: id::Revision,
        held: Option<ConfigVersion>,
        config: impl FnOnce() -> Config,
    ) -> Result<EncodedUpdate, serde_json::Error> {
        if self.revision != revision {
            self.revision = revision;
            self.kept.clear();
        }
        if let Some((_, answer)) = self.kept.iter().find(|(known, _)| *known == held) {
            return Ok(answer.clone());
        }
        let config = config();
        self.record(&config);
        let answer = EncodedUpdate::new(&self.update(config, held.as_ref()))?;
        if self.kept.len() == KEPT_MAX {
            self.kept.remove(0);
        }
        self.kept.push((held, answer.clone()));
        Ok(answer)
    }

    /// Keeps the outline of a configuration, unless it is the last one that was held.
    pub fn record(&mut self, config: &Config) {
        let last = self.outlines.back().map(ConfigDigests::revision);
        if last == Some(config.revision) {
            return;
        }
        if Some(config.revision) < last {
            // A group that began anew counts from the first revision again.
            self.outlines.clear();
        }
        let mut outline = ConfigDigests::of(config);
        if let Some(last) = self.outlines.back() {
            outline.share(last);
        }
        if self.outlines.len() == OUTLINES_MAX {
            self.outlines.pop_front();
        }
        self.outlines.push_back(outline);
    }

    /// Returns what an asker with the configuration that was held last holds.
    pub fn latest_version(&self) -> ConfigVersion {
        self.outlines.back().map(ConfigDigests::version).unwrap_or_default()
    }

    fn update(&self, config: Config, held: Option<&ConfigVersion>) -> Update {
        let asked = held.filter(|held| held.content.is_some() && held.revision < config.revision);
        let (Some(asked), Some(after)) = (asked, self.outlines.back()) else {
            return Update::new(config, held);
        };
        match self.outlines.iter().find(|outline| outline.version() == *asked) {
            Some(before) => Update::since(&config, after, before),
            None => Update { content: after.content(), ..Update::new(config, held) },
        }
    }
}

impl EncodedUpdate {
    fn new(update: &Update) -> Result<Self, serde_json::Error> {
        Ok(Self { extent: update.extent(), json: to_raw_value(update)?.into() })
    }

    /// Returns how much of the configuration it holds.
    pub const fn extent(&self) -> Extent {
        self.extent
    }

    /// Returns its length, in bytes.
    pub fn bytes(&self) -> usize {
        self.json.get().len()
    }
}

impl Serialize for EncodedUpdate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.json.serialize(serializer)
    }
}
