//! Assignment of pool owners, organisation entries and pool shards by rendezvous hashing.
//!
//! Each key ranks the members by a hash of key and member. When a member leaves, only its keys move,
//! each to the next member in its own ranking.

use std::{cmp::Reverse, collections::BTreeSet};

use wasabi_protocol::{
    command::{Duty, Entry, View},
    id,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum number of entries of an organisation, if the view has as many.
pub const ORGANISATION_ENTRIES_MIN: usize = 2;

/// Maximum number of coordinators of a view. Some remain while all of six or eight hosts with more
/// capacity are down.
pub const COORDINATORS_MAX: usize = 12;

/// The key by which coordinators of equal capacity are ranked.
const COORDINATOR: &str = "coordinator";

/// Maximum number of endpoints in one pool.
pub const POOL_ENDPOINTS_MAX: usize = 512;

/// Target for the mean number of endpoints per pool, which sets the number of shards.
///
/// Hashing distributes endpoints unevenly; with a mean of 36 a pool hardly ever exceeds twice as many.
pub const POOL_ENDPOINTS_MEAN: usize = 36;

/// Numbers of entries from which the endpoints of a model are split into more pools, and the numbers
/// of pools. The steps are coarse, since all pools change their endpoints at each.
const SHARDS_BY_ENTRIES: [(usize, u32); 3] = [(768, 64), (192, 16), (48, 4)];

/// An entry that an organisation's callers may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assigned<'a> {
    /// The entry.
    pub entry: &'a Entry,
    /// Weight in the organisation's connections, relative to the other entries of the list.
    pub weight: u32,
}

/// Returns the score of `member` for `key`; the highest score ranks first.
pub fn score(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the entries that own budgets. All other entries exchange heartbeats with them and with the
/// owners of pools.
///
/// In a small view these are all serving entries. In a large view they are the entries with the most
/// capacity, since heartbeats between all entries would take more CPU time than the requests: 84
/// entries with 0.12 cores each spent all their time on heartbeats.
pub fn coordinators(view: &View) -> Vec<&Entry> {
    let mut ranked = serving(view).collect::<Vec<_>>();
    if COORDINATORS_MAX < ranked.len() {
        ranked.sort_by_cached_key(|entry| {
            let name = entry.name.as_str();
            (Reverse(entry.capacity), Reverse(score(COORDINATOR, name)), entry.name.clone())
        });
        ranked.truncate(COORDINATORS_MAX);
    }
    ranked
}

/// Returns the serving entries in order of preference as owner of the pool.
///
/// Entries of the pool's region come first, so that a pool leaves its region only when the region has
/// no serving entry. In a large view, entries with more capacity come first within a region.
pub fn owners<'a>(pool: &id::Pool, view: &'a View) -> Vec<&'a Entry> {
    ranking(pool, view).into_iter().map(|position| &view.entries[position]).collect()
}

/// Returns the positions in the view of the entries that [`owners`] returns.
pub fn ranking(pool: &id::Pool, view: &View) -> Vec<usize> {
    let region = pool_region(pool);
    let is_large = COORDINATORS_MAX < serving(view).count();
    let entries = view.entries.iter().enumerate();
    let mut ranked: Vec<_> = entries
        .filter(|(_, entry)| entry.duty == Duty::Serving)
        .map(|(position, entry)| {
            let foreign = region.is_some_and(|region| entry.region.as_str() != region);
            let capacity = if is_large { entry.capacity } else { 0 };
            let score = score(pool.as_str(), entry.name.as_str());
            ((foreign, Reverse(capacity), Reverse(score), &entry.name), position)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, position)| position).collect()
}

/// Returns the entry that owns the pool in this view.
pub fn owner<'a>(pool: &id::Pool, view: &'a View) -> Option<&'a Entry> {
    owners(pool, view).first().copied()
}

/// Returns the entries that may relay a message to the first owner of a pool while `own` cannot reach
/// it, or an empty list when it can.
///
/// During a partition between the control hosts, the other entries may still reach both sides. The
/// entries with the least capacity are returned, which are the ones on hosts without control.
pub fn relays<'a>(
    pool: &id::Pool,
    view: &'a View,
    own: &id::Entry,
    is_live: impl Fn(&id::Entry) -> bool,
) -> Vec<&'a Entry> {
    let owners = owners(pool, view);
    if owners.first().is_none_or(|first| first.name == *own || is_live(&first.name)) {
        return Vec::new();
    }
    let mut others = owners;
    others.retain(|entry| entry.name != *own && is_live(&entry.name));
    let least = others.iter().map(|entry| entry.capacity).min();
    others.retain(|entry| Some(entry.capacity) == least);
    others
}

