//! Reading the segments of a folder.

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
    segment::{self, MAGIC, Sealed},
};

/// What the segments hold.
#[derive(Debug)]
pub(crate) struct Scan {
    pub(crate) sealed: Vec<Sealed>,
    /// The segment to go on writing to, if any.
    pub(crate) tail: Option<Tail>,
    /// Number of the next segment when there is no tail.
    pub(crate) number: u64,
    /// Sequence number of the next frame.
    pub(crate) sequence: u64,
    /// Index of the next record.
    pub(crate) next: u64,
    pub(crate) vote: Vote,
    pub(crate) entries: Vec<Record>,
}

/// The last segment, with the length of its whole frames.
#[derive(Debug)]
pub(crate) struct Tail {
    pub(crate) path: PathBuf,
    pub(crate) number: u64,
    pub(crate) length: u64,
    pub(crate) last_index: u64,
}

/// The state of a replay.
#[derive(Debug, Default)]
struct Replay {
    sequence: u64,
    /// Index of the next record, when known.
    next: Option<u64>,
    vote: Vote,
    entries: Vec<Record>,
}

/// Reads all segments, and removes a last segment whose creation was cut short.
pub(crate) fn scan(dir: &Path, snapshot: Option<&Snapshot>) -> Result<Scan> {
    let numbers = numbers(dir)?;
    let mut replay = Replay::default();
    let mut sealed = Vec::new();
    let mut tail = None;
    for (position, &number) in numbers.iter().enumerate() {
        let path = segment::path(dir, number);
        let content = fs::read(&path).context(IoSnafu { action: "read", path: &path })?;
        let is_last = position + 1 == numbers.len();
        let (length, last_index) = replay.segment(&path, number, &content, is_last)?;
        if !is_last {
            sealed.push(Sealed { path, length, last_index });
        } else if length == 0 {
            file::remove(&path)?;
        } else {
            tail = Some(Tail { path, number, length, last_index });
        }
    }
    let entries = after(dir, replay.entries, snapshot)?;
    let covered = snapshot.map_or(0, |snapshot| snapshot.index);
    let next = entries.last().map_or(covered, |entry| entry.index) + 1;
    let number =
        numbers.last().map_or(1, |number| if tail.is_none() { *number } else { number + 1 });
    Ok(Scan {
        sealed,
        tail,
        number,
        sequence: replay.sequence + 1,
        next,
        vote: replay.vote,
        entries,
    })
}

impl Replay {
    /// Reads one segment. Returns the length of its whole frames and its highest index.
    fn segment(
        &mut self,
        path: &Path,
        number: u64,
        content: &[u8],
        is_last: bool,
    ) -> Result<(u64, u64)> {
        let damaged = |offset: usize, reason| {
            Err(Error::Damaged { path: path.to_owned(), offset: offset as u64, reason })
        };
        if !content.starts_with(MAGIC) {
            if is_last && !frame::holds_later_frame(content, self.sequence) {
                return Ok((0, 0));
            }
            return damaged(0, "the file does not start as a segment");
        }
        let mut offset = MAGIC.len();
        let mut last_index = 0;
        while offset < content.len() {
            let (sequence, items, length) = match frame::parse(&content[offset..]) {
                Parsed::Frame { sequence, items, length } => (sequence, items, length),
                Parsed::Broken { length, reason } => {
                    let inside = length.is_some_and(|length| offset + length < content.len());
                    let rest = &content[offset + 1..];
                    if !is_last || inside || frame::holds_later_frame(rest, self.sequence) {
                        return damaged(offset, reason);
                    }
                    break;
                }
            };
            if self.sequence != 0 && sequence != self.sequence + 1 {
                return damaged(offset, "a frame is missing before this one");
            }
            let starts = offset == MAGIC.len();
            if starts != (items.first() == Some(&Item::Segment(number))) {
                return damaged(offset, "the segment's number is wrong");
            }
            self.sequence = sequence;
            for item in items {
                let Some(index) = self.item(item) else {
                    return damaged(offset, "a record does not follow the one before");
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

    /// Replays a record and returns its index, or 0 when it has none, or `None` when it is out of
    /// order.
    fn item(&mut self, item: Item) -> Option<u64> {
        match item {
            Item::Segment(_) | Item::Opened => Some(0),
            Item::Vote(vote) => {
                self.vote = vote;
                Some(0)
            }
            Item::TruncateFrom(index) => {
                self.entries.retain(|entry| entry.index < index);
                self.next = Some(index);
                Some(0)
            }
            Item::RestartAt(index) => {
                self.entries.clear();
                self.next = Some(index);
                Some(0)
            }
            Item::Record(record) => {
                let index = record.index;
                if self.next.is_some_and(|next| next != index) {
                    return None;
                }
                self.next = Some(index + 1);
                self.entries.push(record);
                Some(index)
            }
        }
    }
}

/// Returns the records after the snapshot.
///
/// When the process ended between saving a leader's snapshot and voiding the records that it
/// contradicts, the stored record at its index is missing or has another term; then all go.
fn after(dir: &Path, entries: Vec<Record>, snapshot: Option<&Snapshot>) -> Result<Vec<Record>> {
    let (covered, term) = snapshot.map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
    let at = entries.iter().find(|entry| entry.index == covered);
    if at.is_some_and(|entry| entry.term != term) {
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

fn numbers(dir: &Path) -> Result<Vec<u64>> {
    let names = file::names(dir, segment::SUFFIX)?;
    let numbers: Vec<_> = names.iter().filter_map(|name| segment::number(name)).collect();
    if let Some(gap) = numbers.windows(2).find(|pair| pair[0] + 1 != pair[1]) {
        return Err(Error::Missing {
            path: dir.to_owned(),
            missing: format!("segment {:016x}", gap[0] + 1),
        });
    }
    Ok(numbers)
}
