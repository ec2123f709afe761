//! Tracks whether the control leader's answers confirm the configuration in force on this entry.

use std::collections::VecDeque;

use wasabi_protocol::{clock::Millis, id};

/// Maximum number of answers that wait for the revision that they named. Fewer arrive within one
/// serving period.
const PENDING_MAX: usize = 16;

/// The leader's answers whose revision this entry does not hold yet.
///
/// An answer that names a revision proves that nothing newer was acknowledged when its check-in was
/// sent. An entry that holds that revision, then or later, has the configuration that was in force at
/// that time. For an entry that does not hold it, the answer proves nothing.
#[derive(Debug, Default)]
pub struct Confirmation {
    /// Whether this process ever held a revision that a leader named.
    is_confirmed: bool,
    /// The named revisions with the times at which the check-ins were sent, in order of arrival.
    pending: VecDeque<(id::Revision, Millis)>,
}

impl Confirmation {
    /// Returns whether this process ever held a revision that a leader named.
    pub const fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Records the revision that a leader named in its answer to a check-in sent at `sent`. Returns
    /// the start of the serving time that this proves, if the entry holds the revision.
    pub fn record_answer(
        &mut self,
        revision: id::Revision,
        sent: Millis,
        held: id::Revision,
    ) -> Option<Millis> {
        if self.pending.len() == PENDING_MAX {
            self.pending.pop_front();
        }
        self.pending.push_back((revision, sent));
        self.record_held(held)
    }

    /// Records that a revision is in force on this entry. Returns the start of the serving time that
    /// this proves, if that has changed.
    pub fn record_held(&mut self, held: id::Revision) -> Option<Millis> {
        let proven = self.pending.iter().filter(|(revision, _)| *revision <= held);
        let from = proven.map(|(_, sent)| *sent).max()?;
        self.pending.retain(|(revision, _)| held < *revision);
        self.is_confirmed = true;
        Some(from)
    }
}
