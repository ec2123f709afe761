//! At-most-once records of requests with idempotency keys.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use wasabi_protocol::{
    clock::Millis,
    command::{KEPT_BODY_BYTES_MAX, KEY_CLOCK_SKEW_MAX, KEY_RETENTION, Kept, Key, Outcome},
    contract::Problem,
    id,
};

/// Longest idempotency key, in bytes.
pub const KEY_BYTES_MAX: usize = 256;

/// Upper bound of the bytes accounted to records. New records that would exceed it are refused, and
/// answers that would exceed it are kept without their body.
pub const RECORD_STORE_BYTES_MAX: usize = 128 * 1024 * 1024;

/// Time for which a released attempt is remembered.
///
/// A request to record can arrive after the release if it was sent on a slow connection. If the
/// release were forgotten, it would create a record that is never released.
pub const RELEASE_RETENTION: Millis = Millis::from_secs(60);

/// Bytes accounted to a record in addition to its texts: the record, its key, its map entry and its
/// two queue entries. A finished record with 256 bytes of texts takes 818 bytes
/// (`docs/measurements/control.md`).
const RECORD_BASE_BYTES: usize = 576;

/// Most records that one command expires, so that no command takes long.
const EXPIRE_BATCH_MAX: usize = 10_000;

/// A request to record a dispatch.
pub(crate) struct Request<'a> {
    pub(crate) key: &'a Key,
    pub(crate) created: Option<Millis>,
    pub(crate) body: u128,
    pub(crate) attempt: id::Attempt,
    pub(crate) entry: &'a id::Entry,
}

/// Store of at-most-once records.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecordStore {
    by_key: BTreeMap<Key, Record>,
    /// Changes of records, ordered by time. An entry is stale if its record changed later.
    changes: VecDeque<(Millis, Key)>,
    /// Released attempts and their times.
    released: BTreeMap<id::Attempt, Millis>,
    /// Released attempts, ordered by time.
    released_order: VecDeque<(Millis, id::Attempt)>,
    /// Bytes accounted to all records.
    bytes: usize,
}

/// The record of one key.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Record {
    changed: Millis,
    body: u128,
    attempt: id::Attempt,
    entry: id::Entry,
    kept: Option<Kept>,
}

impl RecordStore {
    /// Records a dispatch if the key has no record. Otherwise answers from the record.
    pub(crate) fn record(&mut self, request: &Request<'_>, now: Millis) -> Outcome {
        self.expire_released(now);
        if let Some(record) = self.by_key.get(request.key) {
            return record.answer(request);
        }
        if self.released.contains_key(&request.attempt) {
            return Outcome::NoRecord;
        }
        if let Some(created) = request.created {
            if now + KEY_CLOCK_SKEW_MAX < created {
                return refused("created", "must not be more than 5 min in the future");
            }
            if KEY_RETENTION.since(KEY_CLOCK_SKEW_MAX) < now.since(created) {
                return Outcome::KeyExpired;
            }
        }
        if KEY_BYTES_MAX < request.key.key.as_str().len() {
            return refused("key", "must be at most 256 bytes long");
        }
        let record = Record {
            changed: now,
            body: request.body,
            attempt: request.attempt,
            entry: request.entry.clone(),
            kept: None,
        };
        let bytes = record.bytes(request.key);
        if RECORD_STORE_BYTES_MAX < self.bytes + bytes {
            return refused("key", "no room for another record until older ones expire");
        }
        self.bytes += bytes;
        self.changes.push_back((now, request.key.clone()));
        self.by_key.insert(request.key.clone(), record);
        Outcome::Recorded
    }

    /// Removes the record of an attempt that was not sent and will not be.
    pub(crate) fn release(&mut self, key: &Key, attempt: id::Attempt, now: Millis) -> Outcome {
        self.expire_released(now);
        if self.released.insert(attempt, now).is_none() {
            self.released_order.push_back((now, attempt));
        }
        let is_unfinished = self
            .by_key
            .get(key)
            .is_some_and(|record| record.attempt == attempt && record.kept.is_none());
        if !is_unfinished {
            return Outcome::NoRecord;
        }
        self.remove(key);
        Outcome::Done
    }

