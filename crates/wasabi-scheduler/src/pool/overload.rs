//! Overload control: maximum waiting times, and refusals on arrival or after a long wait.

use wasabi_protocol::{
    clock::Millis,
    contract::Tier,
    fault::{Fault, Kind},
    request::Request,
};

use super::{event::Action, owner::Pool};

/// Maximum wait of a request, as a multiple of its first-token target.
const WAIT_FIRST_TOKEN_TARGETS_MAX: u64 = 2;

/// A request may wait for its total time divided by this, if that is longer.
const WAIT_TOTAL_TIME_DIVISOR: u64 = 4;

/// A request may wait for at most the time until its caller disconnects, divided by this. The rest
/// covers the time to the first token and forecasts that are wrong by half.
const WAIT_DISCONNECT_DIVISOR: u64 = 2;

impl Pool {
    /// Returns the forecast wait of a request if it exceeds the maximum wait.
    ///
    /// Refusing on arrival leaves the caller most of its time to retry, instead of keeping it
    /// waiting for a refusal.
    pub(super) fn overload_wait(&self, now: Millis, request: &Request) -> Option<Millis> {
        if self.is_new_owner(now) {
            return None;
        }
        let wait = self.queue_wait(request.tier);
        (max_wait(request) < wait).then_some(wait)
    }

    /// Refuses requests that have exceeded their maximum wait while the forecast wait of new
    /// requests exceeds it as well. Otherwise the requests behind them would wait as long and be
    /// refused too.
    pub(super) fn refuse_overloaded(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.is_new_owner(now) {
            return;
        }
        for tier in Tier::all() {
            let wait = self.queue_wait(tier);
            let tickets: Vec<_> = self
                .queue
                .by_arrival(tier)
                .map(|item| (item.ticket, item.arrived))
                .take_while(|(ticket, arrived)| {
                    self.requests.get(*ticket).is_some_and(|request| {
                        let max_wait = max_wait(request);
                        max_wait < now.since(*arrived) && max_wait < wait
                    })
                })
                .map(|(ticket, _)| ticket)
                .collect();
            for ticket in tickets {
                self.queue.remove(ticket);
                self.requests.remove(ticket);
                let message =
                    "the request exceeded its maximum wait in an overloaded pool; it was not run";
                let fault = Fault::new(Kind::Overloaded, message).after(wait);
                actions.push(Action::Refuse { ticket, fault });
            }
        }
    }

    /// Returns the forecast wait of a request of a tier that arrives now.
    pub(super) fn queue_wait(&self, tier: Tier) -> Millis {
        let ahead = Tier::all().take(tier.index() + 1).map(|tier| self.queue.waiting(tier)).sum();
        self.forecast.queue_wait(ahead, self.usable_capacity())
    }
}

/// Returns the maximum time that a request waits for an endpoint, counted from its first arrival.
fn max_wait(request: &Request) -> Millis {
    let whole = request.waited + request.remaining;
    let max_wait = (WAIT_FIRST_TOKEN_TARGETS_MAX * request.first_token.0)
        .max(whole.0 / WAIT_TOTAL_TIME_DIVISOR);
    match request.leaves_after {
        Millis::ZERO => Millis(max_wait),
        Millis(after) => Millis(max_wait.min(after / WAIT_DISCONNECT_DIVISOR)),
    }
}
