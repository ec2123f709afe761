//! Frames: what one sync writes.
//!
//! A frame is a header `{length u32, sequence u64, crc32 u32}` and records `{length u32, crc32 u32,
//! bytes}`, all little-endian. One sync writes one frame, so at most the last frame can be torn.

use serde::{Deserialize, Serialize};

use crate::{Error, Record, Result, Vote};

/// Length of a frame's header, in bytes.
pub(crate) const HEADER_BYTES: usize = 16;

const RECORD_HEADER_BYTES: usize = 8;

/// A record as it stands in a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Item {
    /// The first record of a segment; its number guards against renamed files.
    Segment(u64),
    /// The log was opened here. All frames before this one were synced.
    Opened,
    /// The highest term joined and the vote in it.
    Vote(Vote),
    /// The records from the index on are void, and the next record has this index.
    TruncateFrom(u64),
    /// All records before this one are void, also those that a snapshot covers but contradicts.
    /// The next record has this index and follows the snapshot.
    RestartAt(u64),
    /// A record of the log.
    Record(Record),
}

/// A frame under construction.
#[derive(Debug, Default)]
pub(crate) struct Builder {
    body: Vec<u8>,
}

impl Builder {
    pub(crate) const fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// Adds a record.
    ///
    /// # Errors
    ///
    /// Fails when the frame would be longer than its header can state.
    pub(crate) fn push(&mut self, item: &Item) -> Result<()> {
        let start = self.body.len();
        self.body.extend_from_slice(&[0; RECORD_HEADER_BYTES]);
        let body = std::mem::take(&mut self.body);
        self.body = postcard::to_extend(item, body)
            .map_err(|error| Error::Codec { reason: error.to_string() })?;
        let content = start + RECORD_HEADER_BYTES;
        let length = u32::try_from(self.body.len() - content).ok();
        let total = u32::try_from(self.body.len()).ok();
        let (Some(length), Some(_)) = (length, total) else {
            return Err(Error::Codec { reason: "a frame exceeds 4 GiB".to_owned() });
        };
        let crc = crc32fast::hash(&self.body[content..]);
        self.body[start..start + 4].copy_from_slice(&length.to_le_bytes());
        self.body[start + 4..content].copy_from_slice(&crc.to_le_bytes());
        Ok(())
    }

    /// Appends the frame with the sequence number to `out` and starts a new one.
    pub(crate) fn finish(&mut self, sequence: u64, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&(self.body.len() as u32).to_le_bytes());
        out.extend_from_slice(&sequence.to_le_bytes());
        let crc = crc32fast::hash(&out[start..]);
        out.extend_from_slice(&crc.to_le_bytes());
        out.append(&mut self.body);
    }
}

/// What stands at a place where a frame is expected.
pub(crate) enum Parsed {
    /// A whole frame.
    Frame { sequence: u64, items: Vec<Item>, length: usize },
    /// No whole frame. The length is known when the header is whole.
    Broken { length: Option<usize>, reason: &'static str },
}

/// Reads the frame at the start of `bytes`.
pub(crate) fn parse(bytes: &[u8]) -> Parsed {
    let Some((body_length, sequence)) = header(bytes) else {
        return Parsed::Broken { length: None, reason: "the frame header's checksum is wrong" };
    };
    let length = HEADER_BYTES + body_length;
    let broken = |reason| Parsed::Broken { length: Some(length), reason };
    let Some(mut body) = bytes.get(HEADER_BYTES..length) else {
        return broken("the frame is cut short");
    };
    let mut items = Vec::new();
    while !body.is_empty() {
        let Some((item, rest)) = record(body) else {
            return broken("a record's checksum or content is wrong");
        };
        items.push(item);
        body = rest;
    }
    Parsed::Frame { sequence, items, length }
}

/// Returns whether a whole frame later than `after` starts at any place in `bytes`.
pub(crate) fn holds_later_frame(bytes: &[u8], after: u64) -> bool {
    (0..bytes.len()).any(|start| {
        let later = header(&bytes[start..]).is_some_and(|(_, sequence)| after < sequence);
        later && matches!(parse(&bytes[start..]), Parsed::Frame { .. })
    })
}

fn header(bytes: &[u8]) -> Option<(usize, u64)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sequence, rest) = rest.split_first_chunk::<8>()?;
    let (crc, _) = rest.split_first_chunk::<4>()?;
    let intact = crc32fast::hash(&bytes[..12]) == u32::from_le_bytes(*crc);
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    intact.then_some((length, u64::from_le_bytes(*sequence)))
}

fn record(bytes: &[u8]) -> Option<(Item, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (crc, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    let content = rest.get(..length)?;
    if crc32fast::hash(content) != u32::from_le_bytes(*crc) {
        return None;
    }
    Some((postcard::from_bytes(content).ok()?, &rest[length..]))
}
