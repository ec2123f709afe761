//! The way of a configuration to those that hold an older one.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    command::{Config, Move, View},
    contract::Contract,
    fingerprint, id,
    rpc::{Changes, ConfigDigests},
    site,
};

/// What an asker of the configuration holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ConfigVersion {
    /// The revision.
    pub revision: id::Revision,
    /// The number of its view.
    pub view: id::View,
    /// The version of its site configuration, if it has one.
    pub site: Option<u64>,
    /// The digest of the whole. An asker that names it takes an answer that holds only what changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<fingerprint::Content>,
}

impl ConfigVersion {
    /// Returns what an asker with this configuration holds.
    pub fn of(config: &Config) -> Self {
        Self {
            revision: config.revision,
            view: config.view.number,
            site: config.site.as_ref().map(|site| site.version),
            content: None,
        }
    }
}

/// An update that does not lead to the configuration that it was made from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpdateMismatch;

impl fmt::Display for UpdateMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the update does not fit the configuration that it was asked for")
    }
}

impl std::error::Error for UpdateMismatch {}

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
    /// What is sent in place of all parts to an asker whose configuration the answerer knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Box<Changes>>,
    /// The digest of the configuration; none when the asker named none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<fingerprint::Content>,
}

/// How much of a configuration an update holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// The revision alone.
    Nothing,
    /// The parts that changed since the asker's revision.
    Changes,
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
            Self::Changes => "changes",
            Self::Part => "part",
            Self::Whole => "whole",
        }
    }
}

impl Update {
    /// Returns what an asker lacks; one that does not say what it holds gets everything.
    ///
    /// One that holds the same or a newer revision lacks nothing, and is told the revision alone.
    pub fn new(config: Config, held: Option<&ConfigVersion>) -> Self {
        let Config { revision, view, contracts, moves, banned, site } = config;
        match held {
            Some(held) if revision <= held.revision => Self::empty(revision),
            _ => {
                let lacks_view = held.is_none_or(|held| held.view != view.number);
                let lacks_site =
                    |site: &site::Config| held.is_none_or(|held| held.site != Some(site.version));
                Self {
                    revision,
                    view: lacks_view.then_some(view),
                    contracts,
                    moves,
                    banned,
                    site: site.filter(lacks_site),
                    changes: None,
                    content: None,
                }
            }
        }
    }

    /// Returns what changed from the configuration that `before` is the outline of to `config`, of
    /// which `after` is the outline.
    pub(crate) fn since(config: &Config, after: &ConfigDigests, before: &ConfigDigests) -> Self {
        let changes = Changes::new(config, after, before);
        Self {
            changes: Some(Box::new(changes)),
            content: after.content(),
            ..Self::empty(config.revision)
        }
    }

    /// Returns an update that holds the revision alone.
    const fn empty(revision: id::Revision) -> Self {
        Self {
            revision,
            view: None,
            contracts: Vec::new(),
            moves: Vec::new(),
            banned: Vec::new(),
            site: None,
            changes: None,
            content: None,
        }
    }

    /// Returns how much of the configuration it holds.
    pub fn extent(&self) -> Extent {
        let lists = [self.contracts.len(), self.moves.len(), self.banned.len()];
        match (&self.view, &self.site) {
            _ if self.changes.is_some() => Extent::Changes,
            (None, None) if lists == [0; 3] => Extent::Nothing,
            (Some(_), Some(_)) => Extent::Whole,
            _ => Extent::Part,
        }
    }

    /// Returns the configuration of an asker that held `before` when it asked.
    ///
    /// # Errors
    ///
    /// Returns an error when that is not the configuration of the answerer, by its digest.
    pub fn apply_to(self, before: &Config) -> Result<Config, UpdateMismatch> {
        let content = self.content;
        let config = match self.changes {
            Some(changes) => changes.apply_to(self.revision, before).ok_or(UpdateMismatch)?,
            None => Config {
                revision: self.revision,
                view: self.view.unwrap_or_else(|| before.view.clone()),
                contracts: self.contracts,
                moves: self.moves,
                banned: self.banned,
                site: self.site.or_else(|| before.site.clone()),
            },
        };
        if content.is_some() && ConfigDigests::of(&config).content() != content {
            return Err(UpdateMismatch);
        }
        Ok(config)
    }
}
