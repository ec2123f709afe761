//! The grants that this entry holds for its callers, from whichever owner.

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
    /// When the grant came, on the process's clock.
    since: Millis,
    preempt: Option<oneshot::Sender<()>>,
}

/// The grants in use, by attempt.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    held: HashMap<id::Attempt, Held>,
}

impl Holder {
    /// Notes a grant and returns it as the traffic thread needs it.
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

    /// Forgets a grant that ended.
    pub(crate) fn release(&mut self, attempt: id::Attempt) {
        self.held.remove(&attempt);
    }

    /// Tells the traffic thread that the owner takes a grant back.
    pub(crate) fn preempt(&mut self, attempt: id::Attempt) {
        let sender = self.held.get_mut(&attempt).and_then(|held| held.preempt.take());
        if sender.is_some_and(|sender| sender.send(()).is_err()) {
            tracing::debug!(%attempt, "the preempted attempt has started its answer");
        }
    }

    /// Returns what runs in a pool, for its new owner.
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
        Holdings { pool: pool.clone(), holder: holder.clone(), running }
    }
}
