//! The write-ahead log: opening, appending, truncating and compacting.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
};

use snafu::ResultExt;

use crate::{
    Error, Record, Result, Snapshot, Vote,
    error::IoSnafu,
    file,
    frame::{FrameBuilder, Item},
    recover,
    segment::{ActiveSegment, SealedSegment},
    snapshot,
};

/// Syncs a file or directory to disk.
pub type SyncFn = fn(&File) -> io::Result<()>;

/// Minimum size of the active segment at which compaction replaces it if a snapshot covers all of
/// its records, in bytes. For smaller segments, the two syncs of a new file outweigh the space
/// saved.
const ROTATE_BYTES_MIN: u64 = 64 * 1_024;

const LOCK_FILE_NAME: &str = "lock";

/// Settings of a log.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Size of the active segment at which a new one is started, in bytes.
    pub segment_bytes: u64,
    /// The function that syncs files. Only tests replace the default.
    pub sync: SyncFn,
}

impl Default for Options {
    /// Returns options with segments of 4 MiB, which limits a compacted log to about 8 MiB.
    fn default() -> Self {
        Self { segment_bytes: 4 * 1_024 * 1_024, sync: File::sync_data }
    }
}

/// A log in a directory that this process has locked.
#[derive(Debug)]
pub struct Log {
    dir: PathBuf,
    options: Options,
    sealed: Vec<SealedSegment>,
    active: ActiveSegment,
    frame: FrameBuilder,
    /// Sequence number of the next frame.
    next_sequence: u64,
    /// Index of the next record.
    next_index: u64,
    /// Highest index in the frame under construction.
    buffered_index: u64,
    vote: Vote,
    snapshot_index: u64,
    failed: bool,
    _lock: File,
}

/// The state recovered from a directory, and the log opened for appending.
#[derive(Debug)]
pub struct Recovered {
    /// The log, ready for appending.
    pub log: Log,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The records after the snapshot, in order and without gaps.
    pub entries: Vec<Record>,
    /// The current term and the vote in it.
    pub vote: Vote,
}

impl Log {
    /// Opens the log in a directory, creating both if necessary. Removes a torn tail.
    ///
    /// # Errors
    ///
    /// Fails if synced data is corrupted or missing, or if another process has locked the
    /// directory.
    pub fn open(dir: impl AsRef<Path>) -> Result<Recovered> {
        Self::open_with(dir, Options::default())
    }

    /// Opens the log with the given options.
    ///
    /// # Errors
    ///
    /// Same as for [`Log::open`].
    pub fn open_with(dir: impl AsRef<Path>, options: Options) -> Result<Recovered> {
        let dir = dir.as_ref().to_owned();
        fs::create_dir_all(&dir).context(IoSnafu { action: "create", path: &dir })?;
        let lock = lock(&dir)?;
        for name in file::list_with_suffix(&dir, ".tmp")? {
            file::remove_file(&dir.join(name))?;
        }
        let snapshot = snapshot::load(&dir)?;
        let scan = recover::scan(&dir, snapshot.as_ref())?;
        let (active, sequence) = match scan.tail {
            Some(tail) => (
                ActiveSegment::open(tail.path, tail.number, tail.length, tail.last_index)?,
                scan.next_sequence,
            ),
            None => {
                let sequence = scan.next_sequence;
                let active = ActiveSegment::create(
                    &dir,
                    scan.next_number,
                    sequence,
                    &scan.vote,
                    options.sync,
                )?;
                (active, sequence + 1)
            }
        };
        let mut log = Self {
            dir,
            options,
            sealed: scan.sealed,
            active,
            frame: FrameBuilder::default(),
            next_sequence: sequence,
            next_index: scan.next_index,
            buffered_index: 0,
            vote: scan.vote.clone(),
            snapshot_index: snapshot.as_ref().map_or(0, |snapshot| snapshot.index),
            failed: false,
            _lock: lock,
        };
        // After a crash of the process, the data read may exist only in the page cache. This sync
        // makes it durable before it is used.
        log.frame.push(&Item::Opened)?;
        if scan.entries.is_empty() {
            // Records that the snapshot covers may conflict with it and must not be recovered
            // again.
            log.frame.push(&Item::RestartAt(log.next_index))?;
        }
        log.sync()?;
        file::sync_dir(&log.dir, options.sync)?;
        Ok(Recovered { log, snapshot, entries: scan.entries, vote: scan.vote })
    }