/// Returns the coordinators in order of preference as lender of the organisation's budget.
pub fn budget_owners<'a>(organisation: &id::Organisation, view: &'a View) -> Vec<&'a Entry> {
    let mut ranked = coordinators(view);
    ranked.sort_by_cached_key(|entry| {
        (Reverse(score(organisation.as_str(), entry.name.as_str())), entry.name.clone())
    });
    ranked
}

/// Returns the lender of the organisation's budget in this view.
pub fn budget_owner<'a>(organisation: &id::Organisation, view: &'a View) -> Option<&'a Entry> {
    budget_owners(organisation, view).first().copied()
}

/// Returns the entries that callers of an organisation use.
///
/// Their number is proportional to the organisation's part of all shares, rounded up, plus one, so
/// that the loss of one entry leaves as many as the share needs. If the view has several data centres,
/// the list covers at least two.
pub fn entries<'a>(
    organisation: &id::Organisation,
    share: u32,
    shares_total: u64,
    view: &'a View,
) -> Vec<Assigned<'a>> {
    let mut ranked = serving(view).collect::<Vec<_>>();
    ranked.sort_by_cached_key(|entry| {
        (Reverse(score(organisation.as_str(), entry.name.as_str())), entry.name.clone())
    });
    let needed = (u64::from(share) * ranked.len() as u64).div_ceil(shares_total.max(1));
    let count = usize::try_from(needed)
        .unwrap_or(usize::MAX)
        .saturating_add(1)
        .clamp(ORGANISATION_ENTRIES_MIN, ranked.len().max(ORGANISATION_ENTRIES_MIN));
    let rest = ranked.split_off(count.min(ranked.len()));
    let data_centres = ranked.iter().map(|entry| &entry.data_centre).collect::<BTreeSet<_>>();
    if data_centres.len() == 1
        && let Some(other) =
            rest.into_iter().find(|entry| !data_centres.contains(&entry.data_centre))
    {
        ranked.pop();
        ranked.push(other);
    }
    ranked.into_iter().map(|entry| Assigned { entry, weight: 1 }).collect()
}

/// Returns how many shards a backend with this many endpoints in a region needs.
pub fn shards(endpoints: usize) -> u32 {
    if endpoints <= POOL_ENDPOINTS_MAX {
        return 1;
    }
    u32::try_from(endpoints.div_ceil(POOL_ENDPOINTS_MEAN)).unwrap_or(u32::MAX)
}

/// Returns how many shards a model has in a view with this many entries.
///
/// An owner answers each request for a grant, so that the work of one owner must not grow with the
/// number of entries. All entries derive the number from the view, and so agree on it.
pub fn shards_for(entries: usize) -> u32 {
    let step = SHARDS_BY_ENTRIES.iter().find(|(least, _)| *least <= entries);
    step.map_or(1, |(_, shards)| *shards)
}

/// Returns the shards in the order in which a request is tried in them. Requests with the same key,
/// such as the hash of their prompt, have the same order.
pub fn preferred_shards(key: u64, shards: u32) -> Vec<u32> {
    let mut ranked: Vec<_> = (0..shards.max(1)).collect();
    ranked.sort_by_cached_key(|shard| Reverse(xxh3_64_with_seed(&shard.to_le_bytes(), key)));
    ranked
}

/// Returns the shard that an endpoint belongs to.
pub fn shard(endpoint: &id::Endpoint, shards: u32) -> u32 {
    let key = xxh3_64_with_seed(endpoint.as_str().as_bytes(), 0);
    (0..shards.max(1))
        .max_by_key(|shard| xxh3_64_with_seed(&shard.to_le_bytes(), key))
        .unwrap_or_default()
}

/// Returns the name of a pool: `{backend}/{region}/{shard}`.
pub fn pool(backend: &id::Backend, region: &id::Region, shard: u32) -> id::Pool {
    format!("{backend}/{region}/{shard}").into()
}

/// Returns the shard in a pool's name.
pub fn pool_shard(pool: &id::Pool) -> Option<u32> {
    pool.as_str().rsplit('/').next()?.parse().ok()
}

/// Returns whether two pools are shards of one backend in one region.
pub fn are_shards_of_one(one: &id::Pool, other: &id::Pool) -> bool {
    without_shard(one) == without_shard(other)
}

fn without_shard(pool: &id::Pool) -> Option<&str> {
    pool.as_str().rsplit_once('/').map(|(name, _)| name)
}

/// Returns the region in a pool's name. Backend names may hold slashes, so it is read from the end.
fn pool_region(pool: &id::Pool) -> Option<&str> {
    pool.as_str().rsplit('/').nth(1)
}

fn serving(view: &View) -> impl Iterator<Item = &Entry> {
    view.entries.iter().filter(|entry| entry.duty == Duty::Serving)
}
