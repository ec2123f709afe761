//! Tests of the traffic share of the new version.

use proptest::{prelude::*, test_runner::RngSeed};
use wasabi_protocol::{clock::Millis, command::Stage, contract::Tier, id};
use wasabi_rollout::{
    credit::{self, Placement, RouteCredits, Side, TOP_TIER_FROM_PERMILLE},
    sequential::Verdict,
};

const WATCHING: Stage = Stage::Watching { until: Millis(1) };

fn count(
    credits: &mut RouteCredits,
    route: &id::Route,
    tier: u8,
    verdict: Verdict,
    of: u32,
) -> u32 {
    let sides = (0..of).filter(|_| credits.choose_side(route, Tier(tier), verdict) == Side::New);
    sides.count() as u32
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Guards against a route that sends more than its share to the new version, for any order and
    /// mix of routes and any group size.
    #[test]
    fn no_route_exceeds_its_share(
        permille in 1_u32..1_000, group in 1_u32..40,
        dispatches in prop::collection::vec(0_usize..4, 1..3_000),
    ) {
        let mut credits = RouteCredits::new(Stage::Share(permille), group);
        let routes = ["a", "b", "c", "d"].map(id::Route::from);
        let mut counts = [[0_u32; 2]; 4];
        for route in dispatches {
            let side = credits.choose_side(&routes[route], Tier(1), Verdict::Accepted);
            counts[route][side as usize] += 1;
            let all = f64::from(counts[route][0] + counts[route][1]);
            // A group may exceed the credit by three requests.
            let most = all * f64::from(permille) / 1_000.0 + 3.0;
            prop_assert!(f64::from(counts[route][1]) <= most + 1e-6);
        }
    }
}

/// Guards against an unused share: over many dispatches a route gets its full share.
#[test]
fn a_route_gets_its_share() {
    for permille in [10, 50, 320] {
        let mut credits = RouteCredits::new(Stage::Share(permille), 16);
        let new = count(&mut credits, &"a".into(), 1, Verdict::Accepted, 20_000);
        let expected = 20 * permille;
        assert!(expected - 17 <= new && new <= expected + 3, "{new} instead of {expected}");
    }
}

/// Guards against tier 0 on a version that other tiers have not proven yet, and against tier 0
/// staying on the old version when all traffic has moved.
#[test]
fn tier_0_gets_the_new_version_last() {
    let mut credits = RouteCredits::new(Stage::Share(TOP_TIER_FROM_PERMILLE - 1), 16);
    let route = id::Route::from("hospital");
    assert_eq!(count(&mut credits, &route, 0, Verdict::Accepted, 1_000), 0);
    credits.set_stage(Stage::Share(1_000), 16);
    let new = count(&mut credits, &route, 0, Verdict::Accepted, 1_000);
    assert!((1..200).contains(&new), "{new}");
    credits.set_stage(WATCHING, 16);
    assert_eq!(count(&mut credits, &route, 0, Verdict::Accepted, 1_000), 1_000);
}

/// Guards against the full share on a route without a verdict, and any share on a rejected route or
/// after the move was rolled back.
#[test]
fn a_route_without_verdict_gets_a_smaller_share() {
    let new = |stage, verdict| {
        let mut credits = RouteCredits::new(stage, 16);
        count(&mut credits, &"a".into(), 1, verdict, 10_000)
    };
    let [undecided, accepted] =
        [Verdict::Undecided, Verdict::Accepted].map(|verdict| new(Stage::Share(320), verdict));
    assert!((3_199..=3_200).contains(&accepted), "{accepted}");
    let part = 3_200 / credit::UNDECIDED_DIVISOR;
    assert!(part < 3_200 && (part - 1..=part).contains(&undecided), "{undecided}");
    assert_eq!(new(Stage::Share(320), Verdict::Rejected), 0);
    assert_eq!(new(Stage::TakenBack, Verdict::Accepted), 0);
    assert_eq!(new(WATCHING, Verdict::Undecided), 10_000);
}

/// Guards against a small share that never loads a replica, and against a large first group.
#[test]
fn small_shares_come_in_growing_groups() {
    let mut credits = RouteCredits::new(Stage::Share(10), 16);
    let routes = ["a", "b", "c", "d", "e", "f"].map(id::Route::from);
    let sides = (0..20_000)
        .map(|index| credits.choose_side(&routes[index % 6], Tier(1), Verdict::Accepted))
        .collect::<Vec<_>>();
    let first = sides.iter().position(|side| *side == Side::New).unwrap();
    assert_eq!(sides[first..first + 16].iter().filter(|side| **side == Side::New).count(), 2);
    let dense = sides
        .windows(20)
        .any(|window| 16 <= window.iter().filter(|side| **side == Side::New).count());
    assert!(dense, "no group of 16 within 20 dispatches");
}

/// Guards against an old version that is never observed under the load of the new version's groups,
/// against tier 0 in a control group, and against more packed requests than the groups have.
#[test]
fn each_group_has_a_control_group() {
    let mut credits = RouteCredits::new(Stage::Share(10), 16);
    let mut packed = [0_u32; 2];
    for index in 0..40_000 {
        let tier = Tier(u8::from(index % 3 != 0));
        let side = credits.choose_side(&"a".into(), tier, Verdict::Accepted);
        let placement = credits.placement(side, tier);
        packed[side as usize] += u32::from(placement == Placement::Pack);
        assert!(tier != Tier::TOP || placement == Placement::Spread);
    }
    assert!(packed[1] <= packed[0] + 32 && packed[0] <= packed[1] + 32, "{packed:?}");
    assert_eq!(credit::placement(Stage::Share(640)), Placement::Spread);
}

/// Guards against a share that is lost when the new version had no capacity.
#[test]
fn a_refund_is_used_later() {
    let (mut credits, route) = (RouteCredits::new(Stage::Share(200), 4), id::Route::from("a"));
    let refunded =
        (0..100).find(|_| credits.choose_side(&route, Tier(1), Verdict::Accepted) == Side::New);
    assert!(refunded.is_some());
    credits.refund(&route);
    assert_eq!(credits.choose_side(&route, Tier(1), Verdict::Accepted), Side::New);
}

/// Guards against an unproven version on many replicas, and against too few replicas for a share.
#[test]
fn the_replica_limit_follows_the_share() {
    let limit = |permille| credit::replica_limit(Stage::Share(permille), 20);
    assert_eq!([10, 40, 80, 160, 640].map(limit), [1, 1, 2, 4, 16]);
    assert!(20 <= credit::replica_limit(WATCHING, 20));
    assert_eq!(credit::replica_limit(Stage::TakenBack, 20), 0);
}
