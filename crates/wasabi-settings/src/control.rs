//! Settings of the control daemon.

use std::{net::SocketAddr, path::PathBuf};

use garde::{Path, Report, Validate};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{log::Log, scalar::Scalar, tls::Tls};

/// Settings of `wasabi-controld`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default)]
#[garde(custom(validate_names_and_addresses))]
pub struct Settings {
    /// The member's name. A host that lost its disk must use a new name.
    #[garde(length(min = 1))]
    pub name: String,
    /// The region of the host.
    #[garde(length(min = 1))]
    pub region: String,
    /// The data centre of the host.
    #[garde(length(min = 1))]
    pub data_centre: String,
    /// Address for members, entries and operators (JSON-RPC).
    #[garde(dive)]
    pub listen: Scalar<SocketAddr>,
    /// Address for metrics (HTTP).
    #[garde(dive)]
    pub metrics: Scalar<SocketAddr>,
    /// The directory for persistent data.
    #[garde(custom(|path: &PathBuf, context: &()| crate::file::existing_directory(path, context)))]
    pub data: PathBuf,
    /// The members of a new control group, including this one. If empty, the member waits to be added
    /// to an existing group.
    #[garde(dive)]
    pub members: Vec<Member>,
    /// SHA-256 digests (lower-case hexadecimal) of the operators' credentials.
    #[garde(length(min = 1), inner(length(equal = 64)))]
    pub operator_digests: Vec<String>,
    /// Number of committed commands between snapshots.
    #[garde(dive)]
    pub snapshot_every: Scalar<u64>,
    /// TLS for operators. If unset, connections are not encrypted.
    #[garde(dive)]
    pub tls: Option<Tls>,
    /// Logs and traces.
    #[garde(dive)]
    pub log: Log,
}

impl Default for Settings {
    fn default() -> Self {
        let port = |port| Scalar::new(SocketAddr::from(([127, 0, 0, 1], port)));
        Self {
            name: String::new(),
            region: String::new(),
            data_centre: String::new(),
            listen: port(7000),
            metrics: port(7001),
            data: PathBuf::new(),
            members: Vec::new(),
            operator_digests: Vec::new(),
            snapshot_every: Scalar::new(4096),
            tls: None,
            log: Log::default(),
        }
    }
}

/// A member of a new control group.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema, Validate)]
pub struct Member {
    /// The member's name.
    #[garde(length(min = 1))]
    pub name: String,
    /// The IP address and port that it listens on.
    #[garde(dive)]
    pub address: Scalar<SocketAddr>,
}

fn validate_names_and_addresses(settings: &Settings, (): &()) -> garde::Result {
    let mut report = Report::new();
    crate::file::distinct_addresses(
        &[("listen", *settings.listen), ("metrics", *settings.metrics)],
        &mut Path::empty,
        &mut report,
    );
    let members = &settings.members;
    let duplicate = members
        .iter()
        .enumerate()
        .find(|(index, member)| members[..*index].iter().any(|other| other.name == member.name));
    if let Some((_, member)) = duplicate {
        return Err(garde::Error::new(format!("member `{}` is listed twice", member.name)));
    }
    let is_member = members.iter().any(|member| member.name == settings.name);
    if !members.is_empty() && !is_member {
        return Err(garde::Error::new(format!(
            "`members` must contain this member, `{}`",
            settings.name
        )));
    }
    match report.iter().next() {
        Some((path, error)) => Err(garde::Error::new(format!("{path}: {error}"))),
        None => Ok(()),
    }
}
