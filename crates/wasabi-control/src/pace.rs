//! When a changed view of the entries is proposed.

use wasabi_protocol::{
    clock::Millis,
    command::{Duty, Entry, View},
};

/// Time between two views, in milliseconds. Each view is sent to every entry, so that hosts that
/// restart one after the other share one.
const EVERY: Millis = Millis(500);

/// Spaces the views that a leader proposes.
#[derive(Debug, Default)]
pub struct Views {
    last: Option<Millis>,
}

impl Views {
    /// Returns whether the entries that should be in the view may be proposed now. A change after a
    /// calm time, and an entry that takes no more requests, do not wait.
    pub fn is_due(&self, now: Millis, view: &View, next: &[Entry]) -> bool {
        self.last.is_none_or(|last| EVERY <= now.since(last)) || drains(view, next)
    }

    /// Notes that a view was proposed.
    pub const fn proposed(&mut self, now: Millis) {
        self.last = Some(now);
    }
}

/// Returns whether an entry that serves in the view drains in the next one.
fn drains(view: &View, next: &[Entry]) -> bool {
    let serves = |entry: &Entry| {
        let mut known = view.entries.iter().filter(|known| known.name == entry.name);
        known.any(|known| known.duty == Duty::Serving)
    };
    next.iter().filter(|entry| entry.duty == Duty::Draining).any(serves)
}
