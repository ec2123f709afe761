//! The log that is written to.

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
    frame::{Builder, Item},
    recover,
    segment::{Sealed, Segment},
    snapshot,
};

/// Makes a file or folder durable.
pub type SyncFn = fn(&File) -> io::Result<()>;

/// Shortest active segment that a compaction replaces when a snapshot covers all of it, in bytes.
/// A shorter one is not worth the two syncs of a new file.
const ROTATE_BYTES_MIN: u64 = 64 * 1_024;

const LOCK_NAME: &str = "lock";

/// Settings of a log.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Length from which a segment is followed by a new one, in bytes.
    pub segment_bytes: u64,
    /// How data is synced. Another function than the default is for tests.
    pub sync: SyncFn,
}

impl Default for Options {
    /// Returns segments of 4 MiB, so that a compacted log stays under about twice that.
    fn default() -> Self {
        Self { segment_bytes: 4 * 1_024 * 1_024, sync: File::sync_data }
    }
}

/// A log in a folder that this process has locked.
#[derive(Debug)]
pub struct Log {
    dir: PathBuf,
    options: Options,
    sealed: Vec<Sealed>,
    active: Segment,
    frame: Builder,
    /// Sequence number of the next frame.
    sequence: u64,
    /// Index of the next record.
    next: u64,
    /// Highest index in the frame under construction.
    buffered_index: u64,
    vote: Vote,
    snapshot_index: u64,
    failed: bool,
    _lock: File,
}

/// What a folder held, and the log that goes on from there.
#[derive(Debug)]
pub struct Recovered {
    /// The log.
    pub log: Log,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The records after the snapshot, in order and without gaps.
    pub entries: Vec<Record>,
    /// The highest term joined and the vote in it.
    pub vote: Vote,
}

impl Log {
    /// Opens the log in a folder, and creates both if need be. Cuts a torn tail.
    ///
    /// # Errors
    ///
    /// Fails when synced data is damaged or missing, or when another process uses the folder.
    pub fn open(dir: impl AsRef<Path>) -> Result<Recovered> {
        Self::open_with(dir, Options::default())
    }

    /// Opens the log with the given settings.
    ///
    /// # Errors
    ///
    /// As for [`Log::open`].
    pub fn open_with(dir: impl AsRef<Path>, options: Options) -> Result<Recovered> {
        let dir = dir.as_ref().to_owned();
        fs::create_dir_all(&dir).context(IoSnafu { action: "create", path: &dir })?;
        let lock = lock(&dir)?;
        for name in file::names(&dir, ".tmp")? {
            file::remove(&dir.join(name))?;
        }
        let snapshot = snapshot::load(&dir)?;
        let scan = recover::scan(&dir, snapshot.as_ref())?;
        let (active, sequence) = match scan.tail {
            Some(tail) => (
                Segment::open(tail.path, tail.number, tail.length, tail.last_index)?,
                scan.sequence,
            ),
            None => {
                let sequence = scan.sequence;
                let active =
                    Segment::create(&dir, scan.number, sequence, &scan.vote, options.sync)?;
                (active, sequence + 1)
            }
        };
        let mut log = Self {
            dir,
            options,
            sealed: scan.sealed,
            active,
            frame: Builder::default(),
            sequence,
            next: scan.next,
            buffered_index: 0,
            vote: scan.vote.clone(),
            snapshot_index: snapshot.as_ref().map_or(0, |snapshot| snapshot.index),
            failed: false,
            _lock: lock,
        };
        // What was read may only be in the page cache after a crash of the process; this sync makes
        // it durable before anyone relies on it.
        log.frame.push(&Item::Opened)?;
        if scan.entries.is_empty() {
            // Records that the snapshot covers may contradict it; they must not be read again.
            log.frame.push(&Item::RestartAt(log.next))?;
        }
        log.sync()?;
        file::sync_dir(&log.dir, options.sync)?;
        Ok(Recovered { log, snapshot, entries: scan.entries, vote: scan.vote })
    }

