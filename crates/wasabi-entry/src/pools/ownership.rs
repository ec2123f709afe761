//! Forwards announcements and departures of endpoints to pool owners, and moves pools between owners.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use jsonrpsee::rpc_params;
use wasabi_protocol::{
    command::Entry,
    endpoint::Announcement,
    id,
    rpc::{Departure, method},
};
use wasabi_routing::rendezvous;
use wasabi_scheduler::pool::Event;

use crate::shell::Shell;

/// Entries that get the announcements of a pool's endpoints: the owner and the one after it.
const REGISTRIES: usize = 2;

/// Timeout for a pool's owner to acknowledge a departure. Control waits 900 ms for the answers of all
/// entries that it asks.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(800);

impl Shell {
    /// Forwards an announcement to the owners of its pools, also through a relay where this entry
    /// cannot reach the first owner: entries that can reach it still consider it the owner.
    pub(crate) fn announce(self: &Rc<Self>, announcement: &Announcement) {
        self.announce_to_owners(announcement);
        let pool = self.pool_of(&announcement.backend, &announcement.name);
        if let Some(entry) = self.relay_to_owner(&pool) {
            self.notify(entry, method::ANNOUNCE_THROUGH, rpc_params![announcement]);
        }
    }

    /// Returns an entry that may reach the first owner of a pool when this one cannot.
    fn relay_to_owner(&self, pool: &id::Pool) -> Option<id::Entry> {
        let in_force = self.shared.in_force();
        let (now, peers) = (self.now(), self.peers.borrow());
        let own = &self.shared.entry.name;
        let is_live = |name: &id::Entry| peers.is_live(now, name);
        let relays = rendezvous::relays(pool, &in_force.config.view, own, is_live);
        fastrand::choice(relays).map(|entry| entry.name.clone())
    }

    pub(crate) fn announce_to_owners(self: &Rc<Self>, announcement: &Announcement) {
        if self.standby.borrow().has_left(self.now(), announcement) {
            return;
        }
        let pool = self.pool_of(&announcement.backend, &announcement.name);
        // The next owner gets it too, so that it can take over at once.
        let owners = self.registries_of(&pool);
        if owners.is_empty() {
            // Before the first view names an entry, this one keeps it for the later owner.
            self.standby.borrow_mut().announce(self.now(), &pool, announcement);
        }
        for entry in owners {
            if entry.name == self.shared.entry.name {
                self.announce_local(announcement.clone());
            } else {
                self.notify(entry.name, method::ANNOUNCE, rpc_params![announcement]);
            }
        }
    }

    /// Returns the owner of a pool and the one after it, and the entries that will take these places
    /// once they have been ready for long enough.
    fn registries_of(&self, pool: &id::Pool) -> Vec<Entry> {
        let mut entries = self.owners_of(pool, REGISTRIES);
        let (now, peers, own) = (self.now(), self.peers.borrow(), &self.shared.entry.name);
        let live =
            self.ranked(pool).filter(|entry| entry.name == *own || peers.is_live(now, &entry.name));
        for entry in live.take(REGISTRIES) {
            if entries.iter().all(|known| known.name != entry.name) {
                entries.push(entry);
            }
        }
        entries
    }

    pub(crate) fn announce_local(self: &Rc<Self>, announcement: Announcement) {
        let now = self.now();
        let pool = self.pool_of(&announcement.backend, &announcement.name);
        if !self.is_owner(&pool) {
            self.standby.borrow_mut().announce(now, &pool, &announcement);
            return;
        }
        self.own(&pool, &announcement.backend);
        let event = Event::Announce(announcement);
        let effects = self.pools.borrow_mut().step(now, &pool, event);
        self.perform(effects);
    }

