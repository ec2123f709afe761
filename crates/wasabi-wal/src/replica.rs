//! Storage of the persistent state of a consensus member.

use bytes::Bytes;
use wasabi_consensus::{Batch, Entry, Membership, Payload, PersistentState, Position};

use crate::{Error, Log, Record, Recovered, Result};

/// Stores a batch durably. Call it as `persist.store(|batch| replica::store(&mut log, batch))`.
///
/// # Errors
///
/// Fails if a file operation fails. The process must then terminate.
pub fn store(log: &mut Log, batch: &Batch) -> Result<()> {
    if let Some(vote) = &batch.vote {
        log.save_vote(vote.term, vote.voted_for.as_ref().map(|member| member.as_str()))?;
    }
    if let Some(snapshot) = &batch.snapshot {
        let content = (&snapshot.membership, &snapshot.data);
        let bytes = postcard::to_allocvec(&content).map_err(codec_error)?;
        log.save_snapshot(snapshot.last.index, snapshot.last.term, &bytes)?;
    }
    if let Some(index) = batch.truncate_from {
        log.truncate_from(index)?;
    }
    for entry in &batch.entries {
        let data = postcard::to_allocvec(&entry.data).map_err(codec_error)?;
        log.append(&[Record { index: entry.index, term: entry.term, data: data.into() }])?;
    }
    log.sync()?;
    match &batch.snapshot {
        Some(snapshot) => log.compact(snapshot.last.index),
        None => Ok(()),
    }
}

/// Stores the initial state of a member of a new group. Must be called before its node starts.
///
/// # Errors
///
/// Fails if a file operation fails. The process must then terminate.
pub fn bootstrap(log: &mut Log, restored: &PersistentState) -> Result<()> {
    let batch = Batch {
        vote: Some(restored.vote.clone()),
        snapshot: Some(restored.snapshot.clone()),
        truncate_from: None,
        entries: Vec::new(),
    };
    store(log, &batch)
}

/// Returns the log and the persistent state that a node starts from.
///
/// # Errors
///
/// Fails if the content cannot be decoded, for example after a change of the format.
pub fn restore(recovered: Recovered) -> Result<(Log, PersistentState)> {
    let Recovered { log, snapshot, entries, vote } = recovered;
    let mut restored = PersistentState::default();
    restored.vote.term = vote.term;
    restored.vote.voted_for = vote.voted_for.map(Into::into);
    if let Some(snapshot) = snapshot {
        restored.snapshot.last = Position { term: snapshot.term, index: snapshot.index };
        let content: (Membership, Bytes) =
            postcard::from_bytes(&snapshot.bytes).map_err(codec_error)?;
        (restored.snapshot.membership, restored.snapshot.data) = content;
    }
    let decode = |record: Record| {
        let data: Payload = postcard::from_bytes(&record.data).map_err(codec_error)?;
        Ok(Entry { term: record.term, index: record.index, data })
    };
    restored.entries = entries.into_iter().map(decode).collect::<Result<_>>()?;
    Ok((log, restored))
}

fn codec_error(error: postcard::Error) -> Error {
    Error::Codec { reason: error.to_string() }
}
