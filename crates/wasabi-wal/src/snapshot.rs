//! Snapshot files.

use std::{fs, path::Path};

use bytes::Bytes;
use snafu::ResultExt;

use crate::{Error, Result, error::IoSnafu, file, log::SyncFn};

const MAGIC: &[u8; 8] = b"WASABIS1";

const SUFFIX: &str = ".snap";

const HEADER_BYTES: usize = 36;

/// The state up to a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The index of the last record that it covers.
    pub index: u64,
    /// The term in which that record was accepted.
    pub term: u64,
    /// The state.
    pub bytes: Bytes,
}

/// Writes a snapshot; it is durable on return.
pub(crate) fn save(dir: &Path, index: u64, term: u64, bytes: &[u8], sync: SyncFn) -> Result<()> {
    let mut header = MAGIC.to_vec();
    for number in [index, term, bytes.len() as u64] {
        header.extend_from_slice(&number.to_le_bytes());
    }
    let crc = checksum(&header, bytes);
    header.extend_from_slice(&crc.to_le_bytes());
    file::replace(dir, &name(index), &[&header, bytes], sync)
}

/// Reads the newest snapshot.
///
/// # Errors
///
/// Fails when it is damaged: the records that it covers may be gone, so an older one is no
/// substitute.
pub(crate) fn load(dir: &Path) -> Result<Option<Snapshot>> {
    let Some(name) = file::names(dir, SUFFIX)?.pop() else { return Ok(None) };
    let path = dir.join(name);
    let content = fs::read(&path).context(IoSnafu { action: "read", path: &path })?;
    let Some(snapshot) = parse(content) else {
        let reason = "the snapshot's checksum or length is wrong";
        return Err(Error::Damaged { path, offset: 0, reason });
    };
    Ok(Some(snapshot))
}

/// Removes all snapshots but the newest.
pub(crate) fn remove_old(dir: &Path) -> Result<()> {
    let mut names = file::names(dir, SUFFIX)?;
    names.pop();
    names.iter().try_for_each(|name| file::remove(&dir.join(name)))
}

fn name(index: u64) -> String {
    format!("{index:020}{SUFFIX}")
}

fn parse(content: Vec<u8>) -> Option<Snapshot> {
    let number = |at: usize| Some(u64::from_le_bytes(*content.get(at..)?.first_chunk()?));
    let (index, term, length) = (number(8)?, number(16)?, number(24)?);
    let crc = u32::from_le_bytes(*content.get(32..)?.first_chunk()?);
    let bytes = content.get(HEADER_BYTES..)?;
    let intact = content.starts_with(MAGIC)
        && length == bytes.len() as u64
        && crc == checksum(&content[..32], bytes);
    let bytes = Bytes::from(content).slice(HEADER_BYTES..);
    intact.then_some(Snapshot { index, term, bytes })
}

fn checksum(header: &[u8], bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(bytes);
    hasher.finalize()
}
