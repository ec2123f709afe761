//! Digests of the parts of a configuration.

use std::sync::Arc;

use serde::Serialize;

use crate::{command::Config, fingerprint, id, rpc::ConfigVersion};

/// The digests of the parts of one list, in order.
pub(crate) type Digests = Arc<[fingerprint::Content]>;

/// What tells one configuration from another, part by part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigDigests {
    version: ConfigVersion,
    pub(crate) entries: Digests,
    pub(crate) contracts: Digests,
    pub(crate) moves: Digests,
    pub(crate) banned: Digests,
    pub(crate) routes: Digests,
    pub(crate) backends: Digests,
    pub(crate) organisations: Digests,
}

impl ConfigDigests {
    /// Returns the outline of a configuration.
    pub fn of(config: &Config) -> Self {
        let mut buffer = Vec::new();
        let site = config.site.as_ref();
        let mut outline = Self {
            version: ConfigVersion::of(config),
            entries: digests(&mut buffer, &config.view.entries),
            contracts: digests(&mut buffer, &config.contracts),
            moves: digests(&mut buffer, &config.moves),
            banned: digests(&mut buffer, &config.banned),
            routes: digests(&mut buffer, site.map_or(&[], |site| &site.routes)),
            backends: digests(&mut buffer, site.map_or(&[], |site| &site.backends)),
            organisations: digests(&mut buffer, site.map_or(&[], |site| &site.organisations)),
        };
        let limits = site.map(|site| &site.limits);
        outline.version.content =
            Some(digest(&mut buffer, &(outline.version, limits, outline.lists())));
        outline
    }

    /// Returns what an asker with this configuration holds.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the digest of the whole configuration.
    pub const fn content(&self) -> Option<fingerprint::Content> {
        self.version.content
    }

    /// Returns the revision.
    pub const fn revision(&self) -> id::Revision {
        self.version.revision
    }

    /// Shares the lists that are the same in another outline, so that the outlines of many revisions
    /// take little more memory than what changed.
    pub(crate) fn share(&mut self, other: &Self) {
        let Self { version: _, entries, contracts, moves, banned, routes, backends, organisations } =
            self;
        for (own, other) in [
            (entries, &other.entries),
            (contracts, &other.contracts),
            (moves, &other.moves),
            (banned, &other.banned),
            (routes, &other.routes),
            (backends, &other.backends),
            (organisations, &other.organisations),
        ] {
            if own == other {
                own.clone_from(other);
            }
        }
    }

    fn lists(&self) -> [&[fingerprint::Content]; 7] {
        [
            &self.entries,
            &self.contracts,
            &self.moves,
            &self.banned,
            &self.routes,
            &self.backends,
            &self.organisations,
        ]
    }
}

fn digests<T: Serialize>(buffer: &mut Vec<u8>, parts: &[T]) -> Digests {
    parts.iter().map(|part| digest(buffer, part)).collect()
}

/// Returns the digest of what is sent of a part.
fn digest<T: Serialize>(buffer: &mut Vec<u8>, part: &T) -> fingerprint::Content {
    buffer.clear();
    // These types hold nothing that has no form in JSON, and a vector takes all that is written.
    if serde_json::to_writer(&mut *buffer, part).is_err() {
        buffer.clear();
    }
    fingerprint::Content(fingerprint::content(buffer))
}
