//! The owner of an organisation's budget, which lends slices of it to pool owners.
//!
//! What is lent in a span `w` is at most the limit times `w` plus one slice: the purse fills at the
//! rate of the limit, holds at most one slice, and is empty when a lender starts. Tokens of a limit
//! with a burst are counted in its sliding window instead. A new lender learns what was lent in it
//! before from its predecessor's reports and from what the borrowers started; one whose process has
//! just started and that hears nothing assumes that a part of the limit was used.

use std::collections::{HashMap, hash_map::Entry};

use wasabi_protocol::{
    clock::Millis,
    contract::Limits,
    id,
    rpc::{Lent, Slice, Usage},
};

use crate::{
    limit::{SLICE_DURATION, requested_tokens, slice_amounts, window_tokens},
    report,
    window::Window,
};

/// Time after which a pool that did not ask is forgotten, in milliseconds.
///
/// Accounts in use ask at least once a second; the rest allows for one lost ask.
pub const BORROWER_TIMEOUT: Millis = Millis(2_500);

/// Time after which a report of another lender is dropped, in milliseconds.
const REPORT_KEPT: Millis = Millis::from_secs(30);

/// Longest time after its report for which a lender counts as going on, in milliseconds: two
/// heartbeats, by which its end is noticed.
const UNREPORTED_MOST: Millis = Millis(1_000);

/// Age at which a slice has either been used or ended, in milliseconds: its answer and the next ask
/// take up to a slice.
const SETTLED_AFTER: Millis = Millis(2 * SLICE_DURATION.0);

/// Part of a window that counts as lent before the process started when nobody reports it.
///
/// An organisation at its usual load leaves about half of its limit free, so that it is not held
/// back. The whole window would refuse most requests in the seconds after a loss of power.
const ASSUMED_PART: f64 = 0.5;

/// The budgets that one entry owns.
#[derive(Debug, Default)]
pub struct Lender {
    purses: HashMap<id::Organisation, Purse>,
    /// What other entries lent, by their last reports.
    reports: HashMap<id::Entry, Report>,
    /// When the process started, if what was lent before may be unknown.
    restarted: Option<Millis>,
}

#[derive(Debug)]
struct Report {
    at: Millis,
    lent: Vec<Lent>,
}

#[derive(Debug)]
struct Purse {
    requests: f64,
    tokens: f64,
    filled: Millis,
    /// The tokens that one window of a limit with a burst allows, and its length.
    window_limit: f64,
    span: Millis,
    /// When the process started, while what was lent before it is unknown.
    restarted: Option<Millis>,
    /// Tokens lent in the window to each pool, by its owner: while entries do not reach each other
    /// a pool may have two, and what one of them did not start the other may have.
    lent_to: HashMap<(id::Pool, id::Entry), Window>,
    borrowers: HashMap<id::Pool, Borrower>,
}

#[derive(Debug)]
struct Borrower {
    owner: id::Entry,
    asked: Millis,
    /// Time for which its account has counted, a window at most.
    counted: Millis,
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

    /// Returns a lender of a process that started at `now` and does not know what was lent before.
    pub fn restarted(now: Millis) -> Self {
        Self { restarted: Some(now), ..Self::default() }
    }

    /// Returns the next slice for the owner of a pool that asks.
    pub fn lend(
        &mut self,
        now: Millis,
        organisation: &id::Organisation,
        limits: &Limits,
        (pool, owner): (&id::Pool, &id::Entry),
        used: &Usage,
    ) -> Slice {
        let purse = match self.purses.entry(organisation.clone()) {
            Entry::Occupied(purse) if purse.get().is_asked(now) => purse.into_mut(),
            purse => {
                let purse = purse.or_insert_with(|| Purse::new(now, self.restarted));
                purse.recall(now, organisation, limits, self.reports.values());
                purse
            }
        };
        purse.fill(now, limits);
        purse.lend(now, limits, (pool, owner), used)
    }

    /// Returns what was lent in the windows of limits with a burst, for the entries that may lend
    /// next: at most [`report::REPORT_BYTES_MAX`] of it as JSON, the largest amounts first.
    pub fn report(&mut self, now: Millis) -> Vec<Lent> {
        let mut all = Vec::new();
        for (organisation, purse) in &mut self.purses {
            for ((pool, owner), lent) in &mut purse.lent_to {
                let tokens: Vec<_> = lent.by_age(now).iter().map(|sum| *sum as u64).collect();
                if tokens.iter().any(|tokens| 0 < *tokens) {
                    let (pool, owner) = (pool.clone(), owner.clone());
                    all.push(Lent { organisation: organisation.clone(), pool, owner, tokens });
                }
            }
        }
        report::bounded(all)
    }

