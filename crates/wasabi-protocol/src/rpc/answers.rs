//! Answers with the configuration, encoded once for all askers that hold the same.

use std::sync::Arc;

use serde::{Serialize, Serializer};
use serde_json::value::{RawValue, to_raw_value};

use crate::{
    command::Config,
    id,
    rpc::{Extent, Held, Update},
};

/// Most answers that are kept for one revision. Most askers hold the revision before it.
const KEPT_MAX: usize = 8;

/// The answers given for the revision in force.
#[derive(Debug, Default)]
pub struct Answers {
    revision: id::Revision,
    kept: Vec<(Option<Held>, Answer)>,
}

/// An encoded [`Update`]. Clones share its bytes.
#[derive(Debug, Clone)]
pub struct Answer {
    extent: Extent,
    json: Arc<RawValue>,
}

impl Answers {
    /// Returns the answer to an asker that holds `held`. `config` is called unless an asker that
    /// holds the same was answered before; it returns the configuration of `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error when the configuration cannot be encoded.
    pub fn answer(
        &mut self,
        revision: id::Revision,
        held: Option<Held>,
        config: impl FnOnce() -> Config,
    ) -> Result<Answer, serde_json::Error> {
        if self.revision != revision {
            self.revision = revision;
            self.kept.clear();
        }
        if let Some((_, answer)) = self.kept.iter().find(|(known, _)| *known == held) {
            return Ok(answer.clone());
        }
        let answer = Answer::new(&Update::new(config(), held.as_ref()))?;
        if self.kept.len() == KEPT_MAX {
            self.kept.remove(0);
        }
        self.kept.push((held, answer.clone()));
        Ok(answer)
    }
}

impl Answer {
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

impl Serialize for Answer {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.json.serialize(serializer)
    }
}
