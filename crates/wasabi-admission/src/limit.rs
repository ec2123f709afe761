//! A pool's account with an organisation's budget.
//!
//! A pool starts requests against budget slices that the owner of the budget lends to it. It may
//! overdraw its account by one slice while it waits for the next one, and later slices repay the
//! overdraft. The work started by one pool therefore exceeds what it was lent by at most one slice
//! and one request.

use wasabi_protocol::{
    clock::Millis,
    contract::{Burst, Limits, TIERS, Tier},
    rpc::{Slice, Usage},
};

use crate::window::Window;

/// Lifetime of a slice, in milliseconds.
pub const SLICE_DURATION: Millis = Millis(250);

/// Interval between usage reports of an account that refused a request, in milliseconds.
const USAGE_INTERVAL_SHORT: Millis = Millis(25);

/// Interval between usage reports of an account in steady use, in milliseconds.
const USAGE_INTERVAL_STEADY: Millis = Millis(125);

/// Interval between usage reports of an account with little use, in milliseconds.
///
/// Organisations far below their limits need no slices. One report a second keeps the budget
/// owner's usage figures current with an eighth of the messages of steady use.
const USAGE_INTERVAL_IDLE: Millis = Millis(1_000);

/// Divisor of the concurrency limit that gives what a pool may use before its first slice: the
/// share of one slice in a second.
const CONCURRENCY_ADVANCE_DIVISOR: u32 = 4;

/// Fraction of a limit with a burst that is reserved for more urgent tiers of the organisation, by
/// the number of tiers between a request and the organisation's most urgent one.
///
/// In arrival order, the most frequent requests would take whatever is left of a nearly exhausted
/// limit. An organisation at its usual load leaves about half of its limit free.
const RESERVED_FOR_URGENT: [f64; 3] = [0.0, 0.08, 0.2];

/// Most tokens requested for waiting requests under a limit with a burst: this many slices of the
/// limit, or this multiple of the tokens started since the last usage report, whichever is larger.
///
/// Requests may wait for an endpoint and not for the limit. Tokens lent to them and not used in
/// time are unavailable until the lender learns that they were not started.
const WAITING_SLICES_MAX: f64 = 1.0;
const WAITING_STARTS_MAX: f64 = 2.0;

/// An organisation's account at one pool.
#[derive(Debug, Clone)]
pub struct Account {
    limits: Limits,
    requests: f64,
    tokens: f64,
    credit_ends: Millis,
    concurrency: u32,
    concurrency_ends: Millis,
    running: u32,
    used: Usage,
    /// Tokens started within the window of a limit with a burst.
    recent: Window,
    /// When the account began to count `recent`.
    counted_since: Millis,
    /// Time of the last usage report.
    reported_at: Option<Millis>,
    /// Whether a request was refused since the last usage report.
    refused: bool,
    /// Tokens requested with the last usage report.
    requested: f64,
    /// Whether the last slice was smaller than requested.
    is_scarce: bool,
    /// Fraction of the token limit that the lender had left with the last slice.
    headroom: f64,
    /// The most urgent tier of the organisation's requests at this pool.
    most_urgent: Tier,
}

impl Account {
    /// Returns an account without any slice.
    pub fn new(now: Millis, limits: Limits) -> Self {
        Self {
            limits,
            requests: 0.0,
            tokens: 0.0,
            credit_ends: Millis::ZERO,
            concurrency: 0,
            concurrency_ends: Millis::ZERO,
            running: 0,
            used: Usage::default(),
            recent: Window::new(limits.burst.map_or(Millis::ZERO, |burst| burst.window)),
            counted_since: now,
            reported_at: None,
            refused: false,
            requested: 0.0,
            is_scarce: false,
            headroom: 1.0,
            most_urgent: Tier(TIERS as u8 - 1),
        }
    }

