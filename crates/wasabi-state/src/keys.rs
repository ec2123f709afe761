use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use wasabi_protocol::{
    clock::Millis,
    command::{KEPT_BODY_BYTES_MAX, KEY_CLOCK_ERROR, KEY_RETENTION, Kept, Key, Outcome},
    contract::Problem,
    id,
};

/// Longest idempotency key, in bytes.
pub const KEY_LENGTH_MAX: usize = 256;

/// Most bytes that are accounted to records. New records are refused beyond it, and answers that
/// do not fit are kept without their body.
pub const STORE_BYTES_MAX: usize = 128 * 1024 * 1024;

/// Time for which a released attempt is remembered, in milliseconds.
///
/// A request to record that travelled on a slow connection can arrive after the release; without
/// this memory it would create a record that nobody releases.
pub const RELEASED_KEPT: Millis = Millis::from_secs(60);

/// Bytes accounted to a record beside its texts: the record, its key, its place in the map and its
/// two places in the queue. A finished record was measured at 818 bytes with 256 bytes of texts
/// (`docs/measurements/control.md`).
const RECORD_BYTES: usize = 576;

/// Most records that one command removes, so that no command takes long.
const EXPIRE_BATCH: usize = 10_000;

/// A request to record a dispatch.
pub(crate) struct Request<'a> {
    pub(crate) key: &'a Key,
    pub(crate) created: Option<Millis>,
    pub(crate) body: u128,
    pub(crate) attempt: id::Attempt,
    pub(crate) entry: &'a id::Entry,
}

/// The at-most-once records.
#[derive(Debug, Clone, Default)]
pub(crate) struct Keys {
    by_key: BTreeMap<Key, Record>,
    /// Changes of records in the order of time; an entry is stale when its record changed later.
    changes: VecDeque<(Millis, Key)>,
    released: BTreeMap<id::Attempt, Millis>,
    released_order: VecDeque<(Millis, id::Attempt)>,
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

impl Keys {
    /// Records a dispatch when the key has no record, else answers from the record.
    pub(crate) fn record(&mut self, request: &Request<'_>, now: Millis) -> Outcome {
        self.forget_released(now);
        if let Some(record) = self.by_key.get(request.key) {
            return record.answer(request);
        }
        if self.released.contains_key(&request.attempt) {
            return Outcome::NoRecord;
        }
        if let Some(created) = request.created {
            if now + KEY_CLOCK_ERROR < created {
                return refused("created", "must not be more than 5 min in the future");
            }
            if KEY_RETENTION.since(KEY_CLOCK_ERROR) < now.since(created) {
                return Outcome::KeyExpired;
            }
        }
        if KEY_LENGTH_MAX < request.key.key.as_str().len() {
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
        if STORE_BYTES_MAX < self.bytes + bytes {
            return refused("key", "no room for another record until older ones expire");
        }
        self.bytes += bytes;
        self.changes.push_back((now, request.key.clone()));
        self.by_key.insert(request.key.clone(), record);
        Outcome::Recorded
    }

    /// Removes the record of an attempt that was not and will not be sent.
    pub(crate) fn release(&mut self, key: &Key, attempt: id::Attempt, now: Millis) -> Outcome {
        self.forget_released(now);
        if self.released.insert(attempt, now).is_none() {
            self.released_order.push_back((now, attempt));
        }
        let is_open = self
            .by_key
            .get(key)
            .is_some_and(|record| record.attempt == attempt && record.kept.is_none());
        if !is_open {
            return Outcome::NoRecord;
        }
        self.remove(key);
        Outcome::Done
    }

    /// Keeps the outcome of an attempt; the first outcome stays.
    pub(crate) fn finish(
        &mut self,
        key: &Key,
        attempt: id::Attempt,
        kept: &Kept,
        now: Millis,
    ) -> Outcome {
        let room = STORE_BYTES_MAX.saturating_sub(self.bytes);
        let Some(record) = self.by_key.get_mut(key).filter(|record| record.attempt == attempt)
        else {
            return Outcome::NoRecord;
        };
        if record.kept.is_some() {
            return Outcome::Done;
        }
        let mut kept = kept.clone();
        kept.body = kept.body.filter(|body| body.len() <= KEPT_BODY_BYTES_MAX.min(room));
        self.bytes += kept_bytes(&kept);
        record.kept = Some(kept);
        record.changed = now;
        self.changes.push_back((now, key.clone()));
        Outcome::Done
    }

    /// Removes records past their retention, at most [`EXPIRE_BATCH`] at a time.
    pub(crate) fn expire(&mut self, now: Millis) -> Outcome {
        self.forget_released(now);
        for _ in 0..EXPIRE_BATCH {
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

    pub(crate) fn image(&self) -> Image<'_> {
        Image { by_key: &self.by_key, released: &self.released_order }
    }

    pub(crate) fn from_image(
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

    fn forget_released(&mut self, now: Millis) {
        while let Some((at, attempt)) = self.released_order.front() {
            if now.since(*at) < RELEASED_KEPT {
                return;
            }
            self.released.remove(attempt);
            self.released_order.pop_front();
        }
    }
}

/// The part of the records that a snapshot holds.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Image<'a> {
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
            // The same attempt asks again after a lost answer.
            None if self.attempt == request.attempt => Outcome::Recorded,
            None => Outcome::Pending { attempt: self.attempt, entry: self.entry.clone() },
        }
    }

    fn bytes(&self, key: &Key) -> usize {
        let texts =
            key.key.as_str().len() + key.organisation.as_str().len() + self.entry.as_str().len();
        RECORD_BYTES + texts + self.kept.as_ref().map_or(0, kept_bytes)
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
