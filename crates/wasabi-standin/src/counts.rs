//! Counters of the requests that a stand-in ran. Tests use them to check that a request runs at
//! most once, and that an endpoint gets no new requests.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use serde::{Deserialize, Serialize};

/// A snapshot of the counters.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were received completely.
    pub requests: u64,
    /// Responses that were sent completely.
    pub finished: u64,
    /// Streams that were aborted before their end.
    pub dropped: u64,
    /// Sent tokens.
    pub tokens: u64,
    /// Runs by idempotency key, or by a hash of the body for requests without a key.
    pub runs: BTreeMap<String, u64>,
    /// Runs by attempt id.
    pub attempts: BTreeMap<String, u64>,
    /// Streams that were resumed from an offset.
    pub resumed: u64,
    /// Accepted orders.
    pub orders: u64,
    /// Orders refused because of an outdated fencing token.
    pub orders_refused: u64,
    /// Highest fencing token received.
    pub fence: u64,
}

/// The counters of a running stand-in.
#[derive(Debug, Default)]
pub struct Counters {
    counts: Mutex<Counts>,
}

impl Counters {
    /// Returns a copy of the current counts.
    pub fn snapshot(&self) -> Counts {
        self.lock().clone()
    }

    /// Updates the counts.
    pub fn record(&self, update: impl FnOnce(&mut Counts)) {
        update(&mut self.lock());
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
