use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu, ensure};
use wasabi_protocol::{clock::Millis, command, contract::Contract, id, site};

use crate::{
    keys::{self, Keys},
    lease::Lease,
    machine::{Change, Machine},
    moves::Moves,
    results::{self, Results},
};

/// The layout of snapshots that this version reads and writes.
const LAYOUT: u16 = 2;

/// Why a snapshot cannot be written or read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The bytes do not hold a snapshot.
    #[snafu(display("the snapshot cannot be encoded or decoded: {source}"))]
    Codec {
        /// The codec's error.
        source: postcard::Error,
    },
    /// The snapshot was written by another version.
    #[snafu(display("the snapshot has layout {found}, this version reads layout {LAYOUT}"))]
    Layout {
        /// The layout of the snapshot.
        found: u16,
    },
}

/// The parts that are cheap to copy, beside the records.
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

#[derive(Debug)]
#[derive(Deserialize)]
struct OwnedKeys {
    by_key: BTreeMap<command::Key, keys::Record>,
    released: VecDeque<(Millis, id::Attempt)>,
}

impl Machine {
    /// Returns the whole state as bytes.
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
            results: self.results.image(),
            site: self.site.clone(),
        };
        postcard::to_stdvec(&(LAYOUT, head, self.keys.image())).context(CodecSnafu)
    }

    /// Returns the machine that a snapshot was taken of.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are not a snapshot of this layout.
    pub fn restore(bytes: &[u8]) -> Result<Self, Error> {
        let (found, bytes) = postcard::take_from_bytes::<u16>(bytes).context(CodecSnafu)?;
        ensure!(found == LAYOUT, LayoutSnafu { found });
        let (head, keys) = postcard::from_bytes::<(Head, OwnedKeys)>(bytes).context(CodecSnafu)?;
        Ok(Self {
            index: head.index,
            now: head.now,
            revision: head.revision,
            last: head.last,
            contracts: head.contracts,
            view: head.view,
            moves: head.moves,
            lease: head.lease,
            results: Results::from_image(head.results),
            keys: Keys::from_image(keys.by_key, keys.released),
            site: head.site,
        })
    }
}
