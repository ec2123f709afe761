//! How long a request may wait, and which ones are refused on arrival.

use wasabi_protocol::{
    clock::Millis,
    contract::Tier,
    fault::{Fault, Kind},
    request::Request,
};

use super::{event::Action, owner::Pool};

/// First-token targets that a request may wait.
const PATIENCE_TARGETS: u64 = 2;

/// Part of a request's whole time that it may wait, if that is more.
const PATIENCE_PART: u64 = 4;

/// Part of the time until its caller leaves that a request may wait: the first token takes its
/// time too, and the forecast may be wrong by half.
const LEAVING_PART: u64 = 2;

impl Pool {
    /// Returns the time after which there should be room for a request that would wait too long:
    /// its caller learns so at once and has most of its time left to come back, instead of waiting
    /// for a refusal.
    pub(super) fn crowded(&self, now: Millis, request: &Request) -> Option<Millis> {
        if self.is_new(now) {
            return None;
        }
        let wait = self.wait(request.tier);
        (patience(request) < wait).then_some(wait)
    }

    /// Refuses the requests that have waited for as long as they may while more work waits than
    /// starts within that time: those behind them would wait as long and be refused too.
    pub(super) fn refuse_crowded(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.is_new(now) {
            return;
        }
        for tier in Tier::all() {
            let wait = self.wait(tier);
            let tickets: Vec<_> = self
                .queue
                .by_arrival(tier)
                .map(|item| (item.ticket, item.arrived))
                .take_while(|(ticket, arrived)| {
                    self.requests.get(*ticket).is_some_and(|request| {
                        let patience = patience(request);
                        patience < now.since(*arrived) && patience < wait
                    })
                })
                .map(|(ticket, _)| ticket)
                .collect();
            for ticket in tickets {
                self.queue.remove(ticket);
                self.requests.remove(ticket);
                let message = "the request waited long and too much work still waits; nothing ran";
                let fault = Fault::new(Kind::Overloaded, message).after(wait);
                actions.push(Action::Refuse { ticket, fault });
            }
        }
    }

    /// Returns the time until a request of a tier that arrives now should start.
    pub(super) fn wait(&self, tier: Tier) -> Millis {
        let ahead = Tier::all().take(tier.index() + 1).map(|tier| self.queue.waiting(tier)).sum();
        self.forecast.wait(ahead, self.endpoints.capacity())
    }
}

/// Returns the longest time that a request waits for an endpoint, from its first arrival.
fn patience(request: &Request) -> Millis {
    let whole = request.waited + request.remaining;
    let patience = (PATIENCE_TARGETS * request.first_token.0).max(whole.0 / PATIENCE_PART);
    match request.leaves_after {
        Millis::ZERO => Millis(patience),
        Millis(after) => Millis(patience.min(after / LEAVING_PART)),
    }
}
