//! Rate limit of entry views.

use wasabi_protocol::{
    clock::Millis,
    command::{Duty, Entry, View},
};

/// Time between two views. Each view is sent to every entry, so hosts that restart one after
/// another share a view.
const VIEW_INTERVAL: Millis = Millis(500);

/// Limits the rate of views that a leader proposes.
#[derive(Debug, Default)]
pub struct ViewPacer {
    last: Option<Millis>,
}

impl ViewPacer {
    /// Returns whether a changed view may be proposed now. The first change after a quiet period
    /// and the draining of an entry are not delayed.
    pub fn is_due(&self, now: Millis, view: &View, next: &[Entry]) -> bool {
        self.last.is_none_or(|last| VIEW_INTERVAL <= now.since(last)) || drains(view, next)
    }

    /// Records the proposal of a view.
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
