//! The replicated log as the control thread uses it.

use std::collections::VecDeque;

use bytes::Bytes;
use wasabi_protocol::{clock::Millis, id};

/// What the log did.
#[derive(Debug)]
pub(crate) enum Effect {
    /// The proposal with this number has this index.
    Placed { request: u64, index: u64, term: u64 },
    /// An entry is committed.
    Apply { index: u64, term: u64, data: Bytes },
}

/// A group of one member without a disk.
#[derive(Debug, Default)]
pub(crate) struct Group {
    index: u64,
    effects: VecDeque<Effect>,
}

impl Group {
    /// Proposes an entry.
    pub(crate) fn propose(&mut self, _now: Millis, data: Bytes, request: u64) {
        self.index += 1;
        let (index, term) = (self.index, 1);
        self.effects.push_back(Effect::Placed { request, index, term });
        self.effects.push_back(Effect::Apply { index, term, data });
    }

    /// Returns the next thing that the log did.
    pub(crate) fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Returns whether the state may be read as the group's.
    pub(crate) fn can_read(&self, _now: Millis) -> bool {
        true
    }

    /// Returns the leader, when known.
    pub(crate) fn leader(&self) -> Option<&id::Member> {
        None
    }
}
