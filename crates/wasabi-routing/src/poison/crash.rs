//! Crashes of endpoints whose cause may be a part.

use wasabi_protocol::{
    clock::Millis,
    fingerprint::Part,
    id,
    rpc::{Crash, Suspected},
};

/// Time for which a crash counts.
pub(super) const CRASH_RETENTION: Millis = Millis::from_secs(60);

/// Time after the last of their crashes for which parts that can't be told apart are isolated.
pub(super) const ISOLATION_TIME: Millis = Millis::from_secs(5);

/// Maximum number of crashes that are remembered.
pub const CRASHES_MAX: usize = 64;

/// Maximum number of suspected parts of one crash.
const SUSPECTED_MAX: usize = 64;

/// A crash of an endpoint whose cause may be a part.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) endpoint: id::Endpoint,
    pub(super) incarnation: u64,
    pub(super) at: Millis,
    /// The parts of the requests to which no answer had begun.
    pub(super) suspected: Vec<Suspected>,
}

impl Record {
    /// Returns whether the crash still counts.
    pub(super) fn is_recent(&self, now: Millis) -> bool {
        now.since(self.at) < CRASH_RETENTION
    }

    /// Returns whether a part was in one of the requests.
    pub(super) fn suspects(&self, part: Part) -> bool {
        self.suspected.iter().any(|suspected| suspected.part == part)
    }

    /// Adds a suspected part unless it is known, and returns whether it was added.
    pub(super) fn add(&mut self, suspected: Suspected) -> bool {
        let is_new = self.suspected.len() < SUSPECTED_MAX && !self.suspected.contains(&suspected);
        if is_new {
            self.suspected.push(suspected);
        }
        is_new
    }

    /// Returns the report of the crash to peers.
    pub(super) fn report(&self, now: Millis) -> Crash {
        Crash {
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            age: now.since(self.at),
            suspected: self.suspected.clone(),
        }
    }
}
