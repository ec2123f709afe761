//! Tests of owners, entries and shards.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{prelude::*, test_runner::RngSeed};
use wasabi_protocol::{
    clock::Millis,
    command::{Duty, Entry, View},
    id,
};
use wasabi_routing::rendezvous;

fn entry(index: usize, centre: usize, region: &str) -> Entry {
    Entry {
        name: format!("entry-{index}").into(),
        caller_address: String::new(),
        peer_address: String::new(),
        data_centre: format!("dc-{centre}").into(),
        region: region.into(),
        capacity: 1_000,
        started: Millis::ZERO,
        duty: Duty::Serving,
    }
}

fn view(entries: usize, centres: usize) -> View {
    let entries = (0..entries).map(|index| entry(index, index % centres, "r")).collect();
    View { number: id::View(1), entries }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a change of the view that moves pools whose owner stayed.
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

    /// Guards against an organisation whose entries all stand in one data centre, against a list
    /// shorter than its share needs, and against entries that drain.
    #[test]
    fn entries_follow_the_share_and_span_data_centres(
        entries in 2_usize..14, centres in 2_usize..4, share in 1_u32..50, rest in 0_u64..100,
        name in "[a-z]{1,8}",
    ) {
        let mut view = view(entries, centres.min(entries));
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

/// Guards against pools that gather at few entries.
#[test]
fn pools_spread_over_entries() {
    let view = view(9, 3);
    let mut owned = BTreeMap::<id::Entry, u32>::new();
    for shard in 0..900 {
        let pool = rendezvous::pool(&"m".into(), &"r".into(), shard);
        let owner = rendezvous::owner(&pool, &view).unwrap();
        *owned.entry(owner.name.clone()).or_default() += 1;
    }
    assert!(owned.len() == 9 && owned.values().all(|pools| (60..140).contains(pools)), "{owned:?}");
}

/// Guards against a pool that is owned from another region while its own has entries.
#[test]
fn a_pool_stays_in_its_region() {
    let mut entries = (0..6).map(|index| entry(index, 0, "far")).collect::<Vec<_>>();
    entries.push(entry(6, 0, "near"));
    let view = View { number: id::View(1), entries };
    for shard in 0..20 {
        let pool = rendezvous::pool(&"org/model".into(), &"near".into(), shard);
        assert_eq!(rendezvous::owner(&pool, &view).unwrap().region.as_str(), "near");
    }
}

/// Guards against a shard of 10,000 endpoints that exceeds the most of one pool.
#[test]
fn shards_hold_at_most_a_pool() {
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

/// Guards against a pool owner that loses its endpoints while the hosts of control are cut in two:
/// their heartbeats reach the other half, which does not reach the owner, while the entries without
/// control still send it all requests.
#[test]
fn a_message_for_an_owner_that_is_not_reached_goes_through_an_entry_of_neither_half() {
    let mut view = view(9, 3);
    // Three hosts of control, which have more capacity, and six others.
    for entry in &mut view.entries[..3] {
        entry.capacity = 2_000;
    }
    let pools = (0..40).map(|shard| rendezvous::pool(&"m".into(), &"r".into(), shard));
    let is_of_control = |name: &str| ["entry-0", "entry-1", "entry-2"].contains(&name);
    let pool = pools.into_iter().find(|pool| {
        rendezvous::owner(pool, &view).is_some_and(|owner| is_of_control(owner.name.as_str()))
    });
    let pool = pool.unwrap();
    let owner = &rendezvous::owner(&pool, &view).unwrap().name;
    let own = &view.entries[..3].iter().find(|entry| entry.name != *owner).unwrap().name;
    let detours = rendezvous::relays(&pool, &view, own, |name| !is_of_control(name.as_str()));
    assert_eq!(detours.len(), 6);
    assert!(detours.iter().all(|entry| !is_of_control(entry.name.as_str())));
    let reached = rendezvous::relays(&pool, &view, own, |_| true);
    assert!(reached.is_empty(), "an owner that is reached is told directly");
    assert!(rendezvous::relays(&pool, &view, owner, |_| false).is_empty());
}