    /// Appends records. They are durable after [`Log::sync`].
    ///
    /// # Errors
    ///
    /// Fails if a record index does not continue the log, or if the log has failed before.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        self.check_usable()?;
        for record in records {
            if record.index != self.next_index {
                return Err(Error::OutOfOrder { index: record.index, expected: self.next_index });
            }
            self.frame.push(&Item::Record(record.clone()))?;
            self.buffered_index = self.buffered_index.max(record.index);
            self.next_index += 1;
        }
        Ok(())
    }

    /// Discards the records from the index on. The next record has this index. Durable after
    /// [`Log::sync`].
    ///
    /// # Errors
    ///
    /// Fails if the log has failed before, if the index leaves a gap after the log and the latest
    /// snapshot, or if that snapshot covers the index.
    pub fn truncate_from(&mut self, index: u64) -> Result<()> {
        self.check_usable()?;
        let limit = self.next_index.max(self.snapshot_index + 1);
        if limit < index || index <= self.snapshot_index {
            return Err(Error::OutOfOrder { index, expected: limit });
        }
        let discards_all = index == self.snapshot_index + 1;
        let item = if discards_all { Item::RestartAt(index) } else { Item::TruncateFrom(index) };
        self.frame.push(&item)?;
        self.next_index = index;
        Ok(())
    }

    /// Saves the current term and the vote in it. Durable after [`Log::sync`].
    ///
    /// # Errors
    ///
    /// Fails if the log has failed before.
    pub fn save_vote(&mut self, term: u64, voted_for: Option<&str>) -> Result<()> {
        self.check_usable()?;
        self.vote = Vote { term, voted_for: voted_for.map(str::to_owned) };
        self.frame.push(&Item::Vote(self.vote.clone()))
    }

    /// Saves a snapshot durably. From now on, recovery accepts a log that lacks the records covered
    /// by the snapshot. If the log ends before the snapshot, the next record is the one after it.
    ///
    /// # Errors
    ///
    /// Fails if a file operation fails. The process must then terminate.
    pub fn save_snapshot(&mut self, index: u64, term: u64, bytes: &[u8]) -> Result<()> {
        self.check_usable()?;
        let saved = snapshot::save(&self.dir, index, term, bytes, self.options.sync);
        self.latch_failure(saved)?;
        self.snapshot_index = self.snapshot_index.max(index);
        if self.next_index <= index {
            self.truncate_from(index + 1)?;
        }
        Ok(())
    }

    /// Removes sealed segments whose records are all covered by a snapshot and not above the index,
    /// and all snapshots except the latest.
    ///
    /// # Errors
    ///
    /// Fails if a file operation fails. The process must then terminate.
    pub fn compact(&mut self, index: u64) -> Result<()> {
        self.check_usable()?;
        let index = index.min(self.snapshot_index);
        let is_covered = self.active.last_index <= index;
        if self.frame.is_empty() && is_covered && ROTATE_BYTES_MIN <= self.active.length {
            let rotated = self.rotate();
            self.latch_failure(rotated)?;
        }
        let covered = self.sealed.iter().take_while(|segment| segment.last_index <= index).count();
        let removed: Result<()> =
            self.sealed.drain(..covered).try_for_each(|segment| file::remove_file(&segment.path));
        let removed = removed
            .and_then(|()| snapshot::remove_old(&self.dir))
            .and_then(|()| file::sync_dir(&self.dir, self.options.sync));
        self.latch_failure(removed)
    }

    /// Makes all changes since the last call durable with one write and one sync.
    ///
    /// # Errors
    ///
    /// Fails if a file operation fails. The process must then terminate.
    pub fn sync(&mut self) -> Result<()> {
        self.check_usable()?;
        if self.frame.is_empty() {
            return Ok(());
        }
        let written = self.write_frame();
        self.latch_failure(written)
    }

    /// Returns the index of the next record.
    pub const fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Returns the total size of all segments, in bytes.
    pub fn size(&self) -> u64 {
        self.sealed.iter().map(|segment| segment.length).sum::<u64>() + self.active.length
    }

    fn write_frame(&mut self) -> Result<()> {
        if self.options.segment_bytes <= self.active.length {
            self.rotate()?;
        }
        let mut bytes = Vec::new();
        self.frame.finish(self.next_sequence, &mut bytes);
        self.active.write(&bytes, self.options.sync)?;
        self.active.last_index = self.active.last_index.max(self.buffered_index);
        self.buffered_index = 0;
        self.next_sequence += 1;
        Ok(())
    }

    fn rotate(&mut self) -> Result<()> {
        let number = self.active.number + 1;
        let sync = self.options.sync;
        let next = ActiveSegment::create(&self.dir, number, self.next_sequence, &self.vote, sync)?;
        self.next_sequence += 1;
        self.sealed.push(std::mem::replace(&mut self.active, next).seal());
        Ok(())
    }

    fn check_usable(&self) -> Result<()> {
        if self.failed { Err(Error::Failed) } else { Ok(()) }
    }

    fn latch_failure(&mut self, result: Result<()>) -> Result<()> {
        self.failed |= result.is_err();
        result
    }
}

fn lock(dir: &Path) -> Result<File> {
    let path = dir.join(LOCK_FILE_NAME);
    let file = File::create(&path).context(IoSnafu { action: "create", path: &path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => Err(Error::InUse { path: dir.to_owned() }),
        Err(fs::TryLockError::Error(source)) => Err(Error::Io { action: "lock", path, source }),
    }
}
