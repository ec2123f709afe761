//! The parts to which answers have begun.

use std::collections::HashMap;

use wasabi_protocol::{clock::Millis, fingerprint::Part, rpc::Answered};

/// Time for which an answer speaks for the parts of its prompt.
const ANSWER_RETENTION: Millis = Millis::from_secs(60);

/// Maximum number of parts to which answers have begun that are remembered.
pub const ANSWERED_MAX: usize = 4_096;

/// The parts to which answers have begun, with the time of the last one.
#[derive(Debug, Clone, Default)]
pub struct Answers {
    last: HashMap<Part, Millis>,
}

impl Answers {
    /// Records that an answer to these parts began.
    pub fn record(&mut self, began: Millis, parts: &[Part]) {
        for part in parts {
            let last = self.last.entry(*part).or_insert(began);
            *last = began.max(*last);
        }
        if ANSWERED_MAX < self.last.len() {
            self.evict();
        }
    }

    /// Returns which of these parts answers began to, with the time since.
    pub fn of(&self, now: Millis, parts: &[Part]) -> Vec<Answered> {
        let last = |part: &Part| self.last(now, *part).map(|at| (*part, at));
        let known = parts.iter().filter_map(last);
        known.map(|(part, at)| Answered { part, age: now.since(at) }).collect()
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// Returns whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }

    /// Returns when the last answer to a part began, unless that is too long ago.
    pub(super) fn last(&self, now: Millis, part: Part) -> Option<Millis> {
        self.last.get(&part).copied().filter(|at| now.since(*at) < ANSWER_RETENTION)
    }

    /// Forgets the older half, so that parts in steady use stay.
    fn evict(&mut self) {
        let mut times: Vec<_> = self.last.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.last.retain(|_, at| median < *at);
    }
}
