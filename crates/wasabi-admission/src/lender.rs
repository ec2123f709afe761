//! The owner of an organisation's budget, which lends slices of it to pool owners.
//!
//! A lender lends at most the limit times `w` plus one slice in any span `w`: the budget is a token
//! bucket that refills at the rate of the limit, holds at most one slice, and starts empty. Tokens
//! of a limit with a burst are counted in its sliding window instead. A new lender learns what was
//! lent in that window from its predecessor's reports and from the usage that borrowers report. A
//! lender whose process has just started and that has received no report assumes that a part of the
//! limit was used.

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

/// Time after its last usage report for which a pool counts as a borrower, in milliseconds.
///
/// Accounts in use report at least once a second; the rest allows for one lost report.
pub const BORROWER_TIMEOUT: Millis = Millis(2_500);

/// Time after which another lender's report is dropped, in milliseconds.
const REPORT_TTL: Millis = Millis::from_secs(30);

/// Longest time after its last report for which a lender is assumed to have lent, in milliseconds:
/// two heartbeats, after which its failure is detected.
const EXTRAPOLATION_MAX: Millis = Millis(1_000);

/// Age at which a slice has either been used or expired, in milliseconds. The answer with the slice
/// and the next usage report take up to the lifetime of one slice.
const SETTLED_AFTER: Millis = Millis(2 * SLICE_DURATION.0);

/// Fraction of a window that counts as lent before the process started if no report covers it.
///
/// An organisation at its usual load leaves about half of its limit free and so is not held back.
/// Assuming the whole window would refuse most requests in the seconds after a power loss.
const ASSUMED_FRACTION: f64 = 0.5;

/// The budgets that one entry owns.
#[derive(Debug, Default)]
pub struct Lender {
    budgets: HashMap<id::Organisation, Budget>,
    /// The last report of each other entry.
    reports: HashMap<id::Entry, Report>,
    /// When the process started, if earlier lending may be unknown.
    restarted: Option<Millis>,
}

#[derive(Debug)]
struct Report {
    at: Millis,
    lent: Vec<Lent>,
}

#[derive(Debug)]
struct Budget {
    requests: f64,
    tokens: f64,
    refilled_at: Millis,
    /// The tokens that one window of a limit with a burst allows, and its length.
    window_limit: f64,
    span: Millis,
    /// When the process started, while earlier lending is unknown.
    restarted: Option<Millis>,
    /// Tokens lent in the window, by pool and pool owner. During a network partition a pool may have
    /// two owners, and tokens that one did not start may have been started by the other.
    lent_to: HashMap<(id::Pool, id::Entry), Window>,
    borrowers: HashMap<id::Pool, Borrower>,
}

#[derive(Debug)]
struct Borrower {
    owner: id::Entry,
    reported_at: Millis,
    /// Time covered by the account's `recent_tokens`, at most one window.
    counted: Millis,
    requests: f64,
    tokens: f64,
    running: u32,
    requested_concurrency: u32,
    allocated: u32,
}

impl Lender {
    /// Returns a lender that has lent nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a lender for a process that started at `now` and does not know what was lent before.
    pub fn restarted(now: Millis) -> Self {
        Self { restarted: Some(now), ..Self::default() }
    }

    /// Returns the next slice for the owner of a pool that reports its usage.
    pub fn lend(
        &mut self,
        now: Millis,
        organisation: &id::Organisation,
        limits: &Limits,
        (pool, owner): (&id::Pool, &id::Entry),
        used: &Usage,
    ) -> Slice {
        let budget = match self.budgets.entry(organisation.clone()) {
            Entry::Occupied(budget) if budget.get().is_active(now) => budget.into_mut(),
            budget => {
                let budget = budget.or_insert_with(|| Budget::new(now, self.restarted));
                budget.apply_reports(now, organisation, limits, self.reports.values());
                budget
            }
        };
        budget.refill(now, limits);
        budget.lend(now, limits, (pool, owner), used)
    }

    /// Returns what was lent in the windows of limits with a burst, for the entries that may become
    /// lenders next: at most [`report::REPORT_BYTES_MAX`] as JSON, the largest amounts first.
    pub fn report(&mut self, now: Millis) -> Vec<Lent> {
        let mut all = Vec::new();
        for (organisation, budget) in &mut self.budgets {
            for ((pool, owner), lent) in &mut budget.lent_to {
                let tokens: Vec<_> = lent.by_age(now).iter().map(|sum| *sum as u64).collect();
                if tokens.iter().any(|tokens| 0 < *tokens) {
                    let (pool, owner) = (pool.clone(), owner.clone());
                    all.push(Lent { organisation: organisation.clone(), pool, owner, tokens });
                }
            }
        }
        report::truncate(all)
    }

