//! The pools of other entries as the requests that wait here approach them.

use std::{collections::HashMap, rc::Rc};

use tokio::sync::Notify;
use wasabi_protocol::{clock::Millis, contract::Tier, id};
use wasabi_routing::breaker::{Breaker, CallPermit, QueuePosition, Responder};

use crate::shell::Shell;

/// One pool.
#[derive(Debug, Default)]
struct Pool {
    approach: Breaker,
    /// Wakes the waiting requests before the end of their pause.
    changed: Rc<Notify>,
}

/// The pools that were asked for grants.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pools: HashMap<id::Pool, Pool>,
}

/// A request that waits for its turn at a pool. Dropping it takes it out.
pub(crate) struct Waiter<'a> {
    shell: &'a Shell,
    pool: &'a id::Pool,
    place: QueuePosition,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut approaches = self.shell.approaches.borrow_mut();
        if let Some(pool) = approaches.pools.get_mut(self.pool) {
            pool.approach.dequeue(self.place);
        }
    }
}

impl Shell {
    /// Adds a request that waits for its turn at a pool.
    pub(crate) fn wait_for_turn<'a>(
        &'a self,
        pool: &'a id::Pool,
        tier: Tier,
        arrived: Millis,
    ) -> Waiter<'a> {
        let mut approaches = self.approaches.borrow_mut();
        let place =
            approaches.pools.entry(pool.clone()).or_default().approach.enqueue(tier, arrived);
        Waiter { shell: self, pool, place }
    }

    /// Waits for the turn of a request to ask for a grant, for `longest` at most.
    pub(crate) async fn turn(&self, waiter: &Waiter<'_>, longest: Millis) -> Option<CallPermit> {
        let now = self.now();
        let (next, changed) = {
            let mut approaches = self.approaches.borrow_mut();
            let pool = approaches.pools.entry(waiter.pool.clone()).or_default();
            match pool.approach.try_call_queued(now, waiter.place, fastrand::f64()) {
                Ok(turn) => return Some(turn),
                Err(next) => (next, Rc::clone(&pool.changed)),
            }
        };
        let pause = next.since(now).min(longest);
        drop(tokio::time::timeout(pause.duration(), changed.notified()).await);
        None
    }

    /// Notes that an owner granted or refused what was asked in this turn.
    pub(crate) fn turn_answered(&self, pool: &id::Pool, turn: CallPermit, owner: &id::Entry) {
        let is_asked = self.asked_of(pool).as_ref() == Some(owner);
        let from = if is_asked { Responder::Current } else { Responder::Earlier };
        let mut approaches = self.approaches.borrow_mut();
        let Some(pool) = approaches.pools.get_mut(pool) else { return };
        if pool.approach.record_answer(turn, from) {
            pool.changed.notify_waiters();
        }
    }

    /// Notes that the asked entry is not the owner, or did not answer; `named` is the owner that it
    /// believes in.
    pub(crate) fn turn_failed(&self, name: &id::Pool, turn: CallPermit, named: Option<id::Entry>) {
        let now = self.now();
        let named = named.filter(|named| *named != self.shared.entry.name);
        let mut approaches = self.approaches.borrow_mut();
        let Some(pool) = approaches.pools.get_mut(name) else { return };
        if !pool.approach.record_failure(now, turn, named, fastrand::f64()) {
            return;
        }
        if let Some(named) = pool.approach.named_owner() {
            tracing::debug!(pool = %name, %named, "another owner is named");
            pool.changed.notify_waiters();
        }
    }

    /// Notes that this entry believes in another owner of a pool.
    pub(crate) fn owner_changed(&self, pool: &id::Pool) {
        let mut approaches = self.approaches.borrow_mut();
        if let Some(pool) = approaches.pools.get_mut(pool) {
            pool.approach.owner_changed(self.now());
            pool.changed.notify_waiters();
        }
    }

    /// Returns the entry to ask for grants of a pool and to give them back to: the owner that another
    /// entry named, or else the one that this entry believes in.
    pub(crate) fn asked_of(&self, pool: &id::Pool) -> Option<id::Entry> {
        let own = &self.shared.entry.name;
        let believed = self.owner_of(pool).map(|entry| entry.name);
        if believed.as_ref() == Some(own) {
            return believed;
        }
        let approaches = self.approaches.borrow();
        let named = approaches.pools.get(pool).and_then(|pool| pool.approach.named_owner());
        named.cloned().or(believed)
    }
}