    /// Applies the limits of a changed contract.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.recent.set_span(limits.burst.map_or(Millis::ZERO, |burst| burst.window));
    }

    /// Returns whether one more request may start, and records a refusal for the next usage report.
    pub fn may_start(&mut self, now: Millis) -> bool {
        self.expire(now);
        let (requests, tokens) = slice_amounts(&self.limits);
        let allowed = -requests < self.requests
            && -tokens < self.tokens
            && self.running < self.concurrency(now);
        self.refused |= !allowed;
        allowed
    }

    /// Returns the time until one more request of a tier may start behind `waiting_tokens` of other
    /// requests, or `None` while the token limit is not exhausted for it.
    ///
    /// The limit is exhausted when the account is overdrawn and the lender lent less than requested,
    /// or when the rest is reserved for more urgent tiers of the organisation.
    pub fn token_wait(&mut self, tier: Tier, waiting_tokens: u64) -> Option<Millis> {
        self.most_urgent = self.most_urgent.min(tier);
        let rank = tier.index() - self.most_urgent.index();
        let reserved = RESERVED_FOR_URGENT[rank.min(RESERVED_FOR_URGENT.len() - 1)];
        let missing = self.limits.burst.map_or(0.0, |burst| {
            (reserved - self.headroom).max(0.0) * window_tokens(&self.limits, &burst)
        });
        let (_, overdraft_max) = slice_amounts(&self.limits);
        let owed = waiting_tokens as f64 - self.tokens - overdraft_max;
        let is_overdrawn = self.is_scarce && 0.0 <= owed;
        if !is_overdrawn && missing <= 0.0 {
            return None;
        }
        let owed = if is_overdrawn { owed.max(missing) } else { missing };
        // The next usage report then follows soon and shows whether the lender has more to lend.
        self.refused = true;
        let rate = f64::from(self.limits.tokens_per_s.max(1));
        Some(Millis((owed / rate * 1_000.0) as u64).max(SLICE_DURATION))
    }

    /// Charges a request that starts to the account.
    pub fn start(&mut self, now: Millis, tokens: u64) {
        if self.limits.burst.is_some() {
            self.recent.add(now, tokens as f64);
        }
        self.requests -= 1.0;
        self.tokens -= tokens as f64;
        self.running += 1;
        self.used.requests += 1;
        self.used.tokens += tokens;
    }

    /// Counts a running request that an earlier owner of the pool started.
    pub fn adopt(&mut self) {
        self.running += 1;
    }

    /// Records the end of a request.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Adds a slice from the lender.
    pub fn lend(&mut self, now: Millis, slice: &Slice) {
        self.expire(now);
        self.requests += slice.requests.max(0.0);
        self.tokens += slice.tokens.max(0.0);
        self.credit_ends = now + slice.span;
        self.is_scarce = slice.tokens + 1.0 < self.requested;
        self.headroom = slice.headroom;
        self.concurrency = slice.concurrency;
        // After this time without a report the lender drops a pool and lends its share to others.
        self.concurrency_ends = now + crate::lender::BORROWER_TIMEOUT;
    }

    /// Returns the usage since the last report and what to request from the lender, or `None` when
    /// no report is due. `waiting` and `waiting_tokens` describe the organisation's queue at this
    /// pool.
    pub fn take_usage(&mut self, now: Millis, waiting: u32, waiting_tokens: u64) -> Option<Usage> {
        let is_idle = waiting == 0 && self.running == 0 && self.used.requests == 0;
        if is_idle && !self.refused {
            return None;
        }
        let (requests, tokens) = slice_amounts(&self.limits);
        let is_short = self.refused;
        let is_steady = 4.0 * self.used.requests as f64 > requests
            || 4.0 * self.used.tokens as f64 > tokens
            || 2 * self.running > self.concurrency(now);
        let interval = match (is_short, is_steady) {
            (true, _) => USAGE_INTERVAL_SHORT,
            (false, true) => USAGE_INTERVAL_STEADY,
            (false, false) => USAGE_INTERVAL_IDLE,
        };
        if self.reported_at.is_some_and(|at| now.since(at) < interval) {
            return None;
        }
        self.reported_at = Some(now);
        self.refused = false;
        self.expire(now);
        let started = std::mem::take(&mut self.used);
        let waiting_tokens = match self.limits.burst {
            None => waiting_tokens,
            Some(_) => {
                let most =
                    (WAITING_SLICES_MAX * tokens).max(WAITING_STARTS_MAX * started.tokens as f64);
                waiting_tokens.min(most as u64)
            }
        };
        let used = Usage {
            running: self.running,
            waiting,
            waiting_tokens,
            owed_tokens: (-self.tokens).max(0.0) as u64,
            recent_tokens: self.recent.sum(now) as u64,
            counted: now.since(self.counted_since).min(self.recent.span()),
            credit_tokens: self.tokens.max(0.0) as u64,
            ..started
        };
        self.requested = requested_tokens(&self.limits, &used);
        Some(used)
    }

    /// Returns whether the account can be dropped: nothing runs, is owed or counts in a window.
    pub fn is_settled(&mut self, now: Millis) -> bool {
        self.running == 0
            && self.recent.sum(now) <= 0.0
            && self.used.requests == 0
            && 0.0 <= self.requests
            && 0.0 <= self.tokens
            && self.credit_ends <= now
    }

    fn concurrency(&self, now: Millis) -> u32 {
        let advance = (self.limits.concurrency / CONCURRENCY_ADVANCE_DIVISOR).max(1);
        if now < self.concurrency_ends { self.concurrency } else { advance }
    }

    fn expire(&mut self, now: Millis) {
        if self.credit_ends <= now {
            self.requests = self.requests.min(0.0);
            self.tokens = self.tokens.min(0.0);
        }
    }
}

/// Returns the tokens that a pool requests from the lender.
pub fn requested_tokens(limits: &Limits, used: &Usage) -> f64 {
    // An overdraft is repaid even when nothing was started since the last report.
    let tokens = used.tokens.max(used.owed_tokens) + used.waiting_tokens;
    match limits.burst {
        None => tokens as f64,
        Some(_) => tokens.saturating_sub(used.credit_tokens) as f64,
    }
}

/// Returns the tokens that a limit with a burst allows in one window.
pub fn window_tokens(limits: &Limits, burst: &Burst) -> f64 {
    f64::from(limits.tokens_per_s) * burst.window.seconds() + f64::from(burst.tokens)
}

/// Returns the requests and tokens that a contract allows in the lifetime of one slice.
pub fn slice_amounts(limits: &Limits) -> (f64, f64) {
    let seconds = SLICE_DURATION.seconds();
    (f64::from(limits.requests_per_s) * seconds, f64::from(limits.tokens_per_s) * seconds)
}
