//! Preemption of lower-tier requests in favour of tier 0.

use wasabi_protocol::{clock::Millis, contract::Tier};
use wasabi_routing::pace::Standing;

use super::{
    event::Action,
    owner::Pool,
    running::{DispatchClass, Running},
    versions::Eligibility,
};

impl Pool {
    /// Preempts one attempt if a tier-0 request would otherwise miss its first-token target.
    ///
    /// Only idempotent attempts of lower tiers that are not expected to have produced a token yet
    /// are preempted, the youngest first, and no more of them at a time than tier-0 requests wait.
    pub(super) fn preempt(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(due) = self.queue.first_due(Tier::TOP) else { return };
        if now + self.forecast.slot_wait() < due || self.has_room(now, self.is_taking_over(now)) {
            return;
        }
        let pending = self.running.values().filter(|running| running.preempted).count();
        if self.queue.waiting(Tier::TOP) <= pending {
            return;
        }
        // The freed capacity must be usable for tier 0, or lower-tier requests would take it again.
        let is_usable = |running: &Running| {
            self.endpoints.list.iter().any(|endpoint| {
                *endpoint.name() == running.endpoint
                    && !endpoint.unreachable
                    && self.is_rate_open(now, endpoint)
                    && endpoint.standing == Standing::Normal
                    && endpoint.in_flight() <= endpoint.limit(false)
                    && !self.reservation.holds(endpoint.name())
                    && endpoint.eligibility == Eligibility::Proven
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
                    && running.class != DispatchClass::Isolated
                    && now < running.first_token_at
            })
            .filter(|running| is_usable(running))
            .max_by_key(|running| (running.started, running.request.tier, running.grant_id()))
            .map(|running| running.request.attempt);
        let Some(running) = victim.and_then(|attempt| self.running.get_mut(attempt)) else {
            return;
        };
        running.preempted = true;
        if let Some(grant) = running.grant_id() {
            actions.push(Action::Preempt { grant, attempt: running.request.attempt });
        }
    }
}
