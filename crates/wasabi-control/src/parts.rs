//! Splitting and reassembly of messages between members that exceed the size of one request.
//!
//! A request has a timeout, and its size must fit every link within that time, so larger messages
//! are sent in parts.

use std::collections::BTreeMap;

use wasabi_protocol::{id, rpc::Part};

/// Most message bytes in one request: 110 ms on a link of 200 KB/s, including the overhead of the
/// encoding. A heartbeat may have to wait for at least one part.
pub const PART_BYTES: usize = 16 * 1024;

/// Most parts of one message: 64 MiB in total.
const PARTS_MAX: u32 = 4_096;

/// Most senders with incomplete messages at one time.
const SENDERS_MAX: usize = 16;

/// Splits encoded messages into ordered parts. Messages that fit into one request are returned as
/// one chunk without a part header. `number` identifies these messages among all of the sender.
pub fn split(bytes: &[u8], number: u64) -> Vec<(Option<Part>, &[u8])> {
    if bytes.len() <= PART_BYTES {
        return vec![(None, bytes)];
    }
    let chunks = bytes.chunks(PART_BYTES);
    let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    (0..).zip(chunks).map(|(index, chunk)| (Some(Part { number, index, count }), chunk)).collect()
}

/// Received parts. For each sender, only the parts of its most recent messages are kept.
#[derive(Debug, Default)]
pub struct Assembly {
    by_sender: BTreeMap<id::Member, Partial>,
    /// Number of the messages of each sender that were completed last, to ignore a part that is
    /// sent again because its answer was lost.
    done: BTreeMap<id::Member, u64>,
}

/// Messages with missing parts.
#[derive(Debug)]
struct Partial {
    number: u64,
    chunks: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl Assembly {
    /// Adds a part, and returns the reassembled bytes once none is missing. A part with an invalid
    /// index or count is ignored.
    pub fn add(&mut self, from: &id::Member, part: Part, chunk: Vec<u8>) -> Option<Vec<u8>> {
        if PARTS_MAX < part.count || part.count <= part.index {
            return None;
        }
        if SENDERS_MAX <= self.by_sender.len() && !self.by_sender.contains_key(from) {
            // Former members may have left parts behind. Active senders retransmit the discarded
            // parts.
            self.by_sender.clear();
        }
        if SENDERS_MAX <= self.done.len() && !self.done.contains_key(from) {
            self.done.clear();
        }
        if self.done.get(from) == Some(&part.number) {
            return None;
        }
        let count = part.count as usize;
        let partial =
            self.by_sender.entry(from.clone()).or_insert_with(|| Partial::new(part.number, count));
        if partial.number != part.number || partial.chunks.len() != count {
            *partial = Partial::new(part.number, count);
        }
        let slot = &mut partial.chunks[part.index as usize];
        if slot.replace(chunk).is_none() {
            partial.missing -= 1;
        }
        if 0 < partial.missing {
            return None;
        }
        let complete = self.by_sender.remove(from)?;
        self.done.insert(from.clone(), part.number);
        Some(complete.chunks.into_iter().flatten().flatten().collect())
    }
}

impl Partial {
    fn new(number: u64, count: usize) -> Self {
        Self { number, chunks: vec![None; count], missing: count }
    }
}
