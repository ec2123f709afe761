//! The differences between two configurations.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    command::{Config, Entry, Move, View},
    contract::Contract,
    fingerprint, id,
    rpc::digests::{ConfigDigests, Digests},
    site,
};

/// The changes from the configuration that the requester holds to another one.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Changes {
    /// The number of the entry view.
    view: id::View,
    /// The entries of the view.
    #[serde(default = "all", skip_serializing_if = "is_all")]
    entries: Vec<Segment<Entry>>,
    /// The contracts.
    #[serde(default = "all", skip_serializing_if = "is_all")]
    contracts: Vec<Segment<Contract>>,
    /// The moves.
    #[serde(default = "all", skip_serializing_if = "is_all")]
    moves: Vec<Segment<Move>>,
    /// Versions that must not be deployed again.
    #[serde(default = "all", skip_serializing_if = "is_all")]
    banned: Vec<Segment<(id::Backend, id::Version)>>,
    /// The changes of the site configuration; `None` if there is no site configuration.
    site: Option<SiteChanges>,
}

/// The changes from the site configuration that the requester holds to another one.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
struct SiteChanges {
    version: u64,
    limits: site::Limits,
    #[serde(default = "all", skip_serializing_if = "is_all")]
    routes: Vec<Segment<site::Route>>,
    #[serde(default = "all", skip_serializing_if = "is_all")]
    backends: Vec<Segment<site::Backend>>,
    #[serde(default = "all", skip_serializing_if = "is_all")]
    organisations: Vec<Segment<site::Organisation>>,
}

/// A segment of a list.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
enum Segment<T> {
    /// All items that the requester holds, in order.
    All,
    /// Consecutive items that the requester holds: the index of the first one, and their number.
    Kept(usize, usize),
    /// Items that the requester lacks.
    New(Vec<T>),
}

impl Changes {
    /// Returns the changes from the configuration with the digests `before` to `config`, which has the
    /// digests `after`.
    pub(crate) fn new(config: &Config, after: &ConfigDigests, before: &ConfigDigests) -> Self {
        let site = config.site.as_ref().map(|site| SiteChanges {
            version: site.version,
            limits: site.limits,
            routes: diff(&site.routes, &after.routes, &before.routes),
            backends: diff(&site.backends, &after.backends, &before.backends),
            organisations: diff(&site.organisations, &after.organisations, &before.organisations),
        });
        Self {
            view: config.view.number,
            entries: diff(&config.view.entries, &after.entries, &before.entries),
            contracts: diff(&config.contracts, &after.contracts, &before.contracts),
            moves: diff(&config.moves, &after.moves, &before.moves),
            banned: diff(&config.banned, &after.banned, &before.banned),
            site,
        }
    }

    /// Applies the changes to `before`. Returns `None` if `before` lacks items that the changes refer to.
    pub(crate) fn apply_to(self, revision: id::Revision, before: &Config) -> Option<Config> {
        let empty = site::Config::default();
        let site = match self.site {
            Some(site) => Some(site.apply_to(before.site.as_ref().unwrap_or(&empty))?),
            None => None,
        };
        Some(Config {
            revision,
            view: View {
                number: self.view,
                entries: assemble(self.entries, &before.view.entries)?,
            },
            contracts: assemble(self.contracts, &before.contracts)?,
            moves: assemble(self.moves, &before.moves)?,
            banned: assemble(self.banned, &before.banned)?,
            site,
        })
    }
}

impl SiteChanges {
    fn apply_to(self, before: &site::Config) -> Option<site::Config> {
        Some(site::Config {
            version: self.version,
            routes: assemble(self.routes, &before.routes)?,
            backends: assemble(self.backends, &before.backends)?,
            limits: self.limits,
            organisations: assemble(self.organisations, &before.organisations)?,
        })
    }
}

/// Describes a list as segments of old and new items. Items are compared by digest, so changes, moves
/// and removals need not be tracked.
fn diff<T: Clone>(items: &[T], after: &Digests, before: &Digests) -> Vec<Segment<T>> {
    if after == before {
        return all();
    }
    let positions: HashMap<fingerprint::Content, usize> = before.iter().copied().zip(0..).collect();
    let mut segments = Vec::new();
    for (item, digest) in items.iter().zip(after.iter()) {
        match segments.last_mut() {
            Some(Segment::Kept(first, count)) if before.get(*first + *count) == Some(digest) => {
                *count += 1;
                continue;
            }
            Some(Segment::New(new)) if !positions.contains_key(digest) => {
                new.push(item.clone());
                continue;
            }
            _ => {}
        }
        segments.push(match positions.get(digest) {
            Some(position) => Segment::Kept(*position, 1),
            None => Segment::New(vec![item.clone()]),
        });
    }
    segments
}

/// Returns the list described by `segments`, or `None` if `before` lacks an item of it.
fn assemble<T: Clone>(segments: Vec<Segment<T>>, before: &[T]) -> Option<Vec<T>> {
    let mut items = Vec::new();
    for segment in segments {
        match segment {
            Segment::All => items.extend_from_slice(before),
            Segment::Kept(first, count) => {
                items.extend_from_slice(before.get(first..first.checked_add(count)?)?);
            }
            Segment::New(new) => items.extend(new),
        }
    }
    Some(items)
}

fn all<T>() -> Vec<Segment<T>> {
    vec![Segment::All]
}

fn is_all<T>(segments: &[Segment<T>]) -> bool {
    matches!(segments, [Segment::All])
}
