//! Which waiting request starts next.

use wasabi_protocol::{clock::Millis, contract::Tier, fault::Kind, request::Request, rpc::Grant};
use wasabi_rollout::credit::Side;

use super::{
    choice::Choice,
    event::Action,
    owner::{Pool, refuse},
    running::{Mark, Running},
};

/// Waiting requests of one organisation that are tried before the next organisation.
const DEPTH: usize = 4;

/// Waiting requests of one tier that are tried in one decision. Most of the time the first one
/// can start; the others count when it is held back by a limit or by what it must avoid.
const TRIED: usize = 32;

/// Least bound on the silence before the first token, in milliseconds.
///
/// A batch that reads a long prompt holds up each first token by a second or more; giving up
/// sooner only sends the request to the end of another batch.
const FIRST_TOKEN_BOUND_MIN: Millis = Millis(2_000);

/// Aged requests that are tried in one decision.
const AGED_TRIED: usize = 4;

/// Part of the pool's capacity that aged work may use beside more urgent work.
pub(super) const AGED_PART: f64 = 0.05;

impl Pool {
    /// Starts waiting requests while endpoints have room, the most urgent tier first.
    pub(super) fn dispatch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let half = self.is_taking_over(now);
        self.dispatch_aged(now, half, actions);
        for tier in Tier::all() {
            while 0 < self.queue.waiting(tier) && self.has_room(half) {
                if !self.start_next(now, tier, half, actions) {
                    break;
                }
            }
        }
    }

    /// Starts or refuses one request of a tier; returns whether there was one.
    fn start_next(
        &mut self,
        now: Millis,
        tier: Tier,
        half: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let first = self.queue.candidates(tier, DEPTH).next().map(|item| item.ticket);
        if first.is_some_and(|ticket| self.try_start(now, ticket, half, actions)) {
            return true;
        }
        // Looking at more requests costs more than the first one, which can start as a rule.
        let candidates = self.queue.candidates(tier, DEPTH).skip(1).take(TRIED);
        let tickets: Vec<_> = candidates.map(|item| item.ticket).collect();
        tickets.into_iter().any(|ticket| self.try_start(now, ticket, half, actions))
    }

    /// Starts aged work of lower tiers within its reserved fraction, while more urgent work waits
    /// and none of that would miss its first-token target by it.
    fn dispatch_aged(&mut self, now: Millis, half: bool, actions: &mut Vec<Action>) {
        let capacity = f64::from(self.endpoints.capacity());
        let most = ((capacity * AGED_PART) as u32).max(1);
        if self.timers.aged_credit <= 0.0 || most <= self.running.aged() || !self.has_room(half) {
            return;
        }
        let patience = self.forecast.patience();
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
                .any(|due| due < now + patience);
            if is_risky {
                continue;
            }
            let tickets: Vec<_> = self
                .queue
                .by_arrival(tier)
                .take_while(|item| item.start_by < now)
                .take(AGED_TRIED)
                .map(|item| item.ticket)
                .collect();
            for ticket in tickets {
                if self.try_start_as(now, ticket, half, Mark::Aged, actions) {
                    return;
                }
            }
        }
    }

    /// Starts or refuses a waiting request; returns whether it no longer waits.
    fn try_start(
        &mut self,
        now: Millis,
        ticket: u64,
        half: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.try_start_as(now, ticket, half, Mark::Usual, actions)
    }

    fn try_start_as(
        &mut self,
        now: Millis,
        ticket: u64,
        half: bool,
        wanted: Mark,
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
        let (kind, message) = match self.choose(now, ticket, &request, half) {
            Choice::Later => {
                self.requests.insert(ticket, request);
                return false;
            }
            Choice::Now { index, side, mark } => {
                let mark = if mark == Mark::Usual { wanted } else { mark };
                self.start(now, ticket, request, Start { index, side, mark }, actions);
                return true;
            }
            Choice::Never => {
                (Kind::NoEndpoint, "the request failed on every endpoint that provides this now")
            }
            Choice::Quarantined => {
                (Kind::Quarantined, "the request crashed endpoints and is held back")
            }
        };
        self.queue.remove(ticket);
        refuse(actions, ticket, kind, message);
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
            let message = "this attempt already holds a grant, so it may have run";
            return refuse(actions, ticket, Kind::Internal, message);
        }
        let Some(item) = self.queue.start(ticket) else { return };
        self.budgets.start(now, &request);
        if how.mark == Mark::Alone {
            self.suspects.start_alone(request.fingerprint, request.attempt);
        }
        let slot = &mut self.endpoints.slots[how.index];
        let candidate = slot.candidate(now, &request, false);
        let own = request.prompt_tokens.saturating_sub(candidate.cached);
        let prefill_tokens = candidate.prefill_waiting.saturating_add(own);
        let load = f64::from(slot.in_flight()) / f64::from(slot.announcement.concurrency.max(1));
        let first_token = candidate.first_token_ms(request.prompt_tokens).ceil() as u64;
        slot.prefilled_at = now + Millis(first_token);
        slot.running.push(request.attempt);
        slot.urgent += u32::from(request.tier == Tier::TOP);
        slot.cache.record_sent(now, &request.prefix);
        if slot.probe_due {
            slot.probe_due = false;
            self.board.record_probe(now, &slot.announcement.name);
        }
        let grant = Grant {
            grant: self.next_grant,
            pool: self.name.clone(),
            owner: self.owner.clone(),
            endpoint: slot.announcement.name.clone(),
            address: slot.announcement.address.clone(),
            version: slot.announcement.version.clone(),
            resume: slot.announcement.abilities.resume,
            first_token_bound: self
                .board
                .first_token_bound(slot.name(), prefill_tokens)
                .max(FIRST_TOKEN_BOUND_MIN),
            between_tokens_bound: self.board.between_tokens_bound(slot.name()),
        };
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
            mark: how.mark,
            preempted: false,
            overdue: false,
            request,
        });
        actions.push(Action::Grant { ticket, grant });
    }
}

/// Where and by what right a request starts.
struct Start {
    index: usize,
    side: Option<Side>,
    mark: Mark,
}
