//! What the control leader's answers prove about the configuration in force here.

use std::collections::VecDeque;

use wasabi_protocol::{clock::Millis, id};

/// Most answers that wait for the revision that they named. Those of one serving span are fewer.
const WAITING_MAX: usize = 16;

/// The leader's answers whose revision this entry does not hold yet.
///
/// An answer that names a revision proves that nothing newer was acknowledged when its question was
/// sent. So an entry that holds that revision, then or later, serves what was in force at that time.
/// One that does not hold it proves nothing by being heard.
#[derive(Debug, Default)]
pub struct Confirmation {
    /// Whether a leader told this process what is in force.
    is_confirmed: bool,
    /// Revisions named, each with the time at which the question was sent, in this order.
    waiting: VecDeque<(id::Revision, Millis)>,
}

impl Confirmation {
    /// Returns whether this process ever held what a leader named.
    pub const fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Takes into account that a leader named a revision in the answer to a question sent at `sent`.
    /// Returns the time from which on this entry may serve, if it holds the revision.
    pub fn record_answer(
        &mut self,
        revision: id::Revision,
        sent: Millis,
        held: id::Revision,
    ) -> Option<Millis> {
        if self.waiting.len() == WAITING_MAX {
            self.waiting.pop_front();
        }
        self.waiting.push_back((revision, sent));
        self.record_held(held)
    }

    /// Takes into account that a revision is in force here. Returns the time from which on this entry
    /// may serve, if that has changed.
    pub fn record_held(&mut self, held: id::Revision) -> Option<Millis> {
        let proved = self.waiting.iter().filter(|(revision, _)| *revision <= held);
        let from = proved.map(|(_, sent)| *sent).max()?;
        self.waiting.retain(|(revision, _)| held < *revision);
        self.is_confirmed = true;
        Some(from)
    }
}
