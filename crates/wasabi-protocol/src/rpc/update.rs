//! The way of a configuration to those that hold an older one.

use serde::{Deserialize, Serialize};

use crate::{
    command::{Config, Move, View},
    contract::Contract,
    id, site,
};

/// What an asker of the configuration holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Held {
    /// The revision.
    pub revision: id::Revision,
    /// The number of its view.
    pub view: id::View,
    /// The version of its site configuration, if it has one.
    pub site: Option<u64>,
}

impl Held {
    /// Returns what an asker with this configuration holds.
    pub fn of(config: &Config) -> Self {
        Self {
            revision: config.revision,
            view: config.view.number,
            site: config.site.as_ref().map(|site| site.version),
        }
    }
}

/// A configuration without the parts that the asker holds already.
///
/// One with all parts has the form of a [`Config`], for askers and answerers of earlier versions.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Update {
    /// The revision that the asker holds once it has taken this over.
    pub revision: id::Revision,
    /// The entry view; none when the asker holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view: Option<View>,
    /// The contracts, ordered by organisation.
    pub contracts: Vec<Contract>,
    /// The moves, ordered by name.
    pub moves: Vec<Move>,
    /// Versions that are never offered again.
    pub banned: Vec<(id::Backend, id::Version)>,
    /// The site configuration; none when the asker holds it, or there is none.
    #[serde(default)]
    pub site: Option<site::Config>,
}

/// How much of a configuration an update holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// The revision alone.
    Nothing,
    /// All but the view or the site.
    Part,
    /// The view, the site and all else.
    Whole,
}

impl Extent {
    /// Returns the name under which it is counted.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Part => "part",
            Self::Whole => "whole",
        }
    }
}

impl Update {
    /// Returns what an asker lacks; one that does not say what it holds gets everything.
    ///
    /// One that holds the same or a newer revision lacks nothing, and is told the revision alone.
    pub fn new(config: Config, held: Option<&Held>) -> Self {
        let Config { revision, view, contracts, moves, banned, site } = config;
        let whole = Self { revision, view: Some(view), contracts, moves, banned, site };
        match held {
            None => whole,
            Some(held) if revision <= held.revision => Self {
                revision,
                view: None,
                contracts: Vec::new(),
                moves: Vec::new(),
                banned: Vec::new(),
                site: None,
            },
            Some(held) => Self {
                view: whole.view.filter(|view| view.number != held.view),
                site: whole.site.filter(|site| Some(site.version) != held.site),
                ..whole
            },
        }
    }

    /// Returns how much of the configuration it holds.
    pub fn extent(&self) -> Extent {
        let lists = [self.contracts.len(), self.moves.len(), self.banned.len()];
        match (&self.view, &self.site) {
            (None, None) if lists == [0; 3] => Extent::Nothing,
            (Some(_), Some(_)) => Extent::Whole,
            _ => Extent::Part,
        }
    }

    /// Returns the configuration of an asker that held `before` when it asked.
    pub fn onto(self, before: &Config) -> Config {
        Config {
            revision: self.revision,
            view: self.view.unwrap_or_else(|| before.view.clone()),
            contracts: self.contracts,
            moves: self.moves,
            banned: self.banned,
            site: self.site.or_else(|| before.site.clone()),
        }
    }
}
