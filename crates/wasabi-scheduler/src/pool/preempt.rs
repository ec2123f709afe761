//! Cancelling a lower tier's request so that tier 0 meets its first-token target.

use wasabi_protocol::{clock::Millis, contract::Tier};
use wasabi_routing::pace::Standing;

use super::{
    event::Action,
    owner::Pool,
    running::{Mark, Running},
    versions::Offer,
};

impl Pool {
    /// Asks for the cancellation of one attempt when a tier-0 request would otherwise miss its
    /// first-token target.
    ///
    /// Only a repeatable attempt of a lower tier that should not have produced a token yet is
    /// cancelled, the youngest first, and no more of them at one time than tier-0 requests wait.
    pub(super) fn preempt(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(due) = self.queue.first_due(Tier::TOP) else { return };
        if now + self.forecast.patience() < due || self.has_room(self.is_taking_over(now)) {
            return;
        }
        let pending = self.running.values().filter(|running| running.preempted).count();
        if self.queue.waiting(Tier::TOP) <= pending {
            return;
        }
        // The freed place must be one that tier 0 may take, or the same work starts there again.
        let is_usable = |running: &Running| {
            self.endpoints.slots.iter().any(|slot| {
                *slot.name() == running.endpoint
                    && !slot.unreachable
                    && slot.standing == Standing::Normal
                    && slot.in_flight() <= slot.limit(false)
                    && !self.reserve.holds(slot.name())
                    && slot.offer == Offer::Proven
            })
        };
        let victim = self
            .running
            .values()
            .filter(|running| {
                running.request.tier != Tier::TOP
                    && running.request.idempotent
                    && running.grant.is_some()
                    && !running.preempted
                    && running.mark != Mark::Alone
                    && now < running.first_token_at
            })
            .filter(|running| is_usable(running))
            .max_by_key(|running| (running.started, running.request.tier, running.number()))
            .map(|running| running.request.attempt);
        let Some(running) = victim.and_then(|attempt| self.running.get_mut(attempt)) else {
            return;
        };
        running.preempted = true;
        if let Some(grant) = running.number() {
            actions.push(Action::Preempt { grant, attempt: running.request.attempt });
        }
    }
}
