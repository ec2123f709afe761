//! Attempts that ask again, since their holder has dropped the call in which they asked before.
//!
//! A holder that takes the owner for lost drops its calls, while the owner still has their tickets. It
//! takes a grant from the answer to one call only, so that an attempt may be answered by the same grant
//! again. Which call is the one that still counts is not known here, since calls on two connections may
//! arrive in any order.

use wasabi_protocol::{clock::Millis, id, rpc::Grant};

use super::{event::Action, owner::Pool, versions::Offer};

impl Pool {
    /// Returns the grant that an attempt was given here before and that still counts at its endpoint.
    ///
    /// A grant whose endpoint is gone or must get no more work is taken back, so that the attempt may
    /// start elsewhere.
    pub fn reissue_grant(&mut self, now: Millis, attempt: id::Attempt) -> Option<Grant> {
        let running = self.running.get_mut(attempt)?;
        let grant = running.grant.clone()?;
        let slot = self.endpoints.get_mut(&running.endpoint);
        let is_valid =
            slot.is_some_and(|slot| slot.running.contains(&attempt) && slot.offer != Offer::Never);
        if !is_valid {
            if let Some(running) = self.running.remove(attempt) {
                self.free(&running);
            }
            return None;
        }
        // The request is sent only now. An order to cancel it came too early and had no effect.
        let unused = now.since(running.started);
        running.started = running.started + unused;
        running.first_token_at = running.first_token_at + unused;
        running.preempted = false;
        Some(grant)
    }

    /// Ends the call in which an attempt waits; returns whether there was one.
    pub(super) fn discard(&mut self, attempt: id::Attempt, actions: &mut Vec<Action>) -> bool {
        let Some(ticket) = self.requests.ticket(attempt) else { return false };
        self.queue.remove(ticket);
        self.requests.remove(ticket);
        actions.push(Action::Discard { ticket });
        true
    }
}
