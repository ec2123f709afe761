//! Owners of pools, entries of organisations and pool shards by rendezvous hash.
//!
//! Each key ranks the members by a hash of key and member. When a member leaves, only the keys
//! that it held move, each to its own next member.

use std::{cmp::Reverse, collections::BTreeSet};

use wasabi_protocol::{
    command::{Duty, Entry, View},
    id,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fewest entries that an organisation is given while the view has as many.
pub const ORGANISATION_ENTRIES_MIN: usize = 2;

/// Most coordinators of a view. With all of six or eight hosts of more capacity down, some remain.
pub const COORDINATORS_MAX: usize = 12;

/// The key by which coordinators of equal capacity are ranked.
const COORDINATOR: &str = "coordinator";

/// Most endpoints of one pool.
pub const POOL_ENDPOINTS_MAX: usize = 128;

/// Mean endpoints per pool that the number of shards aims at.
///
/// Hashing spreads endpoints unevenly; with a mean of 36 a pool hardly ever exceeds twice as many.
pub const POOL_ENDPOINTS_MEAN: usize = 36;

/// An entry that an organisation's callers may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assigned<'a> {
    /// The entry.
    pub entry: &'a Entry,
    /// Its part of the organisation's connections, relative to the other entries of the list.
    pub weight: u32,
}

/// Returns the hash by which `member` is ranked for `key`; the highest ranks first.
pub fn score(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the entries that own budgets, and that all others exchange heartbeats with beside the
/// owners of pools.
///
/// In a small view these are all that serve. In a large one, heartbeats between all of them would
/// take more processor time than the requests (84 entries on 0.12 of a core each were busy with
/// nothing else), so they are the ones with the most capacity.
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

/// Returns the serving entries in the order in which they own the pool.
///
/// Entries of the pool's region come first, so that a pool leaves its region only when no entry
/// of the region serves; in a large view those with more capacity come first among them.
pub fn owners<'a>(pool: &id::Pool, view: &'a View) -> Vec<&'a Entry> {
    let region = pool_region(pool);
    let is_large = COORDINATORS_MAX < serving(view).count();
    let mut ranked = serving(view).collect::<Vec<_>>();
    ranked.sort_by_cached_key(|entry| {
        let foreign = region.is_some_and(|region| entry.region.as_str() != region);
        let capacity = if is_large { entry.capacity } else { 0 };
        let score = score(pool.as_str(), entry.name.as_str());
        (foreign, Reverse(capacity), Reverse(score), entry.name.clone())
    });
    ranked
}

/// Returns the entry that owns the pool in this view.
pub fn owner<'a>(pool: &id::Pool, view: &'a View) -> Option<&'a Entry> {
    owners(pool, view).first().copied()
}

/// Returns the entries that may pass a message on to the first owner of a pool when `own` does not
/// reach it; none when it does.
///
/// While the hosts of control are cut from each other, the other entries still reach both sides.
/// Those with the least capacity are returned, which are the ones without control.
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

/// Returns the coordinators in the order in which they lease the organisation's budget slices.
pub fn budget_owners<'a>(organisation: &id::Organisation, view: &'a View) -> Vec<&'a Entry> {
    let mut ranked = coordinators(view);
    ranked.sort_by_cached_key(|entry| {
        (Reverse(score(organisation.as_str(), entry.name.as_str())), entry.name.clone())
    });
    ranked
}

/// Returns the entry that leases the organisation's budget slices in this view.
pub fn budget_owner<'a>(organisation: &id::Organisation, view: &'a View) -> Option<&'a Entry> {
    budget_owners(organisation, view).first().copied()
}

/// Returns the entries that callers of an organisation use.
///
/// Their number is the organisation's part of all shares, rounded up, plus one, so that the loss
/// of one entry leaves as many as the share needs. While the view has several data centres, the
/// list has at least two.
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
    let centres = ranked.iter().map(|entry| &entry.data_centre).collect::<BTreeSet<_>>();
    if centres.len() == 1
        && let Some(other) = rest.into_iter().find(|entry| !centres.contains(&entry.data_centre))
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

/// Returns the region in a pool's name. Backend names may hold slashes, so it is read from the end.
fn pool_region(pool: &id::Pool) -> Option<&str> {
    pool.as_str().rsplit('/').nth(1)
}

fn serving(view: &View) -> impl Iterator<Item = &Entry> {
    view.entries.iter().filter(|entry| entry.duty == Duty::Serving)
}
