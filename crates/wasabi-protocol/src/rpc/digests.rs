//! Digests of the parts of a configuration.

use std::sync::Arc;

use serde::Serialize;

use crate::{command::Config, fingerprint, id, rpc::ConfigVersion};

/// The digests of the items of a list, in order.
pub(crate) type Digests = Arc<[fingerprint::Content]>;

/// The version and the digests of a configuration, item by item.
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
    /// Computes the digests of a configuration.
    pub fn of(config: &Config) -> Self {
        let mut buffer = Vec::new();
        let site = config.site.as_ref();
        let mut result = Self {
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
        result.version.content =
            Some(digest(&mut buffer, &(result.version, limits, result.lists())));
        result
    }

    /// Returns the version of the configuration, including its digest.
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

    /// Shares the lists that are equal in `other`, so that the digests of many revisions take little
    /// more memory than their differences.
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

fn digests<T: Serialize>(buffer: &mut Vec<u8>, items: &[T]) -> Digests {
    items.iter().map(|item| digest(buffer, item)).collect()
}

/// Returns the digest of an item in the encoding in which it is sent.
fn digest<T: Serialize>(buffer: &mut Vec<u8>, item: &T) -> fingerprint::Content {
    buffer.clear();
    // Can't fail: all these types can be encoded as JSON, and writes to a vector always succeed.
    if serde_json::to_writer(&mut *buffer, item).is_err() {
        buffer.clear();
    }
    fingerprint::Content(fingerprint::content(buffer))
}
