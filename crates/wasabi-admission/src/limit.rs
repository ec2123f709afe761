//! A pool's account with an organisation's budget.
//!
//! A pool starts work against slices that the owner of the budget lends, and may overdraw its
//! account by one slice while it waits for the next. Overdrafts are paid from later slices, so the
//! work started by one pool never exceeds what it was lent by more than one slice and one request.

use wasabi_protocol::{
    clock::Millis,
    contract::{Burst, Limits, TIERS, Tier},
    rpc::{Slice, Usage},
};

use crate::window::Window;

/// How long a slice lasts, in milliseconds.
pub const SLICE_DURATION: Millis = Millis(250);

/// Time between two asks of an account that is short, in milliseconds.
const ASK_SHORT: Millis = Millis(25);

/// Time between two asks of an account in steady use, in milliseconds.
const ASK_STEADY: Millis = Millis(125);

/// Time between two asks of an account that uses little, in milliseconds.
///
/// Organisations far below their limits need no slices; asking once a second keeps the owner's
/// picture of who runs what current at an eighth of the messages.
const ASK_IDLE: Millis = Millis(1_000);

/// Part of the concurrency limit that a pool may use before it was lent any: one slice of a
/// second.
const CONCURRENCY_ADVANCE: u32 = 4;

/// Part of a limit with a burst that is kept for more urgent tiers of the organisation, by how many
/// tiers a request is behind its most urgent one.
///
/// First come, first served would spend a limit that is used up on whatever comes most often. An
/// organisation at its usual load leaves about half of its limit free.
const KEPT_FOR_URGENT: [f64; 3] = [0.0, 0.08, 0.2];

/// Most tokens that waiting requests ask for under a limit with a burst, in slices of the limit or
/// in what was started since the last ask.
///
/// Requests may wait for an endpoint and not for the limit. What is lent to them and not used in
/// time is missing until the lender learns that it was not started.
const WAITING_SLICES: f64 = 1.0;
const WAITING_STARTS: f64 = 2.0;

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
    /// Tokens started in the window of a limit with a burst.
    recent: Window,
    /// When the account began to count them.
    opened: Millis,
    asked: Option<Millis>,
    refused: bool,
    /// Tokens asked for last.
    wanted: f64,
    /// Whether the last slice was smaller than what was asked for.
    is_scarce: bool,
    /// Part of the limit on tokens that the lender still had.
    headroom: f64,
    /// The most urgent tier of the organisation's requests here.
    top: Tier,
}

