//! What a member needs to know at its start.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, PoisonError, RwLock},
};

use wasabi_protocol::{fingerprint, id};
use wasabi_settings::control::Settings;

use crate::metrics::Metrics;

/// Most addresses that are added.
const ADDED_MAX: usize = 8;

/// What a member needs to know at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// The member's name.
    pub name: id::Member,
    /// Where members, entries and operators connect.
    pub listen: SocketAddr,
    /// The folder for everything that must survive a restart.
    pub data: PathBuf,
    /// The members of a new group with their addresses; empty when the member waits to be added.
    pub members: Vec<(id::Member, String)>,
    /// Addresses that are asked to be taken into the group; none at the start means that an operator
    /// adds this member.
    pub contacts: Contacts,
    /// Whether members that are gone are removed without an operator.
    pub self_repair: bool,
    /// SHA-256 digests of the operators' credentials.
    pub operator_digests: Vec<String>,
    /// Committed entries after which a snapshot is taken.
    pub snapshot_every: u64,
    /// Whether proposals share a sync.
    pub batching: Batching,
    /// Where the member shows what it does.
    pub metrics: Metrics,
}

impl Options {
    /// Returns the proofs by which members know each other: digests of the digests of operators'
    /// credentials, which only the members' settings hold.
    pub(crate) fn proofs(&self) -> Vec<String> {
        let proof = |digest: &String| fingerprint::token(&format!("member {digest}"));
        self.operator_digests.iter().map(proof).collect()
    }
}

/// Addresses of control hosts, which may be exchanged while the member runs.
#[derive(Debug, Clone, Default)]
pub struct Contacts {
    addresses: Arc<RwLock<Vec<String>>>,
}

impl Contacts {
    /// Returns these addresses.
    pub fn new(addresses: Vec<String>) -> Self {
        Self { addresses: Arc::new(RwLock::new(addresses)) }
    }

    /// Returns the addresses in use.
    pub fn get(&self) -> Vec<String> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Adds an address; the one that was added first makes room.
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

/// Whether proposals share a sync.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Batching {
    /// All proposals that wait are synced together.
    Shared,
    /// Each proposal is committed before the next is taken; for comparison in measurements.
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