    /// Takes over what another entry reports to have lent, for the case that this one follows it.
    ///
    /// A lender goes on for a moment after another one has begun, and its last report before that is
    /// old by up to a heartbeat, so that later ones count as well. What the present owner of a pool
    /// was lent is known better from what it says that it started. A budget of which nothing is asked
    /// here takes it over when it is asked of again: it would only tell its lender what it heard from it.
    pub fn record_report(&mut self, now: Millis, from: &id::Entry, lent: &[Lent]) {
        let asked = self.purses.iter_mut().filter(|(_, purse)| purse.is_asked(now));
        for (organisation, purse) in asked {
            for one in lent.iter().filter(|one| one.organisation == *organisation) {
                if !purse.knows(now, &one.pool, &one.owner) {
                    purse.restarted = None;
                    purse.inherit(now, purse.span, one);
                }
            }
        }
        self.reports.insert(from.clone(), Report { at: now, lent: lent.to_vec() });
    }

    /// Forgets budgets of which nothing was asked for a while; called now and then.
    pub fn expire(&mut self, now: Millis) {
        // What was lent counts until its window has passed, however long nothing is asked for.
        self.purses.retain(|_, purse| purse.is_asked(now) || 0.0 < purse.lent(now));
        self.reports.retain(|_, report| now.since(report.at) < REPORT_KEPT);
    }
}

impl Borrower {
    const fn new(owner: id::Entry) -> Self {
        Self {
            owner,
            asked: Millis::ZERO,
            counted: Millis::ZERO,
            requests: 0.0,
            tokens: 0.0,
            running: 0,
            wanted: 0,
            allotted: 0,
        }
    }
}

impl Purse {
    fn new(now: Millis, restarted: Option<Millis>) -> Self {
        Self {
            requests: 0.0,
            tokens: 0.0,
            filled: now,
            window_limit: 0.0,
            span: Millis::ZERO,
            restarted,
            lent_to: HashMap::new(),
            borrowers: HashMap::new(),
        }
    }

    /// Returns whether something was asked of it lately.
    fn is_asked(&self, now: Millis) -> bool {
        now.since(self.filled) < BORROWER_TIMEOUT
    }

