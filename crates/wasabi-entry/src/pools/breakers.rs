//! Circuit breakers for calls to pools that other entries own.

use std::{collections::HashMap, rc::Rc};

use tokio::sync::Notify;
use wasabi_protocol::{clock::Millis, contract::Tier, id};
use wasabi_routing::breaker::{Breaker, CallPermit, QueuePosition, Responder};

use crate::shell::Shell;

/// The breaker of one pool.
#[derive(Debug, Default)]
struct Pool {
    breaker: Breaker,
    /// Wakes the waiting requests before their delay ends.
    changed: Rc<Notify>,
}

/// The breakers of the pools that were called for grants.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pools: HashMap<id::Pool, Pool>,
}

/// A request that waits for a call permit of a pool. Dropping it removes the request from the queue.
pub(crate) struct Waiter<'a> {
    shell: &'a Shell,
    pool: &'a id::Pool,
    position: QueuePosition,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut breakers = self.shell.breakers.borrow_mut();
        if let Some(pool) = breakers.pools.get_mut(self.pool) {
            pool.breaker.dequeue(self.position);
        }
    }
}

impl Shell {
    /// Queues a request for a call permit of a pool.
    pub(crate) fn enqueue_call<'a>(
        &'a self,
        pool: &'a id::Pool,
        tier: Tier,
        arrived: Millis,
    ) -> Waiter<'a> {
        let mut breakers = self.breakers.borrow_mut();
        let position =
            breakers.pools.entry(pool.clone()).or_default().breaker.enqueue(tier, arrived);
        Waiter { shell: self, pool, position }
    }

    /// Waits for the permit of a request to call the pool's owner: until the next attempt is due,
    /// but not longer than `timeout`. Returns none when the request has to try again.
    pub(crate) async fn call_permit(
        &self,
        waiter: &Waiter<'_>,
        timeout: Millis,
    ) -> Option<CallPermit> {
        let now = self.now();
        let (next, changed) = {
            let mut breakers = self.breakers.borrow_mut();
            let pool = breakers.pools.entry(waiter.pool.clone()).or_default();
            match pool.breaker.try_call_queued(now, waiter.position, fastrand::f64()) {
                Ok(permit) => return Some(permit),
                Err(next) => (next, Rc::clone(&pool.changed)),
            }
        };
        let delay = next.since(now).min(timeout);
        drop(tokio::time::timeout(delay.duration(), changed.notified()).await);
        None
    }

    /// Records that an owner answered the call of a permit with a grant or a refusal.
    pub(crate) fn permit_answered(&self, pool: &id::Pool, permit: CallPermit, owner: &id::Entry) {
        let is_current = self.owner_to_call(pool).as_ref() == Some(owner);
        let from = if is_current { Responder::Current } else { Responder::Earlier };
        let mut breakers = self.breakers.borrow_mut();
        let Some(pool) = breakers.pools.get_mut(pool) else { return };
        if pool.breaker.record_answer(permit, from) {
            pool.changed.notify_waiters();
        }
    }

    /// Records that the called entry is not the owner, or did not answer; `named` is the entry that
    /// it considers the owner.
    pub(crate) fn permit_failed(
        &self,
        name: &id::Pool,
        permit: CallPermit,
        named: Option<id::Entry>,
    ) {
        let now = self.now();
        let named = named.filter(|named| *named != self.shared.entry.name);
        let mut breakers = self.breakers.borrow_mut();
        let Some(pool) = breakers.pools.get_mut(name) else { return };
        if !pool.breaker.record_failure(now, permit, named, fastrand::f64()) {
            return;
        }
        if let Some(named) = pool.breaker.named_owner() {
            tracing::debug!(pool = %name, %named, "called entry named another owner");
            pool.changed.notify_waiters();
        }
    }

    /// Records that this entry considers another entry the owner of a pool than before.
    pub(crate) fn owner_changed(&self, pool: &id::Pool) {
        let mut breakers = self.breakers.borrow_mut();
        if let Some(pool) = breakers.pools.get_mut(pool) {
            pool.breaker.owner_changed(self.now());
            pool.changed.notify_waiters();
        }
    }

    /// Returns the entry to call for grants of a pool and for their releases: the owner that another
    /// entry named, or else the one according to this entry.
    pub(crate) fn owner_to_call(&self, pool: &id::Pool) -> Option<id::Entry> {
        let own = &self.shared.entry.name;
        let local = self.owner_of(pool).map(|entry| entry.name);
        if local.as_ref() == Some(own) {
            return local;
        }
        let breakers = self.breakers.borrow();
        let named = breakers.pools.get(pool).and_then(|pool| pool.breaker.named_owner());
        named.cloned().or(local)
    }
}
