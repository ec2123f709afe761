//! The in-memory log of a node: the latest snapshot and the entries after it.

use crate::{Entry, Membership, Payload, Position, Snapshot};

/// The in-memory log.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Memberships by the index of the entry that set them, starting with that of the snapshot.
    memberships: Vec<(u64, Membership)>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let memberships = vec![(snapshot.last.index, snapshot.membership.clone())];
        let mut log = Self { snapshot, entries: Vec::with_capacity(entries.len()), memberships };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the position of the last entry that the snapshot covers.
    pub(crate) const fn base(&self) -> Position {
        self.snapshot.last
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.last().map_or(self.snapshot.last, Entry::position)
    }

    /// Returns the term of the entry at the index, or `None` if it is compacted or absent.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base().index {
            return Some(self.base().term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the first index of the run of entries with the same term that ends at `index`.
    pub(crate) fn first_of_term(&self, index: u64) -> u64 {
        let Some(term) = self.term_at(index) else { return index };
        let mut first = index;
        while self.base().index + 1 < first && self.term_at(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }

    /// Returns the entries from the index on, limited to `count` entries and `bytes` bytes, but at
    /// least one if any exists.
    pub(crate) fn range(&self, from: u64, count: usize, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        self.entries_from(from)
            .iter()
            .take(count)
            .enumerate()
            .take_while(|(position, entry)| {
                size += entry.size();
                *position == 0 || size <= bytes
            })
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Returns the entries from the index on.
    pub(crate) fn entries_from(&self, from: u64) -> &[Entry] {
        let skip = from.saturating_sub(self.base().index + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX).min(self.entries.len());
        &self.entries[skip..]
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Members(membership) = &entry.data {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push(entry);
    }

    pub(crate) fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base().index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.memberships.retain(|(at, _)| *at < index || *at == self.snapshot.last.index);
    }

    /// Returns the membership at the end of the log, whether committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        self.memberships.last().map_or(&self.snapshot.membership, |(_, members)| members)
    }

    /// Returns the index of the entry that set the current membership.
    pub(crate) fn membership_index(&self) -> u64 {
        self.memberships.last().map_or(self.snapshot.last.index, |(index, _)| *index)
    }

    /// Returns the membership in effect at the index.
    pub(crate) fn membership_at(&self, index: u64) -> &Membership {
        self.memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&self.snapshot.membership, |(_, members)| members)
    }

    /// Replaces the snapshot and discards the entries that it covers. Later entries are kept only
    /// if the log contains the last entry of the snapshot with the same term.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let rest = if self.term_at(snapshot.last.index) == Some(snapshot.last.term) {
            self.entries_from(snapshot.last.index + 1).to_vec()
        } else {
            Vec::new()
        };
        *self = Self::new(snapshot, rest);
    }

    fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base().index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }
}
