//! The owner of an organisation's budget, which lends slices of it to pool owners.
//!
//! What is lent in a span `w` is at most the limit times `w` plus one slice: the purse fills at the
//! rate of the limit, holds at most one slice, and is empty when a lender starts. Tokens of a limit
//! with a burst are counted in its sliding window instead; a new lender learns from the borrowers
//! what they started in it.

use std::collections::HashMap;

use wasabi_protocol::{
    clock::Millis,
    contract::{Burst, Limits},
    id,
    rpc::{Slice, Usage},
};

use crate::{
    limit::{SLICE, overdraft, window_tokens},
    window::Window,
};

/// Time after which a pool that did not ask is forgotten, in milliseconds.
///
/// Accounts in use ask at least once a second; the rest allows for one lost ask.
pub const FORGET: Millis = Millis(2_500);

/// The budgets that one entry owns.
#[derive(Debug, Default)]
pub struct Lender {
    purses: HashMap<id::Organisation, Purse>,
}

#[derive(Debug)]
struct Purse {
    requests: f64,
    tokens: f64,
    filled: Millis,
    /// Tokens lent in the window of a limit with a burst, and the limit that they count against.
    lent: Window,
    window_limit: f64,
    /// The part of it that each pool got.
    lent_to: HashMap<id::Pool, Window>,
    borrowers: HashMap<id::Pool, Borrower>,
}

#[derive(Debug, Default)]
struct Borrower {
    asked: Millis,
    requests: f64,
    tokens: f64,
    running: u32,
    wanted: u32,
    allotted: u32,
}

impl Lender {
    /// Returns a lender that has lent nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next slice for a pool that asks.
    pub fn lend(
        &mut self,
        now: Millis,
        organisation: &id::Organisation,
        limits: &Limits,
        pool: &id::Pool,
        used: &Usage,
    ) -> Slice {
        let purse = self.purses.entry(organisation.clone()).or_insert_with(|| Purse {
            requests: 0.0,
            tokens: 0.0,
            filled: now,
            lent: Window::default(),
            window_limit: 0.0,
            lent_to: HashMap::new(),
            borrowers: HashMap::new(),
        });
        purse.fill(now, limits);
        purse.lend(now, limits, pool, used)
    }

    /// Forgets budgets of which nothing was asked for a while; called now and then.
    pub fn sweep(&mut self, now: Millis) {
        self.purses.retain(|_, purse| now.since(purse.filled) < FORGET);
    }
}

impl Purse {
    fn fill(&mut self, now: Millis, limits: &Limits) {
        let elapsed = now.since(self.filled).seconds();
        self.filled = self.filled.max(now);
        let (requests, tokens) = overdraft(limits);
        self.requests = (self.requests + f64::from(limits.requests_per_s) * elapsed).min(requests);
        self.tokens = (self.tokens + f64::from(limits.tokens_per_s) * elapsed).min(tokens);
        self.borrowers.retain(|_, borrower| now.since(borrower.asked) < FORGET);
        if let Some(burst) = &limits.burst {
            let most = window_tokens(limits, burst);
            self.lent.set_span(burst.window);
            // After a change the organisation has used the same part of the new limit as of the old
            // one. Counted in full, a lowered limit would refuse everything for a window.
            if 0.0 < self.window_limit && self.window_limit != most {
                self.lent.scale(most / self.window_limit);
            }
            self.window_limit = most;
            self.tokens = most - self.lent.sum(now);
        }
    }

    fn lend(&mut self, now: Millis, limits: &Limits, pool: &id::Pool, used: &Usage) -> Slice {
        if let Some(burst) = &limits.burst {
            self.learn(now, burst, pool, used);
        }
        let borrower = self.borrowers.entry(pool.clone()).or_default();
        borrower.asked = now;
        // What was used since the last ask is the best guess of what will be used until the next.
        borrower.requests = used.requests as f64 + f64::from(used.waiting) + 1.0;
        // An overdraft must be paid also when nothing was started since the last ask.
        let started = used.tokens.max(used.owed_tokens);
        borrower.tokens = started as f64 + used.waiting_tokens as f64 + 1.0;
        borrower.running = used.running;
        borrower.wanted = used.running + used.waiting + 1;
        let (wanted_requests, wanted_tokens) = (borrower.requests, borrower.tokens);

        let all_requests: f64 = self.borrowers.values().map(|other| other.requests).sum();
        let all_tokens: f64 = self.borrowers.values().map(|other| other.tokens).sum();
        let part =
            |held: f64, wanted: f64, all: f64| (held.max(0.0) * wanted / all).min(2.0 * wanted);
        let requests = part(self.requests, wanted_requests, all_requests);
        // Credit that is not used within its slice is lost, so no more is lent than is wanted.
        let tokens = part(self.tokens, wanted_tokens, all_tokens).min(wanted_tokens);
        self.requests -= requests;
        self.tokens -= tokens;
        if limits.burst.is_some() {
            self.lent.add(now, tokens);
            self.lent_to.entry(pool.clone()).or_default().add(now, tokens);
        }
        let concurrency = self.allot(limits.concurrency, pool);
        let headroom = match limits.burst {
            Some(_) => (self.tokens / self.window_limit.max(1.0)).clamp(0.0, 1.0),
            None => 1.0,
        };
        Slice { requests, tokens, concurrency, headroom, span: SLICE }
    }

    /// Counts what a pool started in the window without this lender: before it was the lender, or
    /// while the pool took another entry for it. Two entries that take turns as lenders, as they do
    /// when a link loses packets, would otherwise each lend the whole limit.
    fn learn(&mut self, now: Millis, burst: &Burst, pool: &id::Pool, used: &Usage) {
        let lent = self.lent_to.entry(pool.clone()).or_insert_with(|| Window::new(burst.window));
        lent.set_span(burst.window);
        let unknown = used.recent_tokens as f64 - used.owed_tokens as f64 - lent.sum(now);
        if 0.0 < unknown {
            lent.add_spread(now, unknown);
            self.lent.add_spread(now, unknown);
            self.tokens -= unknown;
        }
    }

    /// Allots concurrency: as much as is wanted while there is enough, and in proportion to what
    /// each pool wants otherwise. What other pools hold or run is never allotted twice.
    fn allot(&mut self, limit: u32, pool: &id::Pool) -> u32 {
        let others: u64 = self
            .borrowers
            .iter()
            .filter(|(name, _)| *name != pool)
            .map(|(_, other)| u64::from(other.allotted.max(other.running)))
            .sum();
        let wanted: u64 = self.borrowers.values().map(|other| u64::from(other.wanted)).sum();
        let borrowers = self.borrowers.len() as u64;
        let free = u64::from(limit).saturating_sub(others) as u32;
        let Some(borrower) = self.borrowers.get_mut(pool) else { return 0 };
        let fair = (u64::from(limit) * u64::from(borrower.wanted)).div_ceil(wanted.max(1)) as u32;
        let is_scarce = u64::from(limit) < wanted;
        let most = if is_scarce { fair.min(free) } else { free };
        // While there is enough, half of what nobody wants leaves room for a burst between two
        // asks. Twice what is wanted is too little after quiet traffic: each doubling takes an ask.
        let spare = u64::from(limit).saturating_sub(wanted) / (2 * borrowers);
        let generous =
            u64::from(borrower.wanted.saturating_mul(2)).max(u64::from(borrower.wanted) + spare);
        borrower.allotted = most.min(u32::try_from(generous).unwrap_or(u32::MAX));
        borrower.allotted
    }
}
