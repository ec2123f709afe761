//! Messages between members that are larger than one request should be.
//!
//! A request has a bound of time, and its size must fit every link within it; so what is larger goes
//! in parts.

use std::collections::BTreeMap;

use wasabi_protocol::{id, rpc::Part};

/// Most bytes of messages in one request: 110 ms on a link that passes 200 KB/s, with the overhead of
/// the encoding. A heartbeat waits behind one part at least.
pub const PART_BYTES: usize = 16 * 1024;

/// Most parts that are put together: 64 MiB.
const PARTS_MAX: u32 = 4_096;

/// Most senders whose parts are kept at one time.
const SENDERS_MAX: usize = 16;

/// Returns the parts of encoded messages in order, or one piece without a part when they are small
/// enough. `number` tells these messages from all others of the sender.
pub fn cut(bytes: &[u8], number: u64) -> Vec<(Option<Part>, &[u8])> {
    if bytes.len() <= PART_BYTES {
        return vec![(None, bytes)];
    }
    let pieces = bytes.chunks(PART_BYTES);
    let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    (0..).zip(pieces).map(|(index, piece)| (Some(Part { number, index, count }), piece)).collect()
}

/// The parts that came so far. Of each sender, only the messages whose part came last are kept.
#[derive(Debug, Default)]
pub struct Assembly {
    by_sender: BTreeMap<id::Member, Open>,
    /// The messages of each sender that were whole last. A part whose answer was lost comes again.
    done: BTreeMap<id::Member, u64>,
}

/// Messages of which some parts are missing.
#[derive(Debug)]
struct Open {
    number: u64,
    pieces: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl Assembly {
    /// Adds a part, and returns the whole bytes once none is missing. A part that fits no other, or
    /// that is one of too many, is dropped.
    pub fn add(&mut self, from: &id::Member, part: Part, piece: Vec<u8>) -> Option<Vec<u8>> {
        if PARTS_MAX < part.count || part.count <= part.index {
            return None;
        }
        if SENDERS_MAX <= self.by_sender.len() && !self.by_sender.contains_key(from) {
            // Members that are gone leave parts behind. What is dropped here is sent again.
            self.by_sender.clear();
        }
        if SENDERS_MAX <= self.done.len() && !self.done.contains_key(from) {
            self.done.clear();
        }
        if self.done.get(from) == Some(&part.number) {
            return None;
        }
        let count = part.count as usize;
        let open =
            self.by_sender.entry(from.clone()).or_insert_with(|| Open::new(part.number, count));
        if open.number != part.number || open.pieces.len() != count {
            *open = Open::new(part.number, count);
        }
        let place = &mut open.pieces[part.index as usize];
        if place.replace(piece).is_none() {
            open.missing -= 1;
        }
        if 0 < open.missing {
            return None;
        }
        let whole = self.by_sender.remove(from)?;
        self.done.insert(from.clone(), part.number);
        Some(whole.pieces.into_iter().flatten().flatten().collect())
    }
}

impl Open {
    fn new(number: u64, count: usize) -> Self {
        Self { number, pieces: vec![None; count], missing: count }
    }
}
