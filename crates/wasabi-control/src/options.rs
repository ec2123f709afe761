//! Start options of a member.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, PoisonError, RwLock},
};

use wasabi_protocol::{fingerprint, id};
use wasabi_settings::control::Settings;

use crate::metrics::Metrics;

/// Most addresses kept by [`Contacts::add`].
const ADDED_MAX: usize = 8;

/// Start options of a member.
#[derive(Debug, Clone)]
pub struct Options {
    /// The member's name.
    pub name: id::Member,
    /// Address that members, entries and operators connect to.
    pub listen: SocketAddr,
    /// Directory of all data that must survive a restart.
    pub data: PathBuf,
    /// Initial members of a new group with their addresses; empty when the member joins an existing
    /// group.
    pub members: Vec<(id::Member, String)>,
    /// Addresses to send join requests to. When empty at the start, an operator has to add this
    /// member.
    pub contacts: Contacts,
    /// Whether failed members are removed without an operator.
    pub self_repair: bool,
    /// SHA-256 digests of the operators' credentials.
    pub operator_digests: Vec<String>,
    /// Number of committed log entries between two snapshots.
    pub snapshot_every: u64,
    /// Whether proposals are synced in batches.
    pub batching: Batching,
    /// Metrics of the member.
    pub metrics: Metrics,
}

impl Options {
    /// Returns the proofs by which members authenticate each other: digests of the digests of
    /// operators' credentials, which are stored only in the members' settings.
    pub(crate) fn proofs(&self) -> Vec<String> {
        let proof = |digest: &String| fingerprint::token(&format!("member {digest}"));
        self.operator_digests.iter().map(proof).collect()
    }
}

/// Addresses of control hosts, which may be replaced while the member runs.
#[derive(Debug, Clone, Default)]
pub struct Contacts {
    addresses: Arc<RwLock<Vec<String>>>,
}

impl Contacts {
    /// Creates contacts with the given addresses.
    pub fn new(addresses: Vec<String>) -> Self {
        Self { addresses: Arc::new(RwLock::new(addresses)) }
    }

    /// Returns the current addresses.
    pub fn get(&self) -> Vec<String> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Adds an address. At the limit, the oldest address is removed.
    pub(crate) fn add(&self, address: &str) {
        let mut addresses = self.addresses.write().unwrap_or_else(PoisonError::into_inner);
        if addresses.iter().any(|known| known == address) {
            return;
        }
        if ADDED_MAX <= addresses.len() {
            addresses.remove(0);
        }
        addresses.push(address.to_owned());
    }

    /// Replaces the addresses.
    pub fn set(&self, addresses: Vec<String>) {
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}

/// Whether proposals are synced in batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Batching {
    /// All pending proposals are synced together.
    Shared,
    /// Each proposal is committed before the next is accepted; for comparison in benchmarks.
    Single,
}

impl From<&Settings> for Options {
    fn from(settings: &Settings) -> Self {
        let member = |member: &wasabi_settings::control::Member| {
            (member.name.as_str().into(), member.address.to_string())
        };
        Self {
            name: settings.name.as_str().into(),
            listen: *settings.listen,
            data: settings.data.clone(),
            members: settings.members.iter().map(member).collect(),
            contacts: Contacts::default(),
            self_repair: false,
            operator_digests: settings.operator_digests.clone(),
            snapshot_every: *settings.snapshot_every,
            batching: Batching::Shared,
            metrics: Metrics::default(),
        }
    }
}
