//! Recovery of the log from its segment files.

use std::{
    fs,
    path::{Path, PathBuf},
};

use snafu::ResultExt;

use crate::{
    Error, Record, Result, Snapshot, Vote,
    error::IoSnafu,
    file,
    frame::{self, Item, Parsed},
    segment::{self, MAGIC, SealedSegment},
};

/// The state recovered from the segments.
#[derive(Debug)]
pub(crate) struct Scan {
    pub(crate) sealed: Vec<SealedSegment>,
    /// The segment to continue appending to, if any.
    pub(crate) tail: Option<Tail>,
    /// Number of the next segment if there is no tail.
    pub(crate) next_number: u64,
    /// Sequence number of the next frame.
    pub(crate) next_sequence: u64,
    /// Index of the next record.
    pub(crate) next_index: u64,
    pub(crate) vote: Vote,
    pub(crate) entries: Vec<Record>,
}

/// The last segment, with the total length of its valid frames.
#[derive(Debug)]
pub(crate) struct Tail {
    pub(crate) path: PathBuf,
    pub(crate) number: u64,
    pub(crate) length: u64,
    pub(crate) last_index: u64,
}

/// The state of a log replay.
#[derive(Debug, Default)]
struct Replay {
    sequence: u64,
    /// Index of the next record, if known.
    next_index: Option<u64>,
    vote: Vote,
    entries: Vec<Record>,
}

/// Reads all segments, and removes the last one if its creation did not complete.
pub(crate) fn scan(dir: &Path, snapshot: Option<&Snapshot>) -> Result<Scan> {
    let numbers = segment_numbers(dir)?;
    let mut replay = Replay::default();
    let mut sealed = Vec::new();
    let mut tail = None;
    for (position, &number) in numbers.iter().enumerate() {
        let path = segment::path(dir, number);
        let content = fs::read(&path).context(IoSnafu { action: "read", path: &path })?;
        let is_last = position + 1 == numbers.len();
        let (length, last_index) = replay.replay_segment(&path, number, &content, is_last)?;
        if !is_last {
            sealed.push(SealedSegment { path, length, last_index });
        } else if length == 0 {
            file::remove_file(&path)?;
        } else {
            tail = Some(Tail { path, number, length, last_index });
        }
    }
    let entries = records_after_snapshot(dir, replay.entries, snapshot)?;
    let covered = snapshot.map_or(0, |snapshot| snapshot.index);
    let next_index = entries.last().map_or(covered, |entry| entry.index) + 1;
    let next_number =
        numbers.last().map_or(1, |number| if tail.is_none() { *number } else { number + 1 });
    Ok(Scan {
        sealed,
        tail,
        next_number,
        next_sequence: replay.sequence + 1,
        next_index,
        vote: replay.vote,
        entries,
    })
}

impl Replay {
    /// Replays one segment. Returns the total length of its valid frames and its highest index.
    fn replay_segment(
        &mut self,
        path: &Path,
        number: u64,
        content: &[u8],
        is_last: bool,
    ) -> Result<(u64, u64)> {
        let corrupted = |offset: usize, reason| {
            Err(Error::Corrupted { path: path.to_owned(), offset: offset as u64, reason })
        };
        if !content.starts_with(MAGIC) {
            if is_last && !frame::contains_later_frame(content, self.sequence) {
                return Ok((0, 0));
            }
            return corrupted(0, "invalid segment header");
        }
        let mut offset = MAGIC.len();
        let mut last_index = 0;
        while offset < content.len() {
            let (sequence, items, length) = match frame::parse(&content[offset..]) {
                Parsed::Frame { sequence, items, length } => (sequence, items, length),
                Parsed::Invalid { length, reason } => {
                    let ends_before_eof =
                        length.is_some_and(|length| offset + length < content.len());
                    let rest = &content[offset + 1..];
                    if !is_last
                        || ends_before_eof
                        || frame::contains_later_frame(rest, self.sequence)
                    {
                        return corrupted(offset, reason);
                    }
                    break;
                }
            };
            if self.sequence != 0 && sequence != self.sequence + 1 {
                return corrupted(offset, "gap in the frame sequence numbers");
            }
            let is_first_frame = offset == MAGIC.len();
            if is_first_frame != (items.first() == Some(&Item::Segment(number))) {
                return corrupted(offset, "segment number mismatch");
            }
            self.sequence = sequence;
            for item in items {
                let Some(index) = self.replay_item(item) else {
                    return corrupted(offset, "record index out of order");
                };
                last_index = last_index.max(index);
            }
            offset += length;
        }
        if offset == MAGIC.len() {
            return Ok((0, 0));
        }
        Ok((offset as u64, last_index))
    }

    /// Replays a record. Returns its index, 0 if it has none, or `None` if it is out of order.
    fn replay_item(&mut self, item: Item) -> Option<u64> {
        match item {
            Item::Segment(_) | Item::Opened => Some(0),
            Item::Vote(vote) => {
                self.vote = vote;
                Some(0)
            }
            Item::TruncateFrom(index) => {
                self.entries.retain(|entry| entry.index < index);
                self.next_index = Some(index);
                Some(0)
            }
            Item::RestartAt(index) => {
                self.entries.clear();
                self.next_index = Some(index);
                Some(0)
            }
            Item::Record(record) => {
                let index = record.index;
                if self.next_index.is_some_and(|next| next != index) {
                    return None;
                }
                self.next_index = Some(index + 1);
                self.entries.push(record);
                Some(index)
            }
        }
    }
}

/// Returns the records after the snapshot.
///
/// If the process terminated after saving a snapshot received from the leader but before discarding
/// the records that conflict with it, the stored record at the snapshot's index is missing or has a
/// different term. No record is returned in this case.
fn records_after_snapshot(
    dir: &Path,
    entries: Vec<Record>,
    snapshot: Option<&Snapshot>,
) -> Result<Vec<Record>> {
    let (covered, term) = snapshot.map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
    let last_covered = entries.iter().find(|entry| entry.index == covered);
    if last_covered.is_some_and(|entry| entry.term != term) {
        return Ok(Vec::new());
    }
    let entries: Vec<_> = entries.into_iter().filter(|entry| covered < entry.index).collect();
    match entries.first() {
        Some(first) if first.index != covered + 1 => Err(Error::Missing {
            path: dir.to_owned(),
            missing: format!("records {} to {}", covered + 1, first.index - 1),
        }),
        _ => Ok(entries),
    }
}

fn segment_numbers(dir: &Path) -> Result<Vec<u64>> {
    let names = file::list_with_suffix(dir, segment::SUFFIX)?;
    let numbers: Vec<_> = names.iter().filter_map(|name| segment::parse_number(name)).collect();
    if let Some(gap) = numbers.windows(2).find(|pair| pair[0] + 1 != pair[1]) {
        return Err(Error::Missing {
            path: dir.to_owned(),
            missing: format!("segment {:016x}", gap[0] + 1),
        });
    }
    Ok(numbers)
}
