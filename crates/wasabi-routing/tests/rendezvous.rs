//! Tests of the assignment of owners, entries and shards.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use wasabi_protocol::{
    clock::Millis,
    command::{Duty, Entry, View},
    id,
};
use wasabi_routing::rendezvous;

fn entry(index: usize, data_centre: usize, region: &str) -> Entry {
    Entry {
        name: format!("entry-{index}").into(),
        caller_address: String::new(),
        peer_address: String::new(),
        data_centre: format!("dc-{data_centre}").into(),
        region: region.into(),
        capacity: 1_000,
        started: Millis::ZERO,
        duty: Duty::Serving,
    }
}

fn view(entries: usize, data_centres: usize) -> View {
    let entries = (0..entries).map(|index| entry(index, index % data_centres, "r")).collect();
    View { number: id::View(1), entries }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a change of the view that moves pools whose owner is still in it.
    #[test]
    fn a_lost_entry_moves_only_its_own_pools(entries in 2_usize..16, gone in 0_usize..16) {
        let before = view(entries, 3);
        let mut after = before.clone();
        let gone = after.entries.remove(gone % entries).name;
        for shard in 0..40 {
            let pool = rendezvous::pool(&"m".into(), &"r".into(), shard);
            let ranked = rendezvous::owners(&pool, &before);
            let next = rendezvous::owner(&pool, &after).unwrap();
            let expected = if ranked[0].name == gone { ranked[1] } else { ranked[0] };
            prop_assert_eq!(&next.name, &expected.name);
        }
    }

    /// Guards against an organisation whose entries are all in one data centre, against a list shorter
    /// than its share needs, and against draining entries in the list.
    #[test]
    fn entries_follow_the_share_and_span_data_centres(
        entries in 2_usize..14, data_centres in 2_usize..4, share in 1_u32..50, rest in 0_u64..100,
        name in "[a-z]{1,8}",
    ) {
        let mut view = view(entries, data_centres.min(entries));
        let total = u64::from(share) + rest;
        view.entries[0].duty = Duty::Draining;
        let serving = entries - 1;
        let list = rendezvous::entries(&name.as_str().into(), share, total, &view);
        prop_assert!(list.iter().all(|assigned| assigned.entry.duty == Duty::Serving));
        let needed = (u64::from(share) * serving as u64).div_ceil(total) as usize;
        prop_assert!(needed.min(serving) <= list.len());
        let of = |entries: &mut dyn Iterator<Item = &Entry>| {
            entries.map(|entry| entry.data_centre.clone()).collect::<BTreeSet<_>>().len()
        };
        let all = of(&mut view.entries[1..].iter());
        let used = of(&mut list.iter().map(|assigned| assigned.entry));
        prop_assert!(all.min(2) <= used);
    }
}

/// Guards against pools that concentrate on a few entries.
#[test]
fn pools_are_distributed_over_entries() {
    let view = view(9, 3);
    let mut owned = BTreeMap::<id::Entry, u32>::new();
    for shard in 0..900 {
        let pool = rendezvous::pool(&"m".into(), &"r".into(), shard);
        let owner = rendezvous::owner(&pool, &view).unwrap();
        *owned.entry(owner.name.clone()).or_default() += 1;
    }
    assert!(owned.len() == 9 && owned.values().all(|pools| (60..140).contains(pools)), "{owned:?}");
}

/// Guards against a pool with an owner in another region while its own region has entries.
#[test]
fn a_pool_stays_in_its_region() {
    let mut entries = (0..6).map(|index| entry(index, 0, "far")).collect::<Vec<_>>();
    entries.push(entry(6, 0, "near"));
    let view = View { number: id::View(1), entries };
    for shard in 0..20 {
        let pool = rendezvous::pool(&"org/model".into(), &"near".into(), shard);
        assert_eq!(rendezvous::pool_shard(&pool), Some(shard));
        assert_eq!(rendezvous::owner(&pool, &view).unwrap().region.as_str(), "near");
    }
}

