//! Tests of invariant 3: traffic shares, stopped versions and banned versions.

mod common;

use common::{acquire, announce_version, config, grants, refusals, release, request, rollout};
use wasabi_protocol::{
    clock::Millis,
    command::{Config, Stage},
    fault::Kind,
    request::End,
};
use wasabi_scheduler::pool::{Event, Pool};

fn pool_during_rollout(stage: Stage) -> (Pool, Config) {
    let mut pool = common::ready_pool(3, 8);
    announce_version(&mut pool, 1_000, "n", 8, "v2");
    let mut config = config(2, &["e1"]);
    config.moves = vec![rollout(stage)];
    pool.step(Millis(1_000), Event::Config(&config));
    (pool, config)
}

/// Runs `count` requests one after another, one per millisecond, and returns how many went to `v2`.
fn run_requests(pool: &mut Pool, from: u64, count: u64, tier: u8, end: End) -> u64 {
    run_requests_every(1, pool, from, count, tier, end)
}

fn run_requests_every(gap: u64, pool: &mut Pool, from: u64, count: u64, tier: u8, end: End) -> u64 {
    let mut new = 0;
    for number in from..from + count {
        let now = 1_000 + number * gap;
        if (number * gap).is_multiple_of(500) {
            common::announce_all(pool, Millis(now), 3, 8);
            announce_version(pool, now, "n", 8, "v2");
            pool.step(Millis(now), Event::Tick);
        }
        let granted = grants(&acquire(pool, now, number, tier));
        let grant = &granted[0].1;
        let is_new = grant.version.as_str() == "v2";
        new += u64::from(is_new);
        let end = if is_new { end } else { End::Finished };
        pool.step(Millis(now), release(grant, request(number, tier).attempt, end));
    }
    new
}

/// Guards against sending more than the planned share of a route to the new version, and against
/// sending it nothing, so that it could never prove itself.
#[test]
fn gives_an_unproven_version_its_share_and_no_more() {
    let (mut pool, _) = pool_during_rollout(Stage::Share(10));
    let new = run_requests(&mut pool, 0, 5_000, 2, End::Finished);
    assert!((20..=50).contains(&new), "{new} of 5,000 at a share of 1%");
}

/// Guards against sending all traffic to the new version when the plan does not name the old one,
/// since the leader that accepted it knew no endpoints. All other versions then count as old.
#[test]
fn a_rollout_from_an_unnamed_version_keeps_its_share() {
    let mut pool = common::ready_pool(3, 8);
    announce_version(&mut pool, 1_000, "n", 8, "v2");
    let mut config = config(2, &["e1"]);
    let mut unnamed = rollout(Stage::Share(10));
    unnamed.plan.from = "".into();
    config.moves = vec![unnamed.clone()];
    pool.step(Millis(1_000), Event::Config(&config));
    let new = run_requests(&mut pool, 0, 5_000, 2, End::Finished);
    assert!((20..=50).contains(&new), "{new} of 5,000 at a share of 1%");
    unnamed.stage = Stage::TakenBack;
    config.revision.0 += 1;
    config.moves = vec![unnamed];
    config.banned = vec![("chat".into(), "v2".into())];
    pool.step(Millis(6_500), Event::Config(&config));
    assert_eq!(
        run_requests(&mut pool, 5_500, 100, 2, End::Finished),
        0,
        "the old version continues to serve"
    );
}

/// Guards against running tier-0 requests on an unproven version while other endpoints are left,
/// and against refusing them when there are none.
#[test]
fn keeps_tier_0_off_an_unproven_version_unless_nothing_else_is_left() {
    let (mut pool, _) = pool_during_rollout(Stage::Share(100));
    assert_eq!(run_requests(&mut pool, 0, 2_000, 0, End::Finished), 0);
    for name in ["a", "b", "c"] {
        pool.step(Millis(3_100), Event::Leave { endpoint: name.into() });
    }
    let granted = grants(&acquire(&mut pool, 3_101, 9_999, 0));
    assert_eq!(granted[0].1.version.as_str(), "v2");
}

/// Guards against exceeding the share of the new version when the old one is full.
#[test]
fn does_not_exceed_the_share_when_the_old_version_is_full() {
    let (mut pool, _) = pool_during_rollout(Stage::Share(10));
    let mut new = 0;
    for ticket in 0..40 {
        for (_, grant) in grants(&acquire(&mut pool, 1_000, ticket, 2)) {
            new += u32::from(grant.version.as_str() == "v2");
        }
    }
    assert_eq!(new, 0, "all 24 slots of the old version are in use");
}

