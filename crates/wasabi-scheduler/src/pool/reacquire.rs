//! Repeated acquire calls of one attempt.
//!
//! A holder that considers the owner lost drops its calls, while the owner still holds their
//! tickets. When it repeats a call, the same grant can be returned again, since the holder accepts
//! a grant from the answer to one call only. The owner cannot tell which call is current, because
//! calls on different connections may arrive in any order.

use wasabi_protocol::{clock::Millis, id, rpc::Grant};

use super::{event::Action, owner::Pool, versions::Eligibility};

impl Pool {
    /// Returns the grant that this owner already issued to an attempt, if it is still valid.
    ///
    /// A grant whose endpoint is gone or excluded is revoked, so the attempt can start elsewhere.
    pub fn reissue_grant(&mut self, now: Millis, attempt: id::Attempt) -> Option<Grant> {
        let running = self.running.get_mut(attempt)?;
        let grant = running.grant.clone()?;
        let endpoint = self.endpoints.get_mut(&running.endpoint);
        let is_valid = endpoint.is_some_and(|endpoint| {
            endpoint.running.contains(&attempt) && endpoint.eligibility != Eligibility::Excluded
        });
        if !is_valid {
            if let Some(running) = self.running.remove(attempt) {
                self.free(&running);
            }
            return None;
        }
        // The request is sent only now, so its times start here. A preemption sent earlier reached
        // no running attempt and had no effect.
        let unused = now.since(running.started);
        running.started = running.started + unused;
        running.first_token_at = running.first_token_at + unused;
        running.preempted = false;
        Some(grant)
    }

    /// Drops the waiting call of an attempt. Returns whether there was one.
    pub(super) fn discard(&mut self, attempt: id::Attempt, actions: &mut Vec<Action>) -> bool {
        let Some(ticket) = self.requests.ticket(attempt) else { return false };
        self.queue.remove(ticket);
        self.requests.remove(ticket);
        actions.push(Action::Discard { ticket });
        true
    }
}