/// Guards against shards that exceed the maximum size of a pool, with up to 10,000 endpoints.
#[test]
fn shards_do_not_exceed_the_pool_limit() {
    for count in [64, 65, 1_000, 10_000] {
        let shards = rendezvous::shards(count);
        let mut sizes = BTreeMap::<u32, usize>::new();
        for endpoint in 0..count {
            let name = format!("endpoint-{endpoint}").as_str().into();
            *sizes.entry(rendezvous::shard(&name, shards)).or_default() += 1;
        }
        assert!(sizes.values().all(|size| *size <= rendezvous::POOL_ENDPOINTS_MAX), "{sizes:?}");
    }
}

/// Guards against a pool owner that loses its endpoints during a partition between the control hosts:
/// the heartbeats of the endpoints arrive on the other side, which cannot reach the owner, while the
/// entries on hosts without control still send all requests to it.
#[test]
fn messages_for_an_unreachable_owner_are_relayed_by_entries_without_control() {
    let mut view = view(9, 3);
    // Three control hosts, which have more capacity, and six others.
    for entry in &mut view.entries[..3] {
        entry.capacity = 2_000;
    }
    let pools = (0..40).map(|shard| rendezvous::pool(&"m".into(), &"r".into(), shard));
    let is_control_host = |name: &str| ["entry-0", "entry-1", "entry-2"].contains(&name);
    let pool = pools.into_iter().find(|pool| {
        rendezvous::owner(pool, &view).is_some_and(|owner| is_control_host(owner.name.as_str()))
    });
    let pool = pool.unwrap();
    let owner = &rendezvous::owner(&pool, &view).unwrap().name;
    let own = &view.entries[..3].iter().find(|entry| entry.name != *owner).unwrap().name;
    let relays = rendezvous::relays(&pool, &view, own, |name| !is_control_host(name.as_str()));
    assert_eq!(relays.len(), 6);
    assert!(relays.iter().all(|entry| !is_control_host(entry.name.as_str())));
    let reachable = rendezvous::relays(&pool, &view, own, |_| true);
    assert!(reachable.is_empty(), "a reachable owner needs no relay");
    assert!(rendezvous::relays(&pool, &view, owner, |_| false).is_empty());
}

/// Guards against an owner whose work grows with the number of entries, and against a small
/// deployment whose few endpoints are split.
#[rstest]
#[case::small(9, 1)]
#[case::below_the_first_step(47, 1)]
#[case::hundred(100, 4)]
#[case::three_hundred(300, 16)]
#[case::thousand(1_000, 64)]
fn models_have_more_shards_in_larger_views(#[case] entries: usize, #[case] shards: u32) {
    assert_eq!(rendezvous::shards_for(entries), shards);
    assert!(shards <= rendezvous::shards_for(entries + 1), "more entries, fewer shards");
}

/// Guards against shards that get many more requests than others, as first or as second choice, and
/// against requests with one key that are tried in different shards.
#[rstest]
#[case(1)]
#[case(4)]
#[case(16)]
#[case(64)]
fn requests_are_spread_over_the_shards(#[case] shards: u32) {
    const KEYS: u64 = 40_000;
    let mut counts = BTreeMap::<(usize, u32), u64>::new();
    for key in 0..KEYS {
        let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let order = rendezvous::preferred_shards(key, shards);
        assert_eq!(order, rendezvous::preferred_shards(key, shards));
        assert_eq!(order.iter().collect::<BTreeSet<_>>().len(), shards as usize);
        for (rank, shard) in order.into_iter().take(2).enumerate() {
            *counts.entry((rank, shard)).or_default() += 1;
        }
    }
    let mean = KEYS / u64::from(shards);
    let is_even = |count: &u64| mean * 8 < count * 10 && count * 10 < mean * 12;
    assert!(counts.values().all(is_even), "{counts:?}");
}

/// Guards against a cached ranking of positions that differs from the order of owners.
#[test]
fn a_ranking_is_the_order_of_owners() {
    let view = view(20, 3);
    for shard in 0..16 {
        let pool = rendezvous::pool(&"m".into(), &"r".into(), shard);
        let ranked = rendezvous::ranking(&pool, &view);
        let names: Vec<_> =
            ranked.into_iter().map(|position| &view.entries[position].name).collect();
        let owners: Vec<_> =
            rendezvous::owners(&pool, &view).into_iter().map(|entry| &entry.name).collect();
        assert_eq!(names, owners);
    }
}
