//! Simulations of whole moves over many seeds, and tests of the rules of each stage.

use fastrand::Rng;
use rstest::rstest;
use wasabi_protocol::{
    clock::Millis,
    command::{Move, Plan, Stage},
    contract::Tier,
    endpoint::Kind,
    id, rpc,
};
use wasabi_rollout::{
    credit,
    decision::{self, EndpointCounts, RolloutEvidence, STAGE_DURATION_MIN, Transition},
    trial::EVALUATION_DELAY,
};

const HOUR: Millis = Millis::from_secs(3_600);
const WATCH: Millis = Millis::from_secs(1_200);
const ENDPOINTS: EndpointCounts = EndpointCounts { new: 20, required: 20 };
const STEP_S: u64 = 5;

/// Name, tier and requests per second of the routes.
const ROUTES: [(&str, u8, f64); 5] = [
    ("query", 0, 8.0),
    ("stock", 1, 12.0),
    ("order", 2, 10.0),
    ("ticket", 3, 6.0),
    ("audit", 4, 0.05),
];

fn order(stage: Stage) -> Move {
    let plan = Plan {
        name: "move".into(),
        kind: Kind::Model,
        backend: "model".into(),
        from: "v1".into(),
        to: "v2".into(),
        finish_by: HOUR,
        start_permille: 10,
        watch: WATCH,
    };
    Move { plan, stage, reason: String::new(), started: Millis(0), changed: Millis(0) }
}

fn evidence(route: &str, version: &str, requests: u64, errors: u64, slow: u64) -> rpc::Evidence {
    rpc::Evidence {
        name: "move".into(),
        route: route.into(),
        version: version.into(),
        requests,
        errors,
        slow,
        stopped: false,
    }
}

/// Returns a random number of failures among the requests, by drawing the gaps between failures.
fn failures(rng: &mut Rng, requests: u64, rate: f64) -> u64 {
    if rate <= 0.0 || 1.0 <= rate {
        return if rate <= 0.0 { 0 } else { requests };
    }
    let mut draw_gap = || ((1.0 - rng.f64()).ln() / (1.0 - rate).ln()) as u64 + 1;
    let mut position = draw_gap();
    let mut count = 0;
    while position <= requests {
        count += 1;
        position += draw_gap();
    }
    count
}

struct Outcome {
    stage: Stage,
    moved: Option<Millis>,
    served: u64,
    affected: u64,
}

/// Simulates a move. `rates` returns the error and slow rates of the old and the new version on a
/// route.
fn simulate(seed: u64, rates: impl Fn(usize, Millis) -> [(f64, f64); 2]) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let (mut order, mut collected) = (order(Stage::Share(10)), RolloutEvidence::new(ROUTES.len()));
    let mut out = Outcome { stage: order.stage, moved: None, served: 0, affected: 0 };
    let mut now = Millis(0);
    while !order.stage.is_final() && now < HOUR + HOUR {
        now = now + Millis::from_secs(STEP_S);
        let mut items = Vec::new();
        for (index, (route, tier, per_s)) in ROUTES.iter().enumerate() {
            let verdict = collected.trials().verdict(&id::Route::from(*route));
            let share = credit::route_share(order.stage, Tier(*tier), verdict);
            let new_fraction = f64::from(share) / 1_000.0;
            let fractions = [1.0 - new_fraction, new_fraction];
            let rates = rates(index, now);
            for (side, version) in ["v1", "v2"].into_iter().enumerate() {
                let mean = per_s * STEP_S as f64 * fractions[side];
                let requests = (mean + rng.f64()).floor() as u64;
                let errors = failures(&mut rng, requests, rates[side].0);
                let slow = failures(&mut rng, requests - errors, rates[side].1);
                if side == 1 {
                    out.served += requests;
                    out.affected += if rates[1] == rates[0] { 0 } else { errors + slow };
                }
                items.push(evidence(route, version, requests, errors, slow));
            }
        }
        collected.add(now, &order.plan, &items);
        if let Some(Transition { stage, .. }) = decision::decide(now, &order, &collected, ENDPOINTS)
        {
            if matches!(stage, Stage::Watching { .. }) && out.moved.is_none() {
                out.moved = Some(now);
            }
            (order.stage, order.changed) = (stage, now);
        }
    }
    Outcome { stage: order.stage, ..out }
}

/// Guards against a good version that is rolled back or late: 1,000 runs with error rates of 0 to
/// 5% that differ between routes, and in a third of them an outage that both versions share.
#[test]
fn no_good_version_is_rolled_back_in_1000_runs() {
    for seed in 0..1_000 {
        let base = [0.0, 0.001, 0.01, 0.05][seed as usize % 4];
        let out = simulate(seed, |route, now| {
            let is_outage = seed % 3 == 0 && (1_200_000..1_230_000).contains(&now.0);
            let rate = if is_outage { 0.3 } else { base * (route % 2) as f64 };
            [(rate, 0.03); 2]
        });
        assert_eq!(out.stage, Stage::Done, "seed {seed}");
        assert!(out.moved.is_some_and(|moved| moved <= HOUR), "seed {seed}: {:?}", out.moved);
    }
}

