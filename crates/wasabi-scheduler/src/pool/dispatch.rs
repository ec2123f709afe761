//! Which waiting request starts next, and on which endpoint.

use wasabi_protocol::{
    clock::Millis, contract::Tier, fault::Kind, id, request::Request, rpc::Grant,
};

use super::{
    endpoint::Slot,
    event::Action,
    owner::{Pool, Running, refuse},
};

/// Waiting requests of one organisation that are tried before the next organisation.
const DEPTH: usize = 4;

/// Longest silence before the first token that a grant allows, in milliseconds.
const FIRST_TOKEN_BOUND: Millis = Millis::from_secs(30);

/// Longest silence between tokens that a grant allows, in milliseconds.
const BETWEEN_TOKENS_BOUND: Millis = Millis::from_secs(5);

/// Where a request can run.
enum Choice {
    /// On this endpoint, now.
    Now(usize),
    /// Later: each endpoint that it may use is busy.
    Later,
    /// Nowhere: it already met each endpoint of the pool.
    Never,
}

impl Pool {
    /// Starts waiting requests while endpoints have room, the most urgent tier first.
    pub(super) fn dispatch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for tier in Tier::all() {
            while let Some((ticket, choice)) = self.next(now, tier) {
                self.queue_start(now, ticket, choice, actions);
            }
        }
    }

    /// Returns whether requests may go to an endpoint, apart from its load.
    pub(super) fn is_offered(&self, slot: &Slot) -> bool {
        !slot.unreachable && !self.config.banned.contains(&slot.announcement.version)
    }

    fn next(&self, now: Millis, tier: Tier) -> Option<(u64, Choice)> {
        if self.queue.waiting(tier) == 0 {
            return None;
        }
        self.queue.candidates(tier, DEPTH).find_map(|item| {
            let request = self.requests.get(&item.ticket)?;
            match self.choose(now, request) {
                Choice::Later => None,
                choice => Some((item.ticket, choice)),
            }
        })
    }

    fn choose(&self, now: Millis, request: &Request) -> Choice {
        let half = self.is_taking_over(now);
        let offered = || {
            let slots = self.endpoints.slots.iter().enumerate();
            slots.filter(|(_, slot)| self.is_offered(slot))
        };
        let allowed = |slot: &Slot| !request.avoid.contains(&slot.announcement.name);
        let free = offered()
            .filter(|(_, slot)| allowed(slot) && slot.in_flight() < slot.limit(half))
            .min_by_key(|(_, slot)| slot.in_flight());
        if let Some((index, _)) = free {
            return Choice::Now(index);
        }
        let has_endpoint = offered().next().is_some();
        if has_endpoint && !offered().any(|(_, slot)| allowed(slot)) {
            return Choice::Never;
        }
        Choice::Later
    }

    fn queue_start(&mut self, now: Millis, ticket: u64, choice: Choice, actions: &mut Vec<Action>) {
        let Choice::Now(index) = choice else {
            self.queue.remove(ticket);
            self.requests.remove(&ticket);
            let message = "the request failed on every endpoint that provides this now";
            refuse(actions, ticket, Kind::NoEndpoint, message);
            return;
        };
        let Some(item) = self.queue.start(ticket) else { return };
        let Some(request) = self.requests.remove(&ticket) else { return };
        let slot = &mut self.endpoints.slots[index];
        slot.running.push(request.attempt);
        let grant = Grant {
            grant: self.next_grant,
            pool: self.name.clone(),
            owner: self.owner.clone(),
            endpoint: slot.announcement.name.clone(),
            address: slot.announcement.address.clone(),
            version: slot.announcement.version.clone(),
            resume: slot.announcement.abilities.resume,
            first_token_bound: FIRST_TOKEN_BOUND,
            between_tokens_bound: BETWEEN_TOKENS_BOUND,
        };
        self.next_grant = id::Grant::next(self.next_grant);
        let running = Running {
            endpoint: grant.endpoint.clone(),
            tier: request.tier,
            deadline: item.deadline,
        };
        self.running.insert(request.attempt, running);
        self.last_started[item.tier.index()] = Some(now);
        actions.push(Action::Grant { ticket, grant });
    }
}