    /// Stores the outcome of an attempt. Later outcomes are ignored.
    pub(crate) fn finish(
        &mut self,
        key: &Key,
        attempt: id::Attempt,
        kept: &Kept,
        now: Millis,
    ) -> Outcome {
        let available = RECORD_STORE_BYTES_MAX.saturating_sub(self.bytes);
        let Some(record) = self.by_key.get_mut(key).filter(|record| record.attempt == attempt)
        else {
            return Outcome::NoRecord;
        };
        if record.kept.is_some() {
            return Outcome::Done;
        }
        let mut kept = kept.clone();
        kept.body = kept.body.filter(|body| body.len() <= KEPT_BODY_BYTES_MAX.min(available));
        self.bytes += kept_bytes(&kept);
        record.kept = Some(kept);
        record.changed = now;
        self.changes.push_back((now, key.clone()));
        Outcome::Done
    }

    /// Removes expired records, at most [`EXPIRE_BATCH_MAX`] changes per call.
    pub(crate) fn expire(&mut self, now: Millis) -> Outcome {
        self.expire_released(now);
        for _ in 0..EXPIRE_BATCH_MAX {
            let Some((changed, key)) = self.changes.front() else { break };
            if now.since(*changed) < KEY_RETENTION {
                break;
            }
            let is_last_change =
                self.by_key.get(key).is_some_and(|record| record.changed == *changed);
            let Some((_, key)) = self.changes.pop_front() else { break };
            if is_last_change {
                self.remove(&key);
            }
        }
        Outcome::Done
    }

    pub(crate) fn next_expiry(&self) -> Option<Millis> {
        self.changes.front().map(|(changed, _)| *changed + KEY_RETENTION)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn snapshot_view(&self) -> SnapshotView<'_> {
        SnapshotView { by_key: &self.by_key, released: &self.released_order }
    }

    pub(crate) fn from_snapshot(
        by_key: BTreeMap<Key, Record>,
        released_order: VecDeque<(Millis, id::Attempt)>,
    ) -> Self {
        let mut changes: Vec<_> =
            by_key.iter().map(|(key, record)| (record.changed, key.clone())).collect();
        changes.sort();
        Self {
            bytes: by_key.iter().map(|(key, record)| record.bytes(key)).sum(),
            changes: changes.into(),
            released: released_order.iter().map(|(at, attempt)| (*attempt, *at)).collect(),
            released_order,
            by_key,
        }
    }

    fn remove(&mut self, key: &Key) {
        if let Some(record) = self.by_key.remove(key) {
            self.bytes -= record.bytes(key);
        }
    }

    fn expire_released(&mut self, now: Millis) {
        while let Some((at, attempt)) = self.released_order.front() {
            if now.since(*at) < RELEASE_RETENTION {
                return;
            }
            self.released.remove(attempt);
            self.released_order.pop_front();
        }
    }
}

/// The records as written to a snapshot.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct SnapshotView<'a> {
    by_key: &'a BTreeMap<Key, Record>,
    released: &'a VecDeque<(Millis, id::Attempt)>,
}

impl Record {
    fn answer(&self, request: &Request<'_>) -> Outcome {
        if self.body != request.body {
            return Outcome::KeyReused;
        }
        match &self.kept {
            Some(kept) => Outcome::Finished(kept.clone()),
            // The same attempt retries after a lost answer.
            None if self.attempt == request.attempt => Outcome::Recorded,
            None => Outcome::Pending { attempt: self.attempt, entry: self.entry.clone() },
        }
    }

    fn bytes(&self, key: &Key) -> usize {
        let text_bytes =
            key.key.as_str().len() + key.organisation.as_str().len() + self.entry.as_str().len();
        RECORD_BASE_BYTES + text_bytes + self.kept.as_ref().map_or(0, kept_bytes)
    }
}

fn kept_bytes(kept: &Kept) -> usize {
    kept.content_type.len() + kept.body.as_ref().map_or(0, String::len)
}

fn refused(field: &str, message: &str) -> Outcome {
    Outcome::Refused {
        problems: vec![Problem { field: field.to_owned(), message: message.to_owned() }],
    }
}
