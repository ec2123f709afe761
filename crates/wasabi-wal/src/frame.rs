//! Frames, the unit of writing and syncing.
//!
//! A frame consists of a header `{length u32, sequence u64, crc32 u32}` and records `{length u32,
//! crc32 u32, bytes}`, all little-endian. Each sync writes one frame, so only the last frame can be
//! torn.

use serde::{Deserialize, Serialize};

use crate::{Error, Record, Result, Vote};

/// Size of a frame header, in bytes.
pub(crate) const HEADER_BYTES: usize = 16;

const RECORD_HEADER_BYTES: usize = 8;

/// The content of a record in a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Item {
    /// The first record of a segment, with the segment number. Detects renamed files.
    Segment(u64),
    /// Marks that the log was opened. All earlier frames are synced.
    Opened,
    /// The current term and the vote in it.
    Vote(Vote),
    /// Discards the records from the index on. The next record has this index.
    TruncateFrom(u64),
    /// Discards all earlier records, including those that conflict with a snapshot that covers
    /// them. The next record has this index and follows the snapshot.
    RestartAt(u64),
    /// A log record.
    Record(Record),
}

/// A frame under construction.
#[derive(Debug, Default)]
pub(crate) struct FrameBuilder {
    body: Vec<u8>,
}

impl FrameBuilder {
    pub(crate) const fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// Adds a record.
    ///
    /// # Errors
    ///
    /// Fails if the frame would exceed the size that its header can encode.
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
            return Err(Error::Codec { reason: "the frame exceeds 4 GiB".to_owned() });
        };
        let crc = crc32fast::hash(&self.body[content..]);
        self.body[start..start + 4].copy_from_slice(&length.to_le_bytes());
        self.body[start + 4..content].copy_from_slice(&crc.to_le_bytes());
        Ok(())
    }

    /// Appends the frame with the given sequence number to `out` and starts an empty frame.
    pub(crate) fn finish(&mut self, sequence: u64, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&(self.body.len() as u32).to_le_bytes());
        out.extend_from_slice(&sequence.to_le_bytes());
        let crc = crc32fast::hash(&out[start..]);
        out.extend_from_slice(&crc.to_le_bytes());
        out.append(&mut self.body);
    }
}

/// The result of parsing a frame.
pub(crate) enum Parsed {
    /// A valid frame.
    Frame { sequence: u64, items: Vec<Item>, length: usize },
    /// A truncated or corrupted frame. The length is known if the header is valid.
    Invalid { length: Option<usize>, reason: &'static str },
}

/// Parses the frame at the start of `bytes`.
pub(crate) fn parse(bytes: &[u8]) -> Parsed {
    let Some((body_length, sequence)) = header(bytes) else {
        return Parsed::Invalid {
            length: None,
            reason: "truncated frame header or checksum mismatch",
        };
    };
    let length = HEADER_BYTES + body_length;
    let invalid = |reason| Parsed::Invalid { length: Some(length), reason };
    let Some(mut body) = bytes.get(HEADER_BYTES..length) else {
        return invalid("truncated frame");
    };
    let mut items = Vec::new();
    while !body.is_empty() {
        let Some((item, rest)) = record(body) else {
            return invalid("invalid record checksum or content");
        };
        items.push(item);
        body = rest;
    }
    Parsed::Frame { sequence, items, length }
}

/// Returns whether a valid frame with a sequence number above `after` starts at any offset in
/// `bytes`.
pub(crate) fn contains_later_frame(bytes: &[u8], after: u64) -> bool {
    (0..bytes.len()).any(|start| {
        let is_later = header(&bytes[start..]).is_some_and(|(_, sequence)| after < sequence);
        is_later && matches!(parse(&bytes[start..]), Parsed::Frame { .. })
    })
}

fn header(bytes: &[u8]) -> Option<(usize, u64)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sequence, rest) = rest.split_first_chunk::<8>()?;
    let (crc, _) = rest.split_first_chunk::<4>()?;
    let checksum_matches = crc32fast::hash(&bytes[..12]) == u32::from_le_bytes(*crc);
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    checksum_matches.then_some((length, u64::from_le_bytes(*sequence)))
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
