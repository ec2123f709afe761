//! The parts of a configuration that an asker lacks.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    command::{Config, Entry, Move, View},
    contract::Contract,
    fingerprint, id,
    rpc::digests::{ConfigDigests, Digests},
    site,
};

/// How a configuration is made of the one that the asker holds.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Changes {
    /// The number of the entry view.
    view: id::View,
    /// The entries of the view.
    #[serde(default = "all", skip_serializing_if = "is_all")]
    entries: Vec<Run<Entry>>,
    /// The contracts.
    #[serde(default = "all", skip_serializing_if = "is_all")]
    contracts: Vec<Run<Contract>>,
    /// The moves.
    #[serde(default = "all", skip_serializing_if = "is_all")]
    moves: Vec<Run<Move>>,
    /// Versions that are never offered again.
    #[serde(default = "all", skip_serializing_if = "is_all")]
    banned: Vec<Run<(id::Backend, id::Version)>>,
    /// The site configuration, if there is one.
    site: Option<Site>,
}

/// How a site configuration is made of the one that the asker holds.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Site {
    version: u64,
    limits: site::Limits,
    #[serde(default = "all", skip_serializing_if = "is_all")]
    routes: Vec<Run<site::Route>>,
    #[serde(default = "all", skip_serializing_if = "is_all")]
    backends: Vec<Run<site::Backend>>,
    #[serde(default = "all", skip_serializing_if = "is_all")]
    organisations: Vec<Run<site::Organisation>>,
}

/// A stretch of a list.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
enum Run<T> {
    /// All parts that the asker holds, in their order.
    All,
    /// Parts that the asker holds: the position of the first one, and their number.
    Kept(usize, usize),
    /// Parts that the asker lacks.
    New(Vec<T>),
}

impl Changes {
    /// Returns how `config`, of which `after` is the outline, is made of the configuration that
    /// `before` is the outline of.
    pub(crate) fn new(config: &Config, after: &ConfigDigests, before: &ConfigDigests) -> Self {
        let site = config.site.as_ref().map(|site| Site {
            version: site.version,
            limits: site.limits,
            routes: runs(&site.routes, &after.routes, &before.routes),
            backends: runs(&site.backends, &after.backends, &before.backends),
            organisations: runs(&site.organisations, &after.organisations, &before.organisations),
        });
        Self {
            view: config.view.number,
            entries: runs(&config.view.entries, &after.entries, &before.entries),
            contracts: runs(&config.contracts, &after.contracts, &before.contracts),
            moves: runs(&config.moves, &after.moves, &before.moves),
            banned: runs(&config.banned, &after.banned, &before.banned),
            site,
        }
    }

    /// Returns the configuration made of `before`, or none when `before` lacks parts that it should
    /// hold.
    pub(crate) fn apply_to(self, revision: id::Revision, before: &Config) -> Option<Config> {
        let empty = site::Config::default();
        let site = match self.site {
            Some(site) => Some(site.apply_to(before.site.as_ref().unwrap_or(&empty))?),
            None => None,
        };
        Some(Config {
            revision,
            view: View { number: self.view, entries: list(self.entries, &before.view.entries)? },
            contracts: list(self.contracts, &before.contracts)?,
            moves: list(self.moves, &before.moves)?,
            banned: list(self.banned, &before.banned)?,
            site,
        })
    }
}

impl Site {
    fn apply_to(self, before: &site::Config) -> Option<site::Config> {
        Some(site::Config {
            version: self.version,
            routes: list(self.routes, &before.routes)?,
            backends: list(self.backends, &before.backends)?,
            limits: self.limits,
            organisations: list(self.organisations, &before.organisations)?,
        })
    }
}

/// Returns how a list is made of parts that the asker holds and others. It is found by digests alone,
/// so that nobody has to know which parts were changed, moved or removed.
fn runs<T: Clone>(parts: &[T], after: &Digests, before: &Digests) -> Vec<Run<T>> {
    if after == before {
        return all();
    }
    let positions: HashMap<fingerprint::Content, usize> = before.iter().copied().zip(0..).collect();
    let mut runs = Vec::new();
    for (part, digest) in parts.iter().zip(after.iter()) {
        match runs.last_mut() {
            Some(Run::Kept(first, count)) if before.get(*first + *count) == Some(digest) => {
                *count += 1;
                continue;
            }
            Some(Run::New(new)) if !positions.contains_key(digest) => {
                new.push(part.clone());
                continue;
            }
            _ => {}
        }
        runs.push(match positions.get(digest) {
            Some(position) => Run::Kept(*position, 1),
            None => Run::New(vec![part.clone()]),
        });
    }
    runs
}

/// Returns the list that runs describe, or none when `before` lacks a part of it.
fn list<T: Clone>(runs: Vec<Run<T>>, before: &[T]) -> Option<Vec<T>> {
    let mut parts = Vec::new();
    for run in runs {
        match run {
            Run::All => parts.extend_from_slice(before),
            Run::Kept(first, count) => {
                parts.extend_from_slice(before.get(first..first.checked_add(count)?)?);
            }
            Run::New(new) => parts.extend(new),
        }
    }
    Some(parts)
}

fn all<T>() -> Vec<Run<T>> {
    vec![Run::All]
}

fn is_all<T>(runs: &[Run<T>]) -> bool {
    matches!(runs, [Run::All])
}
