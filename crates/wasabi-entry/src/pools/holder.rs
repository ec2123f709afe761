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

/// Most attempts without a grant that an owner is told of, so that a report stays small.
const ASKING_MAX: usize = 256;

/// The grants in use and the attempts that ask for one.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    held: HashMap<id::Attempt, Held>,
    /// The attempts without a grant, with the pool that they ask.
    asking: HashMap<id::Attempt, id::Pool>,
}

impl Holder {
    /// Notes that an attempt asks for a grant, until [`Self::asks_no_more`].
    pub(crate) fn asks(&mut self, attempt: id::Attempt, pool: id::Pool) {
        self.asking.insert(attempt, pool);
    }

    /// Notes that an attempt has its grant or asks no more.
    pub(crate) fn asks_no_more(&mut self, attempt: id::Attempt) {
        self.asking.remove(&attempt);
    }

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

    /// Returns what runs in a pool and what asks for a grant there, for its new owner.
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
        let asking = self.asking.iter().filter(|(_, asked)| *asked == pool);
        let asking: Vec<_> = asking.map(|(attempt, _)| *attempt).collect();
        let asking = (asking.len() <= ASKING_MAX).then_some(asking);
        Holdings { pool: pool.clone(), holder: holder.clone(), running, asking }
    }
}