impl Account {
    /// Returns an account that was lent nothing yet.
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
            opened: now,
            asked: None,
            refused: false,
            wanted: 0.0,
            is_scarce: false,
            headroom: 1.0,
            top: Tier(TIERS as u8 - 1),
        }
    }

    /// Follows a changed contract.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.recent.set_span(limits.burst.map_or(Millis::ZERO, |burst| burst.window));
    }

    /// Returns whether one more request may start, and remembers a refusal for the next ask.
    pub fn may_start(&mut self, now: Millis) -> bool {
        self.expire(now);
        let (requests, tokens) = slice_amounts(&self.limits);
        let allowed = -requests < self.requests
            && -tokens < self.tokens
            && self.running < self.concurrency(now);
        self.refused |= !allowed;
        allowed
    }

    /// Returns the time until one more request of a tier may start behind `waiting_tokens` of
    /// others, when the limit on tokens is used up for it: the account is overdrawn and the lender
    /// had less to lend than was asked for, or what is left is kept for more urgent tiers of the
    /// organisation.
    pub fn token_wait(&mut self, tier: Tier, waiting_tokens: u64) -> Option<Millis> {
        self.top = self.top.min(tier);
        let rank = tier.index() - self.top.index();
        let kept = KEPT_FOR_URGENT[rank.min(KEPT_FOR_URGENT.len() - 1)];
        let missing = self.limits.burst.map_or(0.0, |burst| {
            (kept - self.headroom).max(0.0) * window_tokens(&self.limits, &burst)
        });
        let (_, overdraft) = slice_amounts(&self.limits);
        let owed = waiting_tokens as f64 - self.tokens - overdraft;
        let is_overdrawn = self.is_scarce && 0.0 <= owed;
        if !is_overdrawn && missing <= 0.0 {
            return None;
        }
        let owed = if is_overdrawn { owed.max(missing) } else { missing };
        // The next ask shows whether the lender has more by now.
        self.refused = true;
        let rate = f64::from(self.limits.tokens_per_s.max(1));
        Some(Millis((owed / rate * 1_000.0) as u64).max(SLICE_DURATION))
    }

    /// Charges a request that starts.
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

    /// Counts a request that runs here but was started by an earlier owner of the pool.
    pub fn adopt(&mut self) {
        self.running += 1;
    }

    /// Counts a request that ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Adds a slice.
    pub fn lend(&mut self, now: Millis, slice: &Slice) {
        self.expire(now);
        self.requests += slice.requests.max(0.0);
        self.tokens += slice.tokens.max(0.0);
        self.credit_ends = now + slice.span;
        self.is_scarce = slice.tokens + 1.0 < self.wanted;
        self.headroom = slice.headroom;
        self.concurrency = slice.concurrency;
        // The lender forgets a pool that it has not heard for this time and lends its part anew.
        self.concurrency_ends = now + crate::lender::BORROWER_TIMEOUT;
    }

    /// Returns what to tell the lender, when it is time to ask. `waiting` and `waiting_tokens`
    /// describe the organisation's queue here.
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
        let pause = match (is_short, is_steady) {
            (true, _) => ASK_SHORT,
            (false, true) => ASK_STEADY,
            (false, false) => ASK_IDLE,
        };
        if self.asked.is_some_and(|at| now.since(at) < pause) {
            return None;
        }
        self.asked = Some(now);
        self.refused = false;
        self.expire(now);
        let started = std::mem::take(&mut self.used);
        let waiting_tokens = match self.limits.burst {
            None => waiting_tokens,
            Some(_) => {
                let most = (WAITING_SLICES * tokens).max(WAITING_STARTS * started.tokens as f64);
                waiting_tokens.min(most as u64)
            }
        };
        let used = Usage {
            running: self.running,
            waiting,
            waiting_tokens,
            owed_tokens: (-self.tokens).max(0.0) as u64,
            recent_tokens: self.recent.sum(now) as u64,
            counted: now.since(self.opened).min(self.recent.span()),
            credit_tokens: self.tokens.max(0.0) as u64,
            ..started
        };
        self.wanted = requested_tokens(&self.limits, &used);
        Some(used)
    }

    /// Returns whether nothing of the organisation runs, is owed or counts in a window here.
    pub fn is_settled(&mut self, now: Millis) -> bool {
        self.running == 0
            && self.recent.sum(now) <= 0.0
            && self.used.requests == 0
            && 0.0 <= self.requests
            && 0.0 <= self.tokens
            && self.credit_ends <= now
    }

    fn concurrency(&self, now: Millis) -> u32 {
        let advance = (self.limits.concurrency / CONCURRENCY_ADVANCE).max(1);
        if now < self.concurrency_ends { self.concurrency } else { advance }
    }

    fn expire(&mut self, now: Millis) {
        if self.credit_ends <= now {
            self.requests = self.requests.min(0.0);
            self.tokens = self.tokens.min(0.0);
        }
    }
}

/// Returns the tokens that a pool asks for.
pub fn requested_tokens(limits: &Limits, used: &Usage) -> f64 {
    // An overdraft must be paid also when nothing was started since the last ask.
    let wanted = used.tokens.max(used.owed_tokens) + used.waiting_tokens;
    match limits.burst {
        None => wanted as f64,
        Some(_) => wanted.saturating_sub(used.credit_tokens) as f64,
    }
}

/// Returns the tokens that a limit with a burst allows in one window.
pub fn window_tokens(limits: &Limits, burst: &Burst) -> f64 {
    f64::from(limits.tokens_per_s) * burst.window.seconds() + f64::from(burst.tokens)
}

/// Returns the requests and tokens of one whole slice of a contract.
pub fn slice_amounts(limits: &Limits) -> (f64, f64) {
    let part = SLICE_DURATION.seconds();
    (f64::from(limits.requests_per_s) * part, f64::from(limits.tokens_per_s) * part)
}
