//! Updates of outdated configurations.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    command::{Config, Move, View},
    contract::Contract,
    fingerprint, id,
    rpc::{Changes, ConfigDigests},
    site,
};

/// Identifies the configuration that the requester of an update holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ConfigVersion {
    /// The revision.
    pub revision: id::Revision,
    /// The number of its view.
    pub view: id::View,
    /// The version of its site configuration, if it has one.
    pub site: Option<u64>,
    /// The digest of the configuration. A requester that sends it accepts an update that contains
    /// only the changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<fingerprint::Content>,
}

impl ConfigVersion {
    /// Returns the version of a configuration, without its digest.
    pub fn of(config: &Config) -> Self {
        Self {
            revision: config.revision,
            view: config.view.number,
            site: config.site.as_ref().map(|site| site.version),
            content: None,
        }
    }
}

/// The result of applying an update does not match the configuration of the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpdateMismatch;

impl fmt::Display for UpdateMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the update does not apply to the configuration that it was requested for")
    }
}

impl std::error::Error for UpdateMismatch {}

/// A configuration without the parts that the requester already holds.
///
/// A complete one has the same encoding as a [`Config`], for compatibility with requesters and
/// senders of earlier versions.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Update {
    /// The revision after the update.
    pub revision: id::Revision,
    /// The entry view; `None` if the requester holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view: Option<View>,
    /// The contracts, ordered by organisation.
    pub contracts: Vec<Contract>,
    /// The moves, ordered by name.
    pub moves: Vec<Move>,
    /// Versions that must not be deployed again.
    pub banned: Vec<(id::Backend, id::Version)>,
    /// The site configuration; `None` if the requester holds it or there is none.
    #[serde(default)]
    pub site: Option<site::Config>,
    /// The changes, sent in place of all other parts if the sender knows the requester's
    /// configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Box<Changes>>,
    /// The digest of the configuration; `None` if the requester sent none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<fingerprint::Content>,
}

/// How much of a configuration an update contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// Only the revision.
    Nothing,
    /// The changes since the requester's revision.
    Changes,
    /// Everything except the view, the site or both.
    Part,
    /// Everything, including the view and the site.
    Whole,
}

impl Extent {
    /// Returns the label used in metrics.
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
    /// Creates an update for a requester that holds `held`, without the view or the site that it has.
    /// A requester that doesn't state what it holds gets everything.
    ///
    /// If the requester holds the same or a newer revision, the update contains only the revision.
    pub fn new(config: Config, held: Option<&ConfigVersion>) -> Self {
        let Config { revision, view, contracts, moves, banned, site } = config;
        match held {
            Some(held) if revision <= held.revision => Self::unchanged(revision),
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

    /// Creates an update with the changes from the configuration with the digests `before` to `config`,
    /// which has the digests `after`.
    pub(crate) fn delta(config: &Config, after: &ConfigDigests, before: &ConfigDigests) -> Self {
        let changes = Changes::new(config, after, before);
        Self {
            changes: Some(Box::new(changes)),
            content: after.content(),
            ..Self::unchanged(config.revision)
        }
    }

    /// Creates an update that contains only the revision.
    const fn unchanged(revision: id::Revision) -> Self {
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

    /// Returns how much of the configuration the update contains.
    pub fn extent(&self) -> Extent {
        let lists = [self.contracts.len(), self.moves.len(), self.banned.len()];
        match (&self.view, &self.site) {
            _ if self.changes.is_some() => Extent::Changes,
            (None, None) if lists == [0; 3] => Extent::Nothing,
            (Some(_), Some(_)) => Extent::Whole,
            _ => Extent::Part,
        }
    }

    /// Applies the update to `before`, the configuration that the requester held when it sent its
    /// request.
    ///
    /// # Errors
    ///
    /// Returns an error if the digest of the result differs from that of the sender's configuration, or
    /// if `before` lacks items that the update refers to.
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
