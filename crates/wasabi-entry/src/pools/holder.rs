//! The grants that this entry holds for its callers, from all owners.

use std::collections::HashMap;

use tokio::sync::oneshot;
use wasabi_protocol::{
    clock::Millis,
    id,
    request::Request,
    rpc::{Grant, Holdings, Running},
};

use crate::message::Granted;

/// A grant in use by a traffic thread.
#[derive(Debug)]
struct Held {
    pool: id::Pool,
    endpoint: id::Endpoint,
    request: Request,
    /// When the grant arrived, on the process's clock.
    since: Millis,
    preempt: Option<oneshot::Sender<()>>,
}

/// Pending attempts that a report to an owner lists at most, so that the report stays small.
const PENDING_ATTEMPTS_MAX: usize = 256;

/// The grants in use and the attempts that wait for one.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    held: HashMap<id::Attempt, Held>,
    /// The attempts that wait for a grant, with their pools.
    pending: HashMap<id::Attempt, id::Pool>,
}

impl Holder {
    /// Adds an attempt that waits for a grant, until [`Self::remove_pending`].
    pub(crate) fn add_pending(&mut self, attempt: id::Attempt, pool: id::Pool) {
        self.pending.insert(attempt, pool);
    }

    /// Removes an attempt that has its grant or no longer waits for one.
    pub(crate) fn remove_pending(&mut self, attempt: id::Attempt) {
        self.pending.remove(&attempt);
    }

    /// Stores a grant and returns it for the traffic thread.
    pub(crate) fn take(&mut self, now: Millis, grant: Grant, request: Request) -> Granted {
        let (preempt, preempted) = oneshot::channel();
        let held = Held {
            pool: grant.pool.clone(),
            endpoint: grant.endpoint.clone(),
            since: now,
            preempt: Some(preempt),
            request,
        };
        self.held.insert(held.request.attempt, held);
        Granted { grant, preempted }
    }

    /// Removes a grant that ended.
    pub(crate) fn release(&mut self, attempt: id::Attempt) {
        self.held.remove(&attempt);
    }

    /// Notifies the traffic thread that the owner revokes a grant.
    pub(crate) fn preempt(&mut self, attempt: id::Attempt) {
        let sender = self.held.get_mut(&attempt).and_then(|held| held.preempt.take());
        if sender.is_some_and(|sender| sender.send(()).is_err()) {
            tracing::debug!(%attempt, "preempted attempt has already started its answer");
        }
    }

    /// Returns the running and the pending attempts of a pool, for its new owner.
    pub(crate) fn holdings(&self, now: Millis, pool: &id::Pool, holder: &id::Entry) -> Holdings {
        let running = self
            .held
            .values()
            .filter(|held| held.pool == *pool)
            .map(|held| {
                let age = now.since(held.since);
                let mut request = held.request.clone();
                request.waited = request.waited + age;
                request.remaining = request.remaining - age;
                Running { request, endpoint: held.endpoint.clone() }
            })
            .collect();
        let asking = self.pending.iter().filter(|(_, asked)| *asked == pool);
        let asking: Vec<_> = asking.map(|(attempt, _)| *attempt).collect();
        let asking = (asking.len() <= PENDING_ATTEMPTS_MAX).then_some(asking);
        Holdings { pool: pool.clone(), holder: holder.clone(), running, asking }
    }
}
