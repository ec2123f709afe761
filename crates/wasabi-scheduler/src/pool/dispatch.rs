//! Dispatch of waiting requests.

use wasabi_protocol::{
    clock::Millis,
    contract::Tier,
    fault::{Fault, Kind},
    request::Request,
    rpc::Grant,
};
use wasabi_rollout::credit::Side;

use super::{
    crash::Note,
    event::Action,
    owner::{Pool, refuse},
    running::{DispatchClass, Running},
    selection::Choice,
};

/// Waiting requests of one organisation that are tried before moving on to the next organisation.
const CANDIDATES_PER_ORGANISATION: usize = 4;

/// Waiting requests of one tier that are tried in one decision.
///
/// Usually the first one can start. The others matter when a limit or its avoid list holds it back.
const CANDIDATES_PER_DECISION: usize = 32;

/// Minimum timeout for the first token.
///
/// The prefill of a long prompt delays every other first token of its batch by a second or more.
/// Giving up sooner only moves the request to the end of another batch.
const FIRST_TOKEN_TIMEOUT_MIN: Millis = Millis(2_000);

/// Aged requests of one tier that are tried in one decision.
const AGED_CANDIDATES_PER_DECISION: usize = 4;

/// Fraction of the pool's capacity that aged requests may use while more urgent ones wait.
pub(super) const AGED_CAPACITY_FRACTION: f64 = 0.05;

