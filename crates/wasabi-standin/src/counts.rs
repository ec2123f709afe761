//! What a stand-in ran, for tests that check "at most once" and "no new work".

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use serde::{Deserialize, Serialize};

/// A snapshot of the counts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were received whole.
    pub requests: u64,
    /// Answers that were sent whole.
    pub finished: u64,
    /// Streams that were dropped before their end.
    pub dropped: u64,
    /// Tokens sent.
    pub tokens: u64,
    /// Runs by idempotency key, or by body where a request had none.
    pub runs: BTreeMap<String, u64>,
    /// Runs by attempt id.
    pub attempts: BTreeMap<String, u64>,
    /// Streams resumed from an offset.
    pub resumed: u64,
    /// Orders accepted.
    pub orders: u64,
    /// Orders refused for an old fencing token.
    pub orders_refused: u64,
    /// Highest fencing token seen.
    pub fence: u64,
}

/// The counts of a running stand-in.
#[derive(Debug, Default)]
pub struct Ledger {
    counts: Mutex<Counts>,
}

impl Ledger {
    /// Returns a copy of the counts.
    pub fn snapshot(&self) -> Counts {
        self.lock().clone()
    }

    /// Changes the counts.
    pub fn record(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.lock());
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