    /// Counts what is known of other lenders.
    fn recall<'a>(
        &mut self,
        now: Millis,
        organisation: &id::Organisation,
        limits: &Limits,
        reports: impl Iterator<Item = &'a Report>,
    ) {
        let Some(burst) = &limits.burst else { return };
        for report in reports.filter(|report| now.since(report.at) < burst.window) {
            for one in report.lent.iter().filter(|one| one.organisation == *organisation) {
                self.restarted = None;
                self.inherit(report.at, burst.window, one);
                self.extrapolate(now, report.at, one);
            }
        }
    }

    /// Counts what another lender may have lent after its report: as much in a time as in the second
    /// before, or what has left the window since. It may be gone, so that no other report tells.
    fn extrapolate(&mut self, now: Millis, reported: Millis, report: &Lent) {
        let gap = now.since(reported).min(UNREPORTED_MOST);
        let last_second = report.tokens.first().copied().unwrap_or(0);
        let key = (report.pool.clone(), report.owner.clone());
        if let Some(lent) = self.lent_to.get_mut(&key) {
            let (then, left) = (lent.sum(reported), lent.sum(now.min(reported + gap)));
            lent.add(now, (last_second as f64 * gap.seconds()).max(then - left));
        }
    }

    fn fill(&mut self, now: Millis, limits: &Limits) {
        let elapsed = now.since(self.filled).seconds();
        self.filled = self.filled.max(now);
        let (requests, tokens) = slice_amounts(limits);
        self.requests = (self.requests + f64::from(limits.requests_per_s) * elapsed).min(requests);
        self.tokens = (self.tokens + f64::from(limits.tokens_per_s) * elapsed).min(tokens);
        self.borrowers.retain(|_, borrower| now.since(borrower.asked) < BORROWER_TIMEOUT);
        if let Some(burst) = &limits.burst {
            let most = window_tokens(limits, burst);
            // After a change the organisation has used the same part of the new limit as of the old
            // one. Counted in full, a lowered limit would refuse everything for a window.
            if 0.0 < self.window_limit && self.window_limit != most {
                for lent in self.lent_to.values_mut() {
                    lent.scale(most / self.window_limit);
                }
            }
            self.window_limit = most;
            self.span = burst.window;
            self.tokens = most - self.lent(now) - self.assumed(now);
        }
    }

    /// Returns what counts as lent before the process started: evenly over the window, of which less
    /// remains the longer the process runs.
    fn assumed(&self, now: Millis) -> f64 {
        let Some(restarted) = self.restarted else { return 0.0 };
        let remaining = self.span.since(now.since(restarted)).seconds() / self.span.seconds();
        ASSUMED_PART * self.window_limit * remaining.clamp(0.0, 1.0)
    }

    /// Returns what was lent in the window, and forgets the owners to whom nothing was.
    fn lent(&mut self, now: Millis) -> f64 {
        let mut sum = 0.0;
        self.lent_to.retain(|_, lent| {
            let lent = lent.sum(now);
            sum += lent;
            0.0 < lent
        });
        sum
    }

    fn lend(
        &mut self,
        now: Millis,
        limits: &Limits,
        (pool, owner): (&id::Pool, &id::Entry),
        used: &Usage,
    ) -> Slice {
        let lent_to = (pool.clone(), owner.clone());
        if let Some(burst) = &limits.burst {
            self.learn(now, burst.window, &lent_to, used);
            self.tokens = self.window_limit - self.lent(now) - self.assumed(now);
        }
        let borrower =
            self.borrowers.entry(pool.clone()).or_insert_with(|| Borrower::new(owner.clone()));
        borrower.owner.clone_from(owner);
        borrower.asked = now;
        borrower.counted = used.counted;
        // What was used since the last ask is the best guess of what will be used until the next.
        borrower.requests = used.requests as f64 + f64::from(used.waiting) + 1.0;
        borrower.tokens = requested_tokens(limits, used) + 1.0;
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
        if let Some(burst) = &limits.burst {
            let lent = self.lent_to.entry(lent_to).or_insert_with(|| Window::new(burst.window));
            lent.add(now, tokens);
        }
        let concurrency = self.allot(limits.concurrency, pool);
        let headroom = match limits.burst {
            // What is only assumed to be used holds no tier back.
            Some(_) => {
                let left = self.tokens + self.assumed(now);
                (left / self.window_limit.max(1.0)).clamp(0.0, 1.0)
            }
            None => 1.0,
        };
        Slice { requests, tokens, concurrency, headroom, span: SLICE_DURATION }
    }

    /// Returns whether the owner of a pool has said lately what it started in the whole window. One
    /// whose process was started anew, maybe under the same name, has not.
    fn knows(&self, now: Millis, pool: &id::Pool, owner: &id::Entry) -> bool {
        self.borrowers.get(pool).is_some_and(|known| {
            let is_asking = known.owner == *owner && now.since(known.asked) < BORROWER_TIMEOUT;
            is_asking && self.span <= known.counted
        })
    }

    /// Counts what another lender reported at `at` to have lent to a pool, as far as it is more than
    /// what counts already.
    fn inherit(&mut self, at: Millis, span: Millis, report: &Lent) {
        let tokens: Vec<_> = report.tokens.iter().map(|tokens| *tokens as f64).collect();
        let total: f64 = tokens.iter().sum();
        let key = (report.pool.clone(), report.owner.clone());
        let lent = self.lent_to.entry(key).or_insert_with(|| Window::new(span));
        let known = lent.sum(at);
        if total <= known {
            return;
        }
        let mut unknown = Window::aged(at, span, &tokens);
        unknown.scale((total - known) / total);
        lent.merge(&unknown);
    }

    /// Counts what a pool started in the window, where it differs from what this lender lent to it.
    ///
    /// It is more when the pool had another lender: before this one, or while it took another entry
    /// for its lender. Two entries that take turns as lenders, as they do when a link loses packets,
    /// would otherwise each lend the whole limit. It is less when slices ended unused or were lost.
    fn learn(&mut self, now: Millis, span: Millis, lent_to: &(id::Pool, id::Entry), used: &Usage) {
        let lent = self.lent_to.entry(lent_to.clone()).or_insert_with(|| Window::new(span));
        lent.set_span(span);
        let unknown = used.recent_tokens as f64 - used.owed_tokens as f64 - lent.sum(now);
        if 0.0 < unknown {
            lent.add_spread(now, unknown);
        }
        // What was lent before the account counts was not started from it.
        let (counted, settled) = (now - used.counted + SETTLED_AFTER, now - SETTLED_AFTER);
        lent.cap(counted, settled, used.recent_tokens as f64);
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
