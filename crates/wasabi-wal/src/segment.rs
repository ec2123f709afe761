//! Segment files of the log.

use std::{
    fs::{File, OpenOptions},
    io::{Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

use snafu::ResultExt;

use crate::{
    Result, Vote,
    error::IoSnafu,
    file,
    frame::{FrameBuilder, Item},
    log::SyncFn,
};

/// The first bytes of a segment file: the name and version of the format.
pub(crate) const MAGIC: &[u8; 8] = b"WASABIW1";

/// Suffix of segment file names.
pub(crate) const SUFFIX: &str = ".log";

/// The segment that is open for appending.
#[derive(Debug)]
pub(crate) struct ActiveSegment {
    pub(crate) number: u64,
    pub(crate) path: PathBuf,
    /// File size, in bytes.
    pub(crate) length: u64,
    /// Highest record index.
    pub(crate) last_index: u64,
    file: File,
}

/// A segment that is closed for appending.
#[derive(Debug)]
pub(crate) struct SealedSegment {
    pub(crate) path: PathBuf,
    /// File size, in bytes.
    pub(crate) length: u64,
    /// Highest record index.
    pub(crate) last_index: u64,
}

impl ActiveSegment {
    /// Creates a segment that starts with the current vote, so that earlier segments can be
    /// removed.
    pub(crate) fn create(
        dir: &Path,
        number: u64,
        sequence: u64,
        vote: &Vote,
        sync: SyncFn,
    ) -> Result<Self> {
        let path = path(dir, number);
        let mut options = OpenOptions::new();
        options.write(true).create_new(true);
        let file = options.open(&path).context(IoSnafu { action: "create", path: &path })?;
        let mut segment = Self { number, path, length: 0, last_index: 0, file };
        let mut frame = FrameBuilder::default();
        frame.push(&Item::Segment(number))?;
        frame.push(&Item::Vote(vote.clone()))?;
        let mut bytes = MAGIC.to_vec();
        frame.finish(sequence, &mut bytes);
        segment.write(&bytes, sync)?;
        file::sync_dir(dir, sync)?;
        Ok(segment)
    }

    /// Opens a segment for appending and truncates it to `length` bytes.
    pub(crate) fn open(path: PathBuf, number: u64, length: u64, last_index: u64) -> Result<Self> {
        let mut options = OpenOptions::new();
        options.write(true);
        let mut file = options.open(&path).context(IoSnafu { action: "open", path: &path })?;
        file.set_len(length).context(IoSnafu { action: "truncate", path: &path })?;
        file.seek(SeekFrom::Start(length)).context(IoSnafu { action: "seek in", path: &path })?;
        Ok(Self { number, path, length, last_index, file })
    }

    /// Appends the bytes and syncs the file.
    pub(crate) fn write(&mut self, bytes: &[u8], sync: SyncFn) -> Result<()> {
        self.file.write_all(bytes).context(IoSnafu { action: "write", path: &self.path })?;
        sync(&self.file).context(IoSnafu { action: "sync", path: &self.path })?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    pub(crate) fn seal(self) -> SealedSegment {
        SealedSegment { path: self.path, length: self.length, last_index: self.last_index }
    }
}

/// Returns the path of the segment with the given number.
pub(crate) fn path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{number:016x}{SUFFIX}"))
}

/// Parses the segment number from a file name.
pub(crate) fn parse_number(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_suffix(SUFFIX)?, 16).ok()
}