    /// Records what another entry reports to have lent, in case this one succeeds it as lender.
    ///
    /// A lender may continue for a moment after its successor has begun, and its last report before
    /// that is up to a heartbeat old, so later reports count as well. For a pool owner that reports
    /// its own usage for the whole window, that usage is more accurate. An inactive budget applies
    /// the report only when it is requested again; otherwise it would report the amounts back to the
    /// lender that they came from.
    pub fn record_report(&mut self, now: Millis, from: &id::Entry, lent: &[Lent]) {
        let active = self.budgets.iter_mut().filter(|(_, budget)| budget.is_active(now));
        for (organisation, budget) in active {
            for item in lent.iter().filter(|item| item.organisation == *organisation) {
                if !budget.has_full_usage(now, &item.pool, &item.owner) {
                    budget.restarted = None;
                    budget.merge_lent(now, budget.span, item);
                }
            }
        }
        self.reports.insert(from.clone(), Report { at: now, lent: lent.to_vec() });
    }

    /// Drops inactive budgets and old reports. Must be called periodically.
    pub fn expire(&mut self, now: Millis) {
        // Lent tokens count until they have left the window, even if the budget is inactive.
        self.budgets.retain(|_, budget| budget.is_active(now) || 0.0 < budget.lent(now));
        self.reports.retain(|_, report| now.since(report.at) < REPORT_TTL);
    }
}

impl Borrower {
    const fn new(owner: id::Entry) -> Self {
        Self {
            owner,
            reported_at: Millis::ZERO,
            counted: Millis::ZERO,
            requests: 0.0,
            tokens: 0.0,
            running: 0,
            requested_concurrency: 0,
            allocated: 0,
        }
    }
}

impl Budget {
    fn new(now: Millis, restarted: Option<Millis>) -> Self {
        Self {
            requests: 0.0,
            tokens: 0.0,
            refilled_at: now,
            window_limit: 0.0,
            span: Millis::ZERO,
            restarted,
            lent_to: HashMap::new(),
            borrowers: HashMap::new(),
        }
    }

    /// Returns whether a slice was requested recently.
    fn is_active(&self, now: Millis) -> bool {
        now.since(self.refilled_at) < BORROWER_TIMEOUT
    }