/// Guards against a bad version that is kept, or affects 1% of the requests that it would have
/// served. It fails from the start or later, on one or all routes, on some or all requests, or is
/// slow.
#[rstest]
#[case::all_fail(0, 0, 1.0, 0.03)]
#[case::all_2_percent(0, 0, 0.02, 0.03)]
#[case::later_2_percent(0, 2_000, 0.02, 0.03)]
#[case::in_the_watch_period(0, 3_700, 0.02, 0.03)]
#[case::top_tier_2_percent(1, 0, 0.02, 0.03)]
#[case::one_route_2_percent(4, 0, 0.02, 0.03)]
#[case::one_route_fails(3, 0, 1.0, 0.03)]
#[case::rare_route_fails(5, 0, 1.0, 0.03)]
#[case::slow(0, 0, 0.0, 0.9)]
#[case::one_route_slow(2, 0, 0.0, 0.6)]
fn bad_versions_are_rolled_back(
    #[case] route: usize,
    #[case] from_s: u64,
    #[case] errors: f64,
    #[case] slow: f64,
) {
    let planned = simulate(1, |_, _| [(0.0, 0.03); 2]).served as f64;
    for seed in 0..60 {
        let out = simulate(seed, |index, now| {
            let is_bad = Millis::from_secs(from_s) <= now && (route == 0 || route == index + 1);
            [(0.0, 0.03), if is_bad { (errors, slow) } else { (0.0, 0.03) }]
        });
        assert_eq!(out.stage, Stage::TakenBack, "seed {seed}");
        let affected = out.affected as f64 / planned;
        assert!(affected < 0.01, "seed {seed}: {affected}");
    }
}

/// Returns evidence with this many old and new requests of one route, none of which failed.
fn successes(now: Millis, old: u64, new: u64) -> RolloutEvidence {
    let mut collected = RolloutEvidence::new(1);
    let items = [evidence("stock", "v2", new, 0, 0), evidence("stock", "v1", old, 0, 0)];
    let plan = order(Stage::Share(10)).plan;
    collected.add(now - EVALUATION_DELAY, &plan, &items);
    collected.add(now, &plan, &[]);
    collected
}

fn next_stage(now: Millis, order: &Move, collected: &RolloutEvidence) -> Option<Stage> {
    decision::decide(now, order, collected, ENDPOINTS).map(|next| next.stage)
}

/// Guards against a start share that ends early, against one that evidence does not end, and
/// against a route with little traffic that blocks the move forever.
#[test]
fn the_share_increases_by_evidence_and_at_the_latest_by_time() {
    let (start, due) = (order(Stage::Share(10)), Millis(HOUR.0 * 3 / 10));
    let (proven, unproven) = (successes(due, 10_000, 2_000), successes(due, 10_000, 20));
    let larger_share = Some(Stage::Share(20));
    assert_eq!(next_stage(due - Millis(1), &start, &proven), None);
    assert_eq!(next_stage(due, &start, &proven), larger_share);
    assert_eq!(next_stage(due, &start, &unproven), None);
    assert_eq!(next_stage(due, &start, &RolloutEvidence::new(1)), None);
    assert_eq!(next_stage(Millis(HOUR.0 * 4 / 10), &start, &unproven), larger_share);
    let next = decision::decide(HOUR, &start, &unproven, ENDPOINTS).unwrap();
    assert!(next.reason.contains("stock"), "{}", next.reason);
}

/// Guards against a share that exceeds the announced replicas, and against a late move that jumps
/// to the full share.
#[test]
fn a_late_move_increases_its_share_in_steps_and_with_enough_replicas() {
    let (mut late, proven) = (order(Stage::Share(320)), successes(HOUR, 10_000, 2_000));
    late.changed = HOUR;
    let too_few = EndpointCounts { new: 10, required: 20 };
    let after = HOUR + STAGE_DURATION_MIN;
    assert_eq!(next_stage(after - Millis(1), &late, &proven), None);
    assert_eq!(next_stage(after, &late, &proven), Some(Stage::Share(640)));
    assert_eq!(decision::decide(after, &late, &proven, too_few), None);
}

/// Guards against a move that ends without a watch period, ends twice, or ends while the evidence
/// leans towards a fault, and against an owner's stop that control ignores.
#[test]
fn a_move_ends_once_after_its_watch_period() {
    let full = order(Stage::Share(1_000));
    let proven = successes(HOUR, 10_000, 2_000);
    let until = HOUR + WATCH;
    assert_eq!(next_stage(HOUR, &full, &proven), Some(Stage::Watching { until }));
    let watching = order(Stage::Watching { until });
    assert_eq!(next_stage(until - Millis(1), &watching, &proven), None);
    assert_eq!(next_stage(until, &watching, &proven), Some(Stage::Done));
    let mut leaning = proven.clone();
    leaning.add(HOUR, &full.plan, &[evidence("stock", "v2", 4, 2, 0)]);
    leaning.add(until, &full.plan, &[]);
    let longer = Millis(until.0 + WATCH.0 / 4);
    assert_eq!(next_stage(until, &watching, &leaning), Some(Stage::Watching { until: longer }));
    let end = order(Stage::Watching { until: HOUR + WATCH + WATCH });
    assert_eq!(next_stage(HOUR + HOUR, &end, &leaning), Some(Stage::Done));
    let mut stopped = proven;
    let stop = rpc::Evidence { stopped: true, ..evidence("stock", "v2", 0, 0, 0) };
    let other = rpc::Evidence { name: "other".into(), ..stop.clone() };
    stopped.add(HOUR, &full.plan, &[other]);
    assert_eq!(next_stage(until, &watching, &stopped), Some(Stage::Done));
    stopped.add(HOUR, &full.plan, &[stop]);
    for open in [order(Stage::Share(10)), watching] {
        assert_eq!(next_stage(HOUR, &open, &stopped), Some(Stage::TakenBack));
    }
    for ended in [Stage::Done, Stage::TakenBack] {
        assert_eq!(next_stage(until, &order(ended), &stopped), None);
    }
}