    /// Adds records. They count after [`Log::sync`].
    ///
    /// # Errors
    ///
    /// Fails when a record does not follow the last one.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        self.check()?;
        for record in records {
            if record.index != self.next {
                return Err(Error::OutOfOrder { index: record.index, expected: self.next });
            }
            self.frame.push(&Item::Record(record.clone()))?;
            self.buffered_index = self.buffered_index.max(record.index);
            self.next += 1;
        }
        Ok(())
    }

    /// Voids the records from the index on; the next record has this index. Counts after
    /// [`Log::sync`].
    ///
    /// # Errors
    ///
    /// Fails when the log has failed before, or when the index leaves a gap after the log and the
    /// newest snapshot.
    pub fn truncate_from(&mut self, index: u64) -> Result<()> {
        self.check()?;
        let most = self.next.max(self.snapshot_index + 1);
        if most < index || index <= self.snapshot_index {
            return Err(Error::OutOfOrder { index, expected: most });
        }
        let nothing_left = index == self.snapshot_index + 1;
        let item = if nothing_left { Item::RestartAt(index) } else { Item::TruncateFrom(index) };
        self.frame.push(&item)?;
        self.next = index;
        Ok(())
    }

    /// Saves the highest term joined and the vote in it. Counts after [`Log::sync`].
    ///
    /// # Errors
    ///
    /// Fails when the log has failed before.
    pub fn save_vote(&mut self, term: u64, voted_for: Option<&str>) -> Result<()> {
        self.check()?;
        self.vote = Vote { term, voted_for: voted_for.map(str::to_owned) };
        self.frame.push(&Item::Vote(self.vote.clone()))
    }

    /// Saves a snapshot; it is durable on return. Records that it covers may be missing from now
    /// on, and when the log ends before it, the next record is the one after it.
    ///
    /// # Errors
    ///
    /// Fails when the disk does; the process must then end.
    pub fn save_snapshot(&mut self, index: u64, term: u64, bytes: &[u8]) -> Result<()> {
        self.check()?;
        let saved = snapshot::save(&self.dir, index, term, bytes, self.options.sync);
        self.note(saved)?;
        self.snapshot_index = self.snapshot_index.max(index);
        if self.next <= index {
            self.truncate_from(index + 1)?;
        }
        Ok(())
    }

    /// Removes full segments whose records are all at or below the index and covered by a
    /// snapshot, and older snapshots.
    ///
    /// # Errors
    ///
    /// Fails when the disk does; the process must then end.
    pub fn compact(&mut self, index: u64) -> Result<()> {
        self.check()?;
        let index = index.min(self.snapshot_index);
        let is_covered = self.active.last_index <= index;
        if self.frame.is_empty() && is_covered && ROTATE_BYTES_MIN <= self.active.length {
            let rotated = self.rotate();
            self.note(rotated)?;
        }
        let covered = self.sealed.iter().take_while(|segment| segment.last_index <= index).count();
        let removed: Result<()> =
            self.sealed.drain(..covered).try_for_each(|segment| file::remove(&segment.path));
        let removed = removed
            .and_then(|()| snapshot::remove_old(&self.dir))
            .and_then(|()| file::sync_dir(&self.dir, self.options.sync));
        self.note(removed)
    }

    /// Makes durable, in one write and one sync, everything added since the last call.
    ///
    /// # Errors
    ///
    /// Fails when the disk does; the process must then end.
    pub fn sync(&mut self) -> Result<()> {
        self.check()?;
        if self.frame.is_empty() {
            return Ok(());
        }
        let written = self.write_frame();
        self.note(written)
    }

    /// Returns the index of the next record.
    pub const fn next_index(&self) -> u64 {
        self.next
    }

    /// Returns the length of all segments, in bytes.
    pub fn size(&self) -> u64 {
        self.sealed.iter().map(|segment| segment.length).sum::<u64>() + self.active.length
    }

    fn write_frame(&mut self) -> Result<()> {
        if self.options.segment_bytes <= self.active.length {
            self.rotate()?;
        }
        let mut bytes = Vec::new();
        self.frame.finish(self.sequence, &mut bytes);
        self.active.write(&bytes, self.options.sync)?;
        self.active.last_index = self.active.last_index.max(self.buffered_index);
        self.buffered_index = 0;
        self.sequence += 1;
        Ok(())
    }

    fn rotate(&mut self) -> Result<()> {
        let number = self.active.number + 1;
        let sync = self.options.sync;
        let next = Segment::create(&self.dir, number, self.sequence, &self.vote, sync)?;
        self.sequence += 1;
        self.sealed.push(std::mem::replace(&mut self.active, next).seal());
        Ok(())
    }

    fn check(&self) -> Result<()> {
        if self.failed { Err(Error::Failed) } else { Ok(()) }
    }

    fn note(&mut self, result: Result<()>) -> Result<()> {
        self.failed |= result.is_err();
        result
    }
}

fn lock(dir: &Path) -> Result<File> {
    let path = dir.join(LOCK_NAME);
    let file = File::create(&path).context(IoSnafu { action: "create", path: &path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => Err(Error::InUse { path: dir.to_owned() }),
        Err(fs::TryLockError::Error(source)) => Err(Error::Io { action: "lock", path, source }),
    }
}
