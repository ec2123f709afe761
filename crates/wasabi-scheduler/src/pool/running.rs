//! Running attempts, which hold a grant.

use std::collections::{HashMap, VecDeque};

use wasabi_protocol::{clock::Millis, contract::TIERS, id, request::Request, rpc::Grant};
use wasabi_rollout::credit::Side;

/// Maximum number of ended attempts that are remembered for late reports.
const ENDED_ATTEMPTS_MAX: usize = 4_096;

/// One attempt that holds a grant.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) request: Request,
    /// The grant; `None` if an earlier owner issued it.
    pub(super) grant: Option<Grant>,
    pub(super) endpoint: id::Endpoint,
    pub(super) started: Millis,
    pub(super) deadline: Millis,
    /// When its first token is expected at the endpoint's pace.
    pub(super) first_token_at: Millis,
    /// Prompt tokens to prefill before its first token, including those queued ahead of it.
    pub(super) prefill_tokens: u32,
    /// Prompt tokens that the endpoint had in its prefix cache, as far as the owner knows.
    pub(super) cached: u32,
    /// In-flight requests of the endpoint at dispatch, as a fraction of its concurrency.
    pub(super) load: f64,
    pub(super) side: Option<Side>,
    pub(super) class: DispatchClass,
    /// Its holder was told to cancel it in favour of tier 0.
    pub(super) preempted: bool,
    /// It was already counted as a silent sample because it is overdue.
    pub(super) counted_overdue: bool,
}

impl Running {
    /// Returns the id of the grant, if this owner issued it.
    pub(super) fn grant_id(&self) -> Option<id::Grant> {
        self.grant.as_ref().map(|grant| grant.grant)
    }
}

/// The rule under which an attempt was dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DispatchClass {
    /// In order of tiers and shares.
    Regular,
    /// Within the capacity fraction for aged requests.
    Aged,
    /// Alone on a reserved endpoint, because the request is suspected of crashing endpoints.
    Isolated,
}

/// The running attempts of a pool.
#[derive(Debug, Default)]
pub(super) struct RunningAttempts {
    attempts: HashMap<id::Attempt, Running>,
    by_tier: [u32; TIERS],
    aged: u32,
    /// Attempts whose release arrived before their holder's report or their acquire call.
    ended: VecDeque<id::Attempt>,
}

impl RunningAttempts {
    pub(super) fn insert(&mut self, running: Running) {
        self.by_tier[running.request.tier.index()] += 1;
        self.aged += u32::from(running.class == DispatchClass::Aged);
        self.attempts.insert(running.request.attempt, running);
    }

    /// Removes an attempt. An unknown attempt is remembered as ended.
    pub(super) fn remove(&mut self, attempt: id::Attempt) -> Option<Running> {
        let Some(running) = self.attempts.remove(&attempt) else {
            if ENDED_ATTEMPTS_MAX <= self.ended.len() {
                self.ended.pop_front();
            }
            self.ended.push_back(attempt);
            return None;
        };
        self.by_tier[running.request.tier.index()] -= 1;
        self.aged -= u32::from(running.class == DispatchClass::Aged);
        Some(running)
    }

    pub(super) fn contains(&self, attempt: id::Attempt) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// Returns whether the attempt is running or is known to have ended.
    pub(super) fn is_known(&self, attempt: id::Attempt) -> bool {
        self.contains(attempt) || self.has_ended(attempt)
    }

    /// Returns whether the attempt ended recently without a record of a grant here.
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

    /// Forgets the ended attempts. Holders send reports to new owners only.
    pub(super) fn forget_ended(&mut self) {
        self.ended.clear();
    }
}
