//! Encoding of the whole state as a snapshot.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu, ensure};
use wasabi_protocol::{clock::Millis, command, contract::Contract, id, site};

use crate::{
    keys::{self, RecordStore},
    lease::Lease,
    machine::{Change, Machine},
    moves::Moves,
    results::{self, Results},
};

/// Version of the snapshot layout that is read and written.
const LAYOUT_VERSION: u16 = 2;

/// Failure to write or read a snapshot.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The bytes do not hold a snapshot.
    #[snafu(display("the snapshot cannot be encoded or decoded: {source}"))]
    Codec {
        /// The codec's error.
        source: postcard::Error,
    },
    /// The snapshot has another layout.
    #[snafu(display(
        "the snapshot has layout version {found}, but version {LAYOUT_VERSION} is required"
    ))]
    Layout {
        /// The layout of the snapshot.
        found: u16,
    },
}

/// All state except the at-most-once records, which are too large to copy.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Head {
    index: u64,
    now: Millis,
    revision: id::Revision,
    last: Change,
    contracts: BTreeMap<id::Organisation, Contract>,
    view: command::View,
    moves: Moves,
    lease: Lease,
    results: Vec<(id::Command, results::Result)>,
    site: Option<site::Document>,
}

/// The at-most-once records as read from a snapshot.
#[derive(Debug)]
#[derive(Deserialize)]
struct OwnedRecords {
    by_key: BTreeMap<command::Key, keys::Record>,
    released: VecDeque<(Millis, id::Attempt)>,
}

impl Machine {
    /// Encodes the whole state.
    ///
    /// # Errors
    ///
    /// Returns an error when the state cannot be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, Error> {
        let head = Head {
            index: self.index,
            now: self.now,
            revision: self.revision,
            last: self.last.clone(),
            contracts: self.contracts.clone(),
            view: self.view.clone(),
            moves: self.moves.clone(),
            lease: self.lease.clone(),
            results: self.results.to_snapshot(),
            site: self.site.clone(),
        };
        postcard::to_stdvec(&(LAYOUT_VERSION, head, self.keys.snapshot_view())).context(CodecSnafu)
    }

    /// Decodes the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are not a snapshot of this layout.
    pub fn restore(bytes: &[u8]) -> Result<Self, Error> {
        let (found, bytes) = postcard::take_from_bytes::<u16>(bytes).context(CodecSnafu)?;
        ensure!(found == LAYOUT_VERSION, LayoutSnafu { found });
        let (head, keys) =
            postcard::from_bytes::<(Head, OwnedRecords)>(bytes).context(CodecSnafu)?;
        Ok(Self {
            index: head.index,
            now: head.now,
            revision: head.revision,
            last: head.last,
            contracts: head.contracts,
            view: head.view,
            moves: head.moves,
            lease: head.lease,
            results: Results::from_snapshot(head.results),
            keys: RecordStore::from_snapshot(keys.by_key, keys.released),
            site: head.site,
        })
    }
}