impl Pool {
    /// Starts waiting requests while endpoints have room, in order of tiers.
    pub(super) fn dispatch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let halve_limits = self.is_taking_over(now);
        self.dispatch_aged(now, halve_limits, actions);
        for tier in Tier::all() {
            while 0 < self.queue.waiting(tier) && self.has_room(now, halve_limits) {
                if !self.start_next(now, tier, halve_limits, actions) {
                    break;
                }
            }
        }
    }

    /// Starts or refuses one request of a tier. Returns whether one was found.
    fn start_next(
        &mut self,
        now: Millis,
        tier: Tier,
        halve_limits: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let first =
            self.queue.candidates(tier, CANDIDATES_PER_ORGANISATION).next().map(|item| item.ticket);
        if first.is_some_and(|ticket| self.try_start(now, ticket, halve_limits, actions)) {
            return true;
        }
        // The first request can usually start, and collecting further candidates is more expensive.
        let candidates = self
            .queue
            .candidates(tier, CANDIDATES_PER_ORGANISATION)
            .skip(1)
            .take(CANDIDATES_PER_DECISION);
        let tickets: Vec<_> = candidates.map(|item| item.ticket).collect();
        tickets.into_iter().any(|ticket| self.try_start(now, ticket, halve_limits, actions))
    }

    /// Starts an aged request of a lower tier within the reserved fraction while more urgent
    /// requests wait, unless one of those could miss its first-token target because of it.
    fn dispatch_aged(&mut self, now: Millis, halve_limits: bool, actions: &mut Vec<Action>) {
        let capacity = f64::from(self.endpoints.capacity());
        let most = ((capacity * AGED_CAPACITY_FRACTION) as u32).max(1);
        if self.timers.aged_credit <= 0.0
            || most <= self.running.aged()
            || !self.has_room(now, halve_limits)
        {
            return;
        }
        let slot_wait = self.forecast.slot_wait();
        let oldest = |tier: &Tier| self.queue.by_arrival(*tier).next().map(|item| item.arrived);
        let mut tiers: Vec<_> = Tier::all().skip(1).filter(|tier| oldest(tier).is_some()).collect();
        tiers.sort_by_key(oldest);
        for tier in tiers {
            let higher = || Tier::all().take(tier.index());
            if higher().all(|higher| self.queue.waiting(higher) == 0) {
                continue;
            }
            let is_risky = higher()
                .filter_map(|higher| self.queue.first_due(higher))
                .any(|due| due < now + slot_wait);
            if is_risky {
                continue;
            }
            let tickets: Vec<_> = self
                .queue
                .by_arrival(tier)
                .take_while(|item| item.start_by < now)
                .take(AGED_CANDIDATES_PER_DECISION)
                .map(|item| item.ticket)
                .collect();
            for ticket in tickets {
                if self.try_start_as(now, ticket, halve_limits, DispatchClass::Aged, actions) {
                    return;
                }
            }
        }
    }

    /// Starts or refuses a waiting request. Returns whether it has left the queue.
    fn try_start(
        &mut self,
        now: Millis,
        ticket: u64,
        halve_limits: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.try_start_as(now, ticket, halve_limits, DispatchClass::Regular, actions)
    }

    fn try_start_as(
        &mut self,
        now: Millis,
        ticket: u64,
        halve_limits: bool,
        default_class: DispatchClass,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(request) = self.requests.remove(ticket) else {
            self.queue.remove(ticket);
            return true;
        };
        if !self.budgets.may_start(now, &request.organisation) {
            self.requests.insert(ticket, request);
            return false;
        }
        let fault = match self.choose(now, ticket, &request, halve_limits) {
            Choice::Later => {
                self.requests.insert(ticket, request);
                return false;
            }
            Choice::Now { index, side, class } => {
                let class = if class == DispatchClass::Regular { default_class } else { class };
                self.start(now, ticket, request, Start { index, side, class }, actions);
                return true;
            }
            Choice::AllAvoided => {
                let message = "the request failed on every endpoint of this model or service";
                Fault::new(Kind::NoEndpoint, message)
            }
            Choice::AllClosed(opens_in) => {
                let message = "no endpoint of this model or service accepts requests now";
                Fault::new(Kind::Overloaded, message).after(opens_in)
            }
            Choice::Quarantined => self.refuse_poison(now, &request).unwrap_or_else(|| {
                let message = "the request is quarantined because it crashed endpoints";
                Fault::new(Kind::Quarantined, message)
            }),
        };
        self.queue.remove(ticket);
        actions.push(Action::Refuse { ticket, fault });
        true
    }

    fn start(
        &mut self,
        now: Millis,
        ticket: u64,
        request: Request,
        how: Start,
        actions: &mut Vec<Action>,
    ) {
        if self.running.contains(request.attempt) {
            self.queue.remove(ticket);
            let message = "the attempt already holds a grant, so it may have run";
            return refuse(actions, ticket, Kind::Internal, message);
        }
        let Some(item) = self.queue.start(ticket) else { return };
        self.budgets.start(now, &request);
        if how.class == DispatchClass::Isolated {
            self.suspects.start_alone(request.fingerprint, request.attempt);
            self.poison.start_trial(now, &request.parts);
            let queued = request.remaining - item.deadline.since(now);
            let endpoint = self.endpoints.list[how.index].name().clone();
            self.note(Note::Isolated { endpoint, suspect: request.fingerprint, queued });
        }
        let endpoint = &mut self.endpoints.list[how.index];
        let candidate = endpoint.candidate(now, &request, false);
        let own = request.prompt_tokens.saturating_sub(candidate.cached);
        let prefill_tokens = candidate.prefill_waiting.saturating_add(own);
        let load =
            f64::from(endpoint.in_flight()) / f64::from(endpoint.announcement.concurrency.max(1));
        let first_token = candidate.first_token_ms(request.prompt_tokens).ceil() as u64;
        endpoint.prefill_done_at = now + Millis(first_token);
        endpoint.running.push(request.attempt);
        endpoint.tier0_running += u32::from(request.tier == Tier::TOP);
        endpoint.cache.record_sent(now, &request.prefix);
        if endpoint.probe_due {
            endpoint.probe_due = false;
            self.pace_tracker.record_probe(now, &endpoint.announcement.name);
        }
        let grant = Grant {
            grant: self.next_grant,
            pool: self.name.clone(),
            owner: self.owner.clone(),
            endpoint: endpoint.announcement.name.clone(),
            incarnation: endpoint.announcement.incarnation,
            rate: self.rates.named(
                now,
                &endpoint.announcement.name,
                endpoint.announcement.incarnation,
            ),
            address: endpoint.announcement.address.clone(),
            version: endpoint.announcement.version.clone(),
            resume: endpoint.announcement.abilities.resume,
            first_token_bound: self
                .pace_tracker
                .first_token_bound(endpoint.name(), prefill_tokens)
                .max(FIRST_TOKEN_TIMEOUT_MIN),
            between_tokens_bound: self.pace_tracker.between_tokens_bound(endpoint.name()),
        };
        self.rates.take(now, &grant.endpoint, grant.incarnation);
        self.next_grant = self.next_grant.next();
        self.last_started[request.tier.index()] = Some(now);
        self.running.insert(Running {
            grant: Some(grant.clone()),
            endpoint: grant.endpoint.clone(),
            started: now,
            deadline: item.deadline,
            first_token_at: now + Millis(first_token),
            prefill_tokens,
            cached: candidate.cached,
            load,
            side: how.side,
            class: how.class,
            preempted: false,
            counted_overdue: false,
            request,
        });
        actions.push(Action::Grant { ticket, grant });
    }
}

/// How a request starts.
struct Start {
    index: usize,
    side: Option<Side>,
    class: DispatchClass,
}
