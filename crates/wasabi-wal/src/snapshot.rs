//! Snapshot files of the state machine.

use std::{fs, path::Path};

use bytes::Bytes;
use snafu::ResultExt;

use crate::{Error, Result, error::IoSnafu, file, log::SyncFn};

const MAGIC: &[u8; 8] = b"WASABIS1";

const SUFFIX: &str = ".snap";

const HEADER_BYTES: usize = 36;

/// The serialized state at a log position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The index of the last record that the snapshot covers.
    pub index: u64,
    /// The term of that record.
    pub term: u64,
    /// The serialized state.
    pub bytes: Bytes,
}

/// Writes a snapshot durably.
pub(crate) fn save(dir: &Path, index: u64, term: u64, bytes: &[u8], sync: SyncFn) -> Result<()> {
    let mut header = MAGIC.to_vec();
    for number in [index, term, bytes.len() as u64] {
        header.extend_from_slice(&number.to_le_bytes());
    }
    let crc = checksum(&header, bytes);
    header.extend_from_slice(&crc.to_le_bytes());
    file::write_atomically(dir, &name(index), &[&header, bytes], sync)
}

/// Reads the latest snapshot.
///
/// # Errors
///
/// Fails if the latest snapshot is corrupted. An older one cannot replace it because the records
/// between the two may have been removed.
pub(crate) fn load(dir: &Path) -> Result<Option<Snapshot>> {
    let Some(name) = file::list_with_suffix(dir, SUFFIX)?.pop() else { return Ok(None) };
    let path = dir.join(name);
    let content = fs::read(&path).context(IoSnafu { action: "read", path: &path })?;
    let Some(snapshot) = parse(content) else {
        let reason = "snapshot checksum or length mismatch";
        return Err(Error::Corrupted { path, offset: 0, reason });
    };
    Ok(Some(snapshot))
}

/// Removes all snapshots except the latest.
pub(crate) fn remove_old(dir: &Path) -> Result<()> {
    let mut names = file::list_with_suffix(dir, SUFFIX)?;
    names.pop();
    names.iter().try_for_each(|name| file::remove_file(&dir.join(name)))
}

fn name(index: u64) -> String {
    format!("{index:020}{SUFFIX}")
}

fn parse(content: Vec<u8>) -> Option<Snapshot> {
    let read_u64 = |at: usize| Some(u64::from_le_bytes(*content.get(at..)?.first_chunk()?));
    let (index, term, length) = (read_u64(8)?, read_u64(16)?, read_u64(24)?);
    let crc = u32::from_le_bytes(*content.get(32..)?.first_chunk()?);
    let bytes = content.get(HEADER_BYTES..)?;
    let is_valid = content.starts_with(MAGIC)
        && length == bytes.len() as u64
        && crc == checksum(&content[..32], bytes);
    let bytes = Bytes::from(content).slice(HEADER_BYTES..);
    is_valid.then_some(Snapshot { index, term, bytes })
}

fn checksum(header: &[u8], bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(bytes);
    hasher.finalize()
}