    /// Forwards that an endpoint leaves, as [`Self::announce`] does. The future returns whether the
    /// owners of all pools that this entry can reach acknowledged it.
    ///
    /// The pools of this entry have applied it when this function returns: it must not undo a later
    /// announcement of the endpoint.
    pub(crate) fn leave(
        self: &Rc<Self>,
        endpoint: id::Endpoint,
    ) -> impl Future<Output = bool> + 'static {
        for pool in self.possible_pools(&endpoint) {
            if let Some(entry) = self.relay_to_owner(&pool) {
                self.notify(entry, method::LEAVE_THROUGH, rpc_params![&endpoint]);
            }
        }
        self.leave_to_owners(endpoint)
    }

    /// Returns the pools that an endpoint of this name may belong to: one of each backend.
    fn possible_pools(&self, endpoint: &id::Endpoint) -> HashSet<id::Pool> {
        let backends: HashSet<_> = self.configured_pools().into_values().collect();
        backends.iter().map(|backend| self.pool_of(backend, endpoint)).collect()
    }

    /// Notifies every coordinator that an endpoint leaves, since only its name is known and not its
    /// pool. The future returns whether the owners of all pools acknowledged it: an endpoint whose
    /// departure is acknowledged gets no new work after a few seconds.
    pub(crate) fn leave_to_owners(
        self: &Rc<Self>,
        endpoint: id::Endpoint,
    ) -> impl Future<Output = bool> + 'static {
        self.leave_local(&endpoint);
        let own = &self.shared.entry.name;
        let pools = self.possible_pools(&endpoint);
        let owners = pools.iter().filter_map(|pool| self.owner_of(pool));
        let mut owners: HashSet<_> = owners.map(|entry| entry.name).collect();
        let in_force = self.shared.in_force();
        let coordinators = rendezvous::coordinators(&in_force.config.view);
        let mut others: HashSet<_> =
            coordinators.into_iter().map(|entry| entry.name.clone()).collect();
        others.extend(pools.iter().flat_map(|pool| self.registries_of(pool)).map(|one| one.name));
        for entry in others {
            if entry != *own && !owners.contains(&entry) {
                self.notify(entry, method::LEAVE, rpc_params![&endpoint]);
            }
        }
        owners.remove(own);
        // Without a configuration neither the pools nor their owners are known.
        let are_known = !pools.is_empty();
        let shell = Rc::clone(self);
        async move {
            let calls = owners.iter().map(|owner| shell.notify_leave(owner, &endpoint));
            let acknowledged = futures_util::future::join_all(calls).await;
            are_known && acknowledged.into_iter().all(|is_acknowledged| is_acknowledged)
        }
    }

    /// Notifies the owner of a pool that an endpoint leaves; returns whether it acknowledged that.
    async fn notify_leave(&self, owner: &id::Entry, endpoint: &id::Endpoint) -> bool {
        let call = self.call(owner, method::LEAVE, rpc_params![endpoint]);
        let is_acknowledged = tokio::time::timeout(LEAVE_TIMEOUT, call).await.unwrap_or(false);
        if !is_acknowledged {
            tracing::warn!(
                %endpoint,
                %owner,
                "pool owner did not acknowledge the departure of an endpoint"
            );
        }
        is_acknowledged
    }

    pub(crate) fn leave_local(self: &Rc<Self>, endpoint: &id::Endpoint) {
        let now = self.now();
        self.standby.borrow_mut().leave(now, endpoint);
        let event = || Event::Leave { endpoint: endpoint.clone() };
        let effects = self.pools.borrow_mut().step_all(now, event);
        // The owned pools know the incarnation that left.
        let pools = self.pools.borrow();
        for pool in pools.names() {
            self.standby.borrow_mut().merge_departed(now, &pools.departed_of(now, &pool));
        }
        drop(pools);
        self.perform(effects);
    }

    /// Reports that an endpoint leaves to the owner of its pool and to the entries that may own the
    /// pool next.
    pub(crate) fn report_departure(self: &Rc<Self>, pool: &id::Pool, departure: Departure) {
        let left = [departure];
        self.merge_departed(&left);
        let registries = self.registries_of(pool).into_iter().map(|entry| entry.name);
        let mut entries: HashSet<_> = registries.chain(self.owner_to_call(pool)).collect();
        entries.remove(&self.shared.entry.name);
        for entry in entries {
            self.notify(entry, method::LEFT, rpc_params![&left]);
        }
    }

    /// Merges the endpoints that left before this entry owned their pools.
    pub(crate) fn merge_departed(self: &Rc<Self>, left: &[Departure]) {
        let now = self.now();
        self.standby.borrow_mut().merge_departed(now, left);
        let effects = self.pools.borrow_mut().step_all(now, || Event::Departed(left));
        self.perform(effects);
    }

    /// Returns the pools of the backends that the configuration in force names.
    pub(crate) fn configured_pools(&self) -> HashMap<id::Pool, id::Backend> {
        let in_force = self.shared.in_force();
        let contracts = in_force.config.contracts.iter().flat_map(|contract| &contract.routes);
        let of_contracts = contracts.map(|route| route.target.backend());
        let of_site = in_force.config.site.iter().flat_map(|site| &site.backends);
        let mut configured = HashMap::new();
        for backend in of_contracts.chain(of_site.map(|backend| &backend.name)) {
            for pool in self.pools_of(backend) {
                configured.entry(pool).or_insert_with(|| backend.clone());
            }
        }
        configured
    }

    /// Applies changes of pool owners: gives up pools, takes pools over, and reports running attempts
    /// to the new owners.
    pub(crate) fn reconcile_owners(self: &Rc<Self>) {
        let in_force = self.shared.in_force();
        let own = &self.shared.entry.name;
        let configured = self.configured_pools();
        let owned = self.pools.borrow().names();
        for pool in owned {
            let Some(owner) = self.owner_of(&pool) else { continue };
            if owner.name == *own {
                let is_replaced = !configured.contains_key(&pool)
                    && configured.keys().any(|other| rendezvous::are_shards_of_one(&pool, other));
                if is_replaced {
                    // The number of shards changed, and others have its endpoints now.
                    self.pools.borrow_mut().disown(&pool, in_force.config.view.number, own);
                }
                continue;
            }
            let endpoints = self.pools.borrow().endpoints_of(&pool);
            for announcement in &endpoints {
                self.notify(owner.name.clone(), method::ANNOUNCE, rpc_params![announcement]);
                self.standby.borrow_mut().announce(self.now(), &pool, announcement);
            }
            let now = self.now();
            let left = self.pools.borrow().departed_of(now, &pool);
            self.standby.borrow_mut().merge_departed(now, &left);
            self.pools.borrow_mut().disown(&pool, in_force.config.view.number, &owner.name);
        }
        let mut uninformed = self.added_registries(configured.keys());
        for (pool, backend) in configured {
            let Some(owner) = self.owner_of(&pool) else { continue };
            let before = self.owners.borrow_mut().insert(pool.clone(), owner.name.clone());
            if before.as_ref() == Some(&owner.name) {
                continue;
            }
            if let Some(before) = before {
                tracing::info!(%pool, owner = %owner.name, %before, "owner of the pool changed");
                self.owner_changed(&pool);
            }
            self.report_rates_to(&owner.name, &pool);
            let holdings = self.holder.borrow().holdings(self.now(), &pool, own);
            if owner.name == *own {
                self.own(&pool, &backend);
                let now = self.now();
                let event = Event::Holdings(holdings);
                let effects = self.pools.borrow_mut().step(now, &pool, event);
                self.perform(effects);
            } else {
                self.notify(owner.name.clone(), method::REPORT, rpc_params![holdings]);
                uninformed.insert(owner.name);
            }
        }
        // These entries may not know of a departure, and late announcements may still arrive.
        let left = self.standby.borrow().departed(self.now());
        for entry in uninformed.into_iter().filter(|_| !left.is_empty()) {
            self.notify(entry, method::LEFT, rpc_params![&left]);
        }
    }

    /// Returns the entries that did not get the announcements of endpoints before, and stores the
    /// current ones.
    fn added_registries<'a>(
        &self,
        pools: impl Iterator<Item = &'a id::Pool>,
    ) -> HashSet<id::Entry> {
        let own = &self.shared.entry.name;
        let all = pools.flat_map(|pool| self.registries_of(pool));
        let others = all.filter(|entry| entry.name != *own);
        let registries: HashSet<_> = others.map(|entry| (entry.name, entry.started)).collect();
        let before = self.registries.replace(registries.clone());
        registries.difference(&before).map(|(name, _)| name.clone()).collect()
    }
}
