//! The pools that the endpoints of a model are split into, and the entries that own them.

use std::{collections::HashMap, rc::Rc};

use wasabi_protocol::{
    command::Entry,
    contract::Tier,
    fault::{Fault, Kind},
    id,
    request::Request,
};
use wasabi_routing::rendezvous;

use crate::shell::Shell;

/// Pools in which a request is tried before it is refused. Each takes a call to its owner.
const POOLS_MAX: usize = 2;

/// Pools in which a request of the top tier is tried: another pool may have less urgent work to shed.
const TOP_TIER_POOLS_MAX: usize = 4;

/// The ranked entries of each pool in one view. Ranking takes a hash for each entry, and the owner of
/// a pool is needed for every request.
#[derive(Debug, Default)]
pub(crate) struct Rankings {
    view: id::View,
    /// Positions in the view.
    pools: HashMap<id::Pool, Rc<[usize]>>,
}

impl Shell {
    /// Returns the pools of a backend in this entry's region.
    pub(crate) fn pools_of(&self, backend: &id::Backend) -> Vec<id::Pool> {
        (0..self.shards_of(backend)).map(|shard| self.pool(backend, shard)).collect()
    }

    /// Returns whether a pool is one of a backend's pools. Another entry may have a view with another
    /// number of them.
    pub(crate) fn is_pool_of(&self, backend: &id::Backend, pool: &id::Pool) -> bool {
        let shards = 0..self.shards_of(backend);
        rendezvous::pool_shard(pool).is_some_and(|shard| shards.contains(&shard))
    }

    /// Returns the pool of an endpoint.
    pub(crate) fn pool_of(&self, backend: &id::Backend, endpoint: &id::Endpoint) -> id::Pool {
        self.pool(backend, rendezvous::shard(endpoint, self.shards_of(backend)))
    }

    /// Returns the pools in which a request is tried, in this order. Requests with the same prompt
    /// prefix have the same ones, so that it is cached there.
    pub(crate) fn preferred_pools(&self, request: &Request) -> Vec<id::Pool> {
        let count = if request.tier == Tier::TOP { TOP_TIER_POOLS_MAX } else { POOLS_MAX };
        let key = request.prefix.last().copied().unwrap_or(request.attempt.0 as u64);
        let shards = rendezvous::preferred_shards(key, self.shards_of(&request.backend));
        shards.into_iter().take(count).map(|shard| self.pool(&request.backend, shard)).collect()
    }

    /// Returns the entries of the view in the order in which they may own a pool.
    pub(crate) fn ranked(&self, pool: &id::Pool) -> impl Iterator<Item = Entry> + use<> {
        let in_force = self.shared.in_force();
        let ranking = {
            let view = &in_force.config.view;
            let mut rankings = self.rankings.borrow_mut();
            if rankings.view != view.number {
                *rankings = Rankings { view: view.number, pools: HashMap::new() };
            }
            let ranking = rankings.pools.entry(pool.clone());
            Rc::clone(ranking.or_insert_with(|| rendezvous::ranking(pool, view).into()))
        };
        let count = ranking.len();
        (0..count).map(move |rank| in_force.config.view.entries[ranking[rank]].clone())
    }

    fn pool(&self, backend: &id::Backend, shard: u32) -> id::Pool {
        rendezvous::pool(backend, &self.shared.entry.region, shard)
    }

    /// Returns how many pools a backend has. A plain service has one: its few endpoints would be
    /// spread unevenly over several.
    fn shards_of(&self, backend: &id::Backend) -> u32 {
        let in_force = self.shared.in_force();
        if in_force.is_model(backend) {
            rendezvous::shards_for(in_force.config.view.entries.len())
        } else {
            1
        }
    }
}

/// Returns the refusal of a call for a pool that a view with another number of shards has.
pub(crate) fn not_a_pool() -> Fault {
    let message = "the pool is not one of this view; another pool may have room";
    Fault::new(Kind::NoEndpoint, message)
}
