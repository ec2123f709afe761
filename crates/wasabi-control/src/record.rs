//! Contents of the replicated log and its snapshots.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};
use wasabi_consensus::{Payload, PersistentState};
use wasabi_protocol::{clock::Millis, command::Command, id};
use wasabi_state::Machine;

/// A log item, with the time at which the leader proposed it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Record {
    /// The leader's wall-clock time, in milliseconds since the Unix epoch.
    pub(crate) now: Millis,
    /// The item.
    pub(crate) item: Item,
}

/// An item of the log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Item {
    /// A command of the state machine.
    Command(Command),
    /// The address of a control member.
    Address {
        /// The member.
        member: id::Member,
        /// The IP address and port that the member listens on.
        address: String,
    },
}

/// The addresses of the control members, by name.
pub type Addresses = BTreeMap<id::Member, String>;

/// Error of encoding or decoding stored data.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The bytes are not a valid record.
    #[snafu(display("a stored record cannot be encoded or decoded: {source}"))]
    Codec {
        /// The codec's error.
        source: postcard::Error,
    },
    /// The state machine's snapshot is not valid.
    #[snafu(display("{source}"))]
    State {
        /// The state machine's error.
        source: wasabi_state::Error,
    },
}

/// Encodes a record for the log.
///
/// # Errors
///
/// Returns an error when the record cannot be encoded.
pub(crate) fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    postcard::to_stdvec(record).context(CodecSnafu)
}

/// Decodes a record of the log.
///
/// # Errors
///
/// Returns an error when the bytes are not a valid record, as after a change of the format.
pub(crate) fn decode(bytes: &[u8]) -> Result<Record, Error> {
    postcard::from_bytes(bytes).context(CodecSnafu)
}

/// Encodes a snapshot.
///
/// # Errors
///
/// Returns an error when the state cannot be encoded.
pub(crate) fn snapshot(addresses: &Addresses, machine: &Machine) -> Result<Vec<u8>, Error> {
    let state = machine.snapshot().context(StateSnafu)?;
    let mut bytes = postcard::to_stdvec(addresses).context(CodecSnafu)?;
    bytes.extend_from_slice(&state);
    Ok(bytes)
}

/// Decodes a snapshot. An empty one is the initial state of a group.
///
/// # Errors
///
/// Returns an error when the bytes are not a snapshot of this version.
pub(crate) fn restore(bytes: &[u8]) -> Result<(Addresses, Machine), Error> {
    if bytes.is_empty() {
        return Ok((Addresses::new(), Machine::new()));
    }
    let (addresses, state) = postcard::take_from_bytes(bytes).context(CodecSnafu)?;
    Ok((addresses, Machine::restore(state).context(StateSnafu)?))
}

/// Returns the member addresses in the stored log and snapshot, committed or not.
///
/// After a restart of all members nothing is known to be committed, and the first election already
/// needs the addresses.
pub(crate) fn known_addresses(restored: &PersistentState) -> Addresses {
    let snapshot = restore(&restored.snapshot.data).map(|(addresses, _)| addresses);
    let mut addresses = snapshot.unwrap_or_default();
    for entry in &restored.entries {
        let Payload::Command(bytes) = &entry.data else { continue };
        if let Ok(Record { item: Item::Address { member, address }, .. }) = decode(bytes) {
            addresses.insert(member, address);
        }
    }
    addresses
}