    /// Counts what other lenders reported.
    fn apply_reports<'a>(
        &mut self,
        now: Millis,
        organisation: &id::Organisation,
        limits: &Limits,
        reports: impl Iterator<Item = &'a Report>,
    ) {
        let Some(burst) = &limits.burst else { return };
        for report in reports.filter(|report| now.since(report.at) < burst.window) {
            for item in report.lent.iter().filter(|item| item.organisation == *organisation) {
                self.restarted = None;
                self.merge_lent(report.at, burst.window, item);
                self.extrapolate_lent(now, report.at, item);
            }
        }
    }

    /// Counts what another lender may have lent after its last report, since it may have failed
    /// before it sent another one: at the rate of the second before the report, or as much as has
    /// left the window since, whichever is more.
    fn extrapolate_lent(&mut self, now: Millis, reported: Millis, report: &Lent) {
        let gap = now.since(reported).min(EXTRAPOLATION_MAX);
        let last_second = report.tokens.first().copied().unwrap_or(0);
        let key = (report.pool.clone(), report.owner.clone());
        if let Some(lent) = self.lent_to.get_mut(&key) {
            let (before, after) = (lent.sum(reported), lent.sum(now.min(reported + gap)));
            lent.add(now, (last_second as f64 * gap.seconds()).max(before - after));
        }
    }

    fn refill(&mut self, now: Millis, limits: &Limits) {
        let elapsed = now.since(self.refilled_at).seconds();
        self.refilled_at = self.refilled_at.max(now);
        let (requests, tokens) = slice_amounts(limits);
        self.requests = (self.requests + f64::from(limits.requests_per_s) * elapsed).min(requests);
        self.tokens = (self.tokens + f64::from(limits.tokens_per_s) * elapsed).min(tokens);
        self.borrowers.retain(|_, borrower| now.since(borrower.reported_at) < BORROWER_TIMEOUT);
        if let Some(burst) = &limits.burst {
            let limit = window_tokens(limits, burst);
            // When the limit changes, the used fraction stays the same. Otherwise a lowered limit
            // would refuse all requests for a window.
            if 0.0 < self.window_limit && self.window_limit != limit {
                for lent in self.lent_to.values_mut() {
                    lent.scale(limit / self.window_limit);
                }
            }
            self.window_limit = limit;
            self.span = burst.window;
            self.tokens = limit - self.lent(now) - self.assumed(now);
        }
    }

    /// Returns what is assumed to have been lent before the process started. The amount is spread
    /// evenly over the window, so it shrinks as the process runs.
    fn assumed(&self, now: Millis) -> f64 {
        let Some(restarted) = self.restarted else { return 0.0 };
        let remaining = self.span.since(now.since(restarted)).seconds() / self.span.seconds();
        ASSUMED_FRACTION * self.window_limit * remaining.clamp(0.0, 1.0)
    }

    /// Returns what was lent in the window and drops the pool owners without any of it.
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
            self.reconcile(now, burst.window, &lent_to, used);
            self.tokens = self.window_limit - self.lent(now) - self.assumed(now);
        }
        let borrower =
            self.borrowers.entry(pool.clone()).or_insert_with(|| Borrower::new(owner.clone()));
        borrower.owner.clone_from(owner);
        borrower.reported_at = now;
        borrower.counted = used.counted;
        // Usage since the last report predicts the usage until the next one.
        borrower.requests = used.requests as f64 + f64::from(used.waiting) + 1.0;
        borrower.tokens = requested_tokens(limits, used) + 1.0;
        borrower.running = used.running;
        borrower.requested_concurrency = used.running + used.waiting + 1;
        let (requests_wanted, tokens_wanted) = (borrower.requests, borrower.tokens);

        let all_requests: f64 = self.borrowers.values().map(|other| other.requests).sum();
        let all_tokens: f64 = self.borrowers.values().map(|other| other.tokens).sum();
        let share = |available: f64, requested: f64, all: f64| {
            (available.max(0.0) * requested / all).min(2.0 * requested)
        };
        let requests = share(self.requests, requests_wanted, all_requests);
        // Credit expires with its slice, so no more than requested is lent.
        let tokens = share(self.tokens, tokens_wanted, all_tokens).min(tokens_wanted);
        self.requests -= requests;
        self.tokens -= tokens;
        if let Some(burst) = &limits.burst {
            let lent = self.lent_to.entry(lent_to).or_insert_with(|| Window::new(burst.window));
            lent.add(now, tokens);
        }
        let concurrency = self.allocate_concurrency(limits.concurrency, pool);
        let headroom = match limits.burst {
            // Tokens that are only assumed to be used do not hold back any tier.
            Some(_) => {
                let left = self.tokens + self.assumed(now);
                (left / self.window_limit.max(1.0)).clamp(0.0, 1.0)
            }
            None => 1.0,
        };
        Slice { requests, tokens, concurrency, headroom, span: SLICE_DURATION }
    }

    /// Returns whether the owner of a pool recently reported its usage of the whole window. A
    /// restarted owner, possibly under the same name, has not.
    fn has_full_usage(&self, now: Millis, pool: &id::Pool, owner: &id::Entry) -> bool {
        self.borrowers.get(pool).is_some_and(|borrower| {
            let is_current =
                borrower.owner == *owner && now.since(borrower.reported_at) < BORROWER_TIMEOUT;
            is_current && self.span <= borrower.counted
        })
    }

    /// Counts what another lender reported at `at` to have lent to a pool, as far as it exceeds what
    /// is already counted.
    fn merge_lent(&mut self, at: Millis, span: Millis, report: &Lent) {
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

    /// Corrects the amount lent to a pool by what the pool started in the window.
    ///
    /// The pool started more than this lender lent when it also borrowed from another lender: from a
    /// predecessor, or from an entry that it took for the lender. Two entries that alternate as
    /// lenders, for example on a lossy link, would otherwise each lend the whole limit. It started
    /// less when slices expired unused or were lost.
    fn reconcile(
        &mut self,
        now: Millis,
        span: Millis,
        lent_to: &(id::Pool, id::Entry),
        used: &Usage,
    ) {
        let lent = self.lent_to.entry(lent_to.clone()).or_insert_with(|| Window::new(span));
        lent.set_span(span);
        let unknown = used.recent_tokens as f64 - used.owed_tokens as f64 - lent.sum(now);
        if 0.0 < unknown {
            lent.add_spread(now, unknown);
        }
        // Tokens lent before the account began to count are not part of its usage.
        let (counted_from, settled_at) = (now - used.counted + SETTLED_AFTER, now - SETTLED_AFTER);
        lent.cap(counted_from, settled_at, used.recent_tokens as f64);
    }

    /// Allocates concurrency to a pool: as requested while there is enough, and otherwise in
    /// proportion to the requests of all pools. What other pools hold or run is never allocated
    /// twice.
    fn allocate_concurrency(&mut self, limit: u32, pool: &id::Pool) -> u32 {
        let others: u64 = self
            .borrowers
            .iter()
            .filter(|(name, _)| *name != pool)
            .map(|(_, other)| u64::from(other.allocated.max(other.running)))
            .sum();
        let requested: u64 =
            self.borrowers.values().map(|other| u64::from(other.requested_concurrency)).sum();
        let borrowers = self.borrowers.len() as u64;
        let free = u64::from(limit).saturating_sub(others) as u32;
        let Some(borrower) = self.borrowers.get_mut(pool) else { return 0 };
        let fair = (u64::from(limit) * u64::from(borrower.requested_concurrency))
            .div_ceil(requested.max(1)) as u32;
        let is_scarce = u64::from(limit) < requested;
        let available = if is_scarce { fair.min(free) } else { free };
        // While there is enough, half of the unrequested concurrency leaves room for a burst between
        // two reports. Twice the requested concurrency alone is too little after quiet traffic,
        // since each doubling takes a report.
        let spare = u64::from(limit).saturating_sub(requested) / (2 * borrowers);
        let generous = u64::from(borrower.requested_concurrency.saturating_mul(2))
            .max(u64::from(borrower.requested_concurrency) + spare);
        borrower.allocated = available.min(u32::try_from(generous).unwrap_or(u32::MAX));
        borrower.allocated
    }
}