/// Guards against sending traffic to a faulty version after the fault becomes evident. The owner
/// stops the version on its own evidence and reports that.
#[test]
fn stops_a_failing_version_on_its_own_evidence() {
    let (mut pool, _) = pool_during_rollout(Stage::Share(100));
    // One request per 50 ms, since requests of the new version are evaluated 3 s after they ended.
    let failed = run_requests_every(50, &mut pool, 0, 4_000, 2, End::Failed);
    assert!(failed <= 12, "{failed} requests were sent to a version that always fails");
    assert_eq!(run_requests_every(50, &mut pool, 4_000, 2_000, 2, End::Failed), 0);
    for ticket in 6_000..6_200 {
        let mut next = request(ticket, 2);
        next.route = "another".into();
        let actions = pool.step(Millis(301_000), Event::Acquire { ticket, request: next });
        for (_, grant) in grants(&actions) {
            assert_eq!(grant.version.as_str(), "v1", "the version is stopped for every route");
            let attempt = request(ticket, 2).attempt;
            pool.step(Millis(301_000), release(&grant, attempt, End::Finished));
        }
    }
    assert!(pool.evidence().iter().any(|e| e.stopped && e.version.as_str() == "v2"));
}

/// Guards against using a banned version again, even if no other endpoints are left, its rollout is
/// no longer in the configuration, or an older configuration arrives late.
#[test]
fn never_uses_a_banned_version() {
    let (mut pool, old) = pool_during_rollout(Stage::Share(500));
    let mut banned = config(3, &["e1"]);
    banned.banned = vec![("chat".into(), "v2".into())];
    pool.step(Millis(1_000), Event::Config(&banned));
    pool.step(Millis(1_000), Event::Config(&old));
    assert_eq!(run_requests(&mut pool, 0, 500, 2, End::Finished), 0);
    for name in ["a", "b", "c"] {
        pool.step(Millis(1_600), Event::Leave { endpoint: name.into() });
    }
    announce_version(&mut pool, 1_600, "n", 8, "v2");
    assert!(grants(&acquire(&mut pool, 1_601, 9_999, 0)).is_empty());
    for now in (1_700..4_700).step_by(500) {
        announce_version(&mut pool, now, "n", 8, "v2");
    }
    let refused = refusals(&pool.step(Millis(4_700), Event::Tick));
    assert_eq!(refused, [(9_999, Kind::NoEndpoint)]);
}

/// Guards against unlimited traffic to a version that no rollout names.
#[test]
fn uses_no_other_version_without_a_rollout() {
    let mut pool = common::ready_pool(3, 8);
    announce_version(&mut pool, 1_000, "n", 8, "v2");
    assert_eq!(run_requests(&mut pool, 0, 1_000, 2, End::Finished), 0);
}

/// Guards against a rollout that ends with the old version still in use.
#[test]
fn sends_all_tiers_to_the_new_version_at_the_end() {
    let (mut pool, _) = pool_during_rollout(Stage::Watching { until: Millis(1) });
    for tier in 0..5 {
        assert_eq!(run_requests(&mut pool, u64::from(tier) * 100, 50, tier, End::Finished), 50);
    }
}

/// Guards against missing a slow version because the latency of the old one is learned only from
/// the start of the rollout. Here the old version gets no requests after the start.
#[test]
fn learns_the_latency_of_the_version_in_use_before_a_rollout() {
    let mut pool = common::ready_pool(3, 8);
    run_requests(&mut pool, 0, 400, 2, End::Finished);
    announce_version(&mut pool, 1_500, "n", 8, "v2");
    let mut config = config(2, &["e1"]);
    config.moves = vec![rollout(Stage::Watching { until: Millis(60_000) })];
    pool.step(Millis(1_500), Event::Config(&config));
    for number in 500..503 {
        let (_, grant) = grants(&acquire(&mut pool, 1_500, number, 2)).remove(0);
        assert_eq!(grant.version.as_str(), "v2");
        let mut event = release(&grant, request(number, 2).attempt, End::Finished);
        if let Event::Release(release) = &mut event {
            release.report.stream = Millis(4_000);
        }
        pool.step(Millis(1_500), event);
    }
    let evidence = pool.evidence();
    let new = evidence.iter().find(|item| item.version.as_str() == "v2");
    assert_eq!(new.map(|item| (item.requests, item.slow)), Some((3, 3)));
}
