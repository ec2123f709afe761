//! Attempts that hold a grant.

use std::collections::{HashMap, VecDeque};

use wasabi_protocol::{clock::Millis, contract::TIERS, id, request::Request, rpc::Grant};
use wasabi_rollout::credit::Side;

/// Most ended attempts that are remembered for late holdings.
const ENDED_MAX: usize = 4_096;

/// One attempt that holds a grant.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) request: Request,
    /// The grant; `None` when an earlier owner gave it.
    pub(super) grant: Option<Grant>,
    pub(super) endpoint: id::Endpoint,
    pub(super) started: Millis,
    pub(super) deadline: Millis,
    /// When its first token is due by the endpoint's own pace.
    pub(super) first_token_at: Millis,
    /// Prompt tokens to be read before its first token, those ahead of it included.
    pub(super) prefill_tokens: u32,
    /// Prompt tokens that the endpoint had in its prefix cache, by the owner's knowledge.
    pub(super) cached: u32,
    /// In-flight requests of the endpoint at dispatch, as a part of its concurrency.
    pub(super) load: f64,
    pub(super) side: Option<Side>,
    pub(super) mark: Mark,
    /// It was asked to stop in favour of tier 0.
    pub(super) preempted: bool,
    /// It was counted as a bad sample already.
    pub(super) overdue: bool,
}

impl Running {
    /// Returns the number of the grant, if this owner gave it.
    pub(super) fn number(&self) -> Option<id::Grant> {
        self.grant.as_ref().map(|grant| grant.grant)
    }
}

/// By what right an attempt runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mark {
    /// In the order of tiers and shares.
    Usual,
    /// In the fraction reserved for aged work.
    Aged,
    /// Alone on its endpoint, as a suspect.
    Alone,
}

/// All attempts of a pool that hold a grant.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    attempts: HashMap<id::Attempt, Running>,
    by_tier: [u32; TIERS],
    aged: u32,
    /// Attempts whose release came before a holder reported them, or before their call.
    ended: VecDeque<id::Attempt>,
}

impl Ledger {
    pub(super) fn insert(&mut self, running: Running) {
        self.by_tier[running.request.tier.index()] += 1;
        self.aged += u32::from(running.mark == Mark::Aged);
        self.attempts.insert(running.request.attempt, running);
    }

    /// Takes an attempt out; a second time returns nothing.
    pub(super) fn remove(&mut self, attempt: id::Attempt) -> Option<Running> {
        let Some(running) = self.attempts.remove(&attempt) else {
            if ENDED_MAX <= self.ended.len() {
                self.ended.pop_front();
            }
            self.ended.push_back(attempt);
            return None;
        };
        self.by_tier[running.request.tier.index()] -= 1;
        self.aged -= u32::from(running.mark == Mark::Aged);
        Some(running)
    }

    pub(super) fn contains(&self, attempt: id::Attempt) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// Returns whether the attempt runs here or is known to have ended.
    pub(super) fn is_known(&self, attempt: id::Attempt) -> bool {
        self.contains(attempt) || self.has_ended(attempt)
    }

    /// Returns whether the attempt ended lately without a grant of this owner.
    pub(super) fn has_ended(&self, attempt: id::Attempt) -> bool {
        self.ended.contains(&attempt)
    }

    pub(super) fn get(&self, attempt: id::Attempt) -> Option<&Running> {
        self.attempts.get(&attempt)
    }

    pub(super) fn get_mut(&mut self, attempt: id::Attempt) -> Option<&mut Running> {
        self.attempts.get_mut(&attempt)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Running> {
        self.attempts.values()
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Running> {
        self.attempts.values_mut()
    }

    pub(super) fn by_tier(&self) -> [u32; TIERS] {
        self.by_tier
    }

    pub(super) fn aged(&self) -> u32 {
        self.aged
    }

    /// Forgets the ended attempts; holders report only while an owner is new.
    pub(super) fn forget_ended(&mut self) {
        self.ended.clear();
    }
}
