//! Tests of moves that have to end within seconds, with few requests as evidence.

use rstest::rstest;
use wasabi_protocol::{
    clock::Millis,
    command::{Move, Plan, Stage},
    endpoint::Kind,
    fingerprint::Body,
    id,
    request::{End, Report},
    rpc,
};
use wasabi_rollout::{
    credit::Side,
    decision::{self, EndpointCounts, RolloutEvidence, Schedule},
    evidence::{Count, Counts, Observation},
    sequential::Verdict,
    stop::Monitor,
    trial::{EVALUATION_DELAY, RouteTrials},
};

const ENDPOINTS: EndpointCounts = EndpointCounts { new: 18, required: 18 };

/// Times per token of the fast and the slow old endpoints, which announce no hardware.
const FAST_MS: f64 = 3.5;
const SLOW_MS: f64 = 9.0;

/// Endpoint and time per token of consecutive requests. The two fast endpoints of six get six of
/// ten requests.
const OLD: [(&str, f64); 10] = [
    ("a", FAST_MS),
    ("d", FAST_MS),
    ("a", FAST_MS),
    ("b", SLOW_MS),
    ("d", FAST_MS),
    ("a", FAST_MS),
    ("c", SLOW_MS),
    ("d", FAST_MS),
    ("e", SLOW_MS),
    ("f", SLOW_MS),
];

fn order(finish_by: Millis, start_permille: u32, watch: Millis) -> Move {
    let plan = Plan {
        name: "move".into(),
        kind: Kind::Model,
        backend: "model".into(),
        from: "v1".into(),
        to: "v2".into(),
        finish_by,
        start_permille,
        watch,
    };
    let stage = Stage::Share(start_permille);
    Move { plan, stage, reason: String::new(), started: Millis(0), changed: Millis(0) }
}

/// Returns the leader's evidence after `new` requests of the new version, none of them slow.
fn evidence(new: u64) -> RolloutEvidence {
    let (order, mut evidence) = (order(Millis(1), 20, Millis(1)), RolloutEvidence::new(3));
    let items = [("v1", 400), ("v2", new)].map(|(version, requests)| rpc::Evidence {
        name: "move".into(),
        route: "r".into(),
        version: version.into(),
        requests,
        errors: 0,
        slow: 0,
        stopped: false,
    });
    evidence.add(Millis(0), &order.plan, &items);
    evidence.add(EVALUATION_DELAY, &order.plan, &[]);
    evidence
}

/// Guards against a short move that is completed by time before enough requests were evaluated.
#[test]
fn a_short_move_needs_evidence_for_the_full_share() {
    let mut order = order(Millis(15_000), 320, Millis(1_000));
    assert_eq!(decision::decide(Millis(14_000), &order, &evidence(5), ENDPOINTS), None);
    assert!(decision::decide(Millis(14_000), &order, &evidence(40), ENDPOINTS).is_some());
    // A long move with little traffic still ends by time.
    order.plan.finish_by = Millis(1_800_000);
    assert!(decision::decide(Millis(1_700_000), &order, &evidence(5), ENDPOINTS).is_some());
}

/// Guards against a short move that never ends because there are no requests to evaluate.
#[test]
fn a_short_move_without_traffic_ends_by_time() {
    let order = order(Millis(15_000), 320, Millis(1_000));
    assert!(
        decision::decide(Millis(14_900), &order, &RolloutEvidence::new(3), ENDPOINTS).is_some()
    );
    let mut old_only = RolloutEvidence::new(3);
    let item = rpc::Evidence {
        name: "move".into(),
        route: "r".into(),
        version: "v1".into(),
        requests: 400,
        errors: 0,
        slow: 0,
        stopped: false,
    };
    old_only.add(Millis(0), &order.plan, &[item]);
    assert_eq!(decision::decide(Millis(14_900), &order, &old_only, ENDPOINTS), None);
}

/// Guards against stages of a fixed length, with which a move of a few seconds was far below its
/// full share at its deadline.
#[rstest]
#[case::seconds(15_000)]
#[case::few_seconds(6_000)]
#[case::a_minute(60_000)]
fn a_short_move_reaches_the_full_share_in_time(#[case] within: u64) {
    let mut order = order(Millis(within), 20, Millis(1_000));
    let evidence = evidence(40);
    let mut stages = 0;
    for now in (0..within).step_by(250).map(Millis) {
        if let Some(next) = decision::decide(now, &order, &evidence, ENDPOINTS) {
            (order.stage, order.changed) = (next.stage, now);
            stages += 1;
        }
    }
    assert!(matches!(order.stage, Stage::Watching { .. } | Stage::Done), "{:?}", order.stage);
    assert!(7 <= stages, "{stages} stages");
}

/// Guards against a move that moves all traffic only at its deadline, so that its watch period ends
/// after it.
#[rstest]
#[case::seconds(15_000)]
#[case::few_seconds(6_000)]
#[case::half_an_hour(1_800_000)]
fn a_scheduled_move_is_done_within_its_duration(#[case] within: u64) {
    let schedule = Schedule::for_duration(Millis(within));
    let mut order = order(schedule.finish_after, schedule.start_permille, schedule.watch);
    let evidence = evidence(40);
    for now in (0..within).step_by(250).map(Millis) {
        if let Some(next) = decision::decide(now, &order, &evidence, ENDPOINTS) {
            (order.stage, order.changed) = (next.stage, now);
        }
    }
    assert_eq!(order.stage, Stage::Done);
}

/// Ends a request of `tokens` output tokens on an endpoint, with `per_token` ms between them and
/// `queued` prompt tokens of other requests processed before its own.
fn end(
    monitor: &mut Monitor,
    now: Millis,
    (side, endpoint): (Side, &str),
    (per_token, tokens, queued): (f64, u32, u32),
    end: End,
) {
    let first = 5.0 + per_token * (500.0 + f64::from(queued)) / 75.0;
    let report = Report {
        end,
        first_token: Some(Millis(first as u64)),
        stream: Millis((f64::from(tokens - 1) * per_token) as u64),
        output_tokens: tokens,
        prompt_tokens: 500,
    };
    let observation = Observation {
        route: &"r".into(),
        side,
        endpoint: &endpoint.into(),
        hardware: "",
        fingerprint: Body(1),
        load: 0.4,
        queued_prompt_tokens: queued,
        report: &report,
    };
    monitor.observe(now, observation);
}

/// Returns a monitor with 600 requests of the old version, with 2 to 301 output tokens.
fn monitor() -> Monitor {
    let mut monitor = Monitor::new(3);
    for index in 0..600_u32 {
        let (endpoint, per_token) = OLD[index as usize % OLD.len()];
        let noise = 0.8 + 0.1 * f64::from(index / 10 % 5);
        let shape = (per_token * noise, 2 + (index * 7) % 300, 0);
        end(&mut monitor, Millis(u64::from(index)), (Side::Old, endpoint), shape, End::Finished);
    }
    monitor
}

/// Ends `requests` requests of the new version, evaluates them and returns the reason of a stop.
fn evaluate(
    monitor: &mut Monitor,
    requests: u32,
    shape: (f64, u32, u32),
    how: End,
) -> Option<String> {
    for index in 0..requests {
        let tokens = shape.1.max(2 + (index * 11) % 60);
        let shape = (shape.0, tokens, shape.2);
        end(monitor, Millis(1_000), (Side::New, "new"), shape, how);
    }
    monitor.settle_losses(Millis(1_000) + EVALUATION_DELAY, |_| false);
    monitor.stop_reason().map(str::to_owned)
}

/// Guards against a good version that is rolled back because it runs on the slower kind of endpoint
/// where no hardware is announced, or because its first tokens wait for prompts queued before them.
#[rstest]
#[case::on_slow_endpoints(SLOW_MS, 0)]
#[case::on_fast_endpoints(FAST_MS, 0)]
#[case::behind_other_prompts(SLOW_MS, 8_000)]
fn a_good_version_on_any_endpoint_is_kept(#[case] per_token: f64, #[case] queued: u32) {
    assert_eq!(evaluate(&mut monitor(), 400, (per_token, 2, queued), End::Finished), None);
}

/// Guards against a version four times slower that a few requests do not reveal, because the
/// different speeds of the old endpoints make a third of the old version's requests count as slow
/// too.
#[rstest]
#[case::finished(End::Finished, 2)]
#[case::abandoned(End::Abandoned, 100)]
fn twenty_requests_reveal_a_version_four_times_slower(#[case] how: End, #[case] tokens: u32) {
    let stopped = evaluate(&mut monitor(), 20, (4.0 * SLOW_MS, tokens, 0), how);
    assert!(stopped.is_some_and(|reason| reason.contains("slow")));
}

/// Guards against a slowness test that waits until the old version's error rate is well known, for
/// which a route of a short move has too few requests.
#[test]
fn slowness_is_evaluated_before_the_error_rate_is_known() {
    let (route, mut trials) = (id::Route::from("r"), RouteTrials::new(3));
    let old = Count { requests: 120, errors: 0, slow: 2 };
    let new = Count { requests: 14, errors: 0, slow: 14 };
    trials.add(Millis(0), &route, Counts { old, new, ..Counts::default() });
    trials.evaluate(EVALUATION_DELAY);
    assert_eq!(trials.verdict(&route), Verdict::Rejected);
}

/// Returns when a version that fails on half of its requests is rejected, in a move that takes
/// `span`. The old version gets 40 requests per second, the new one five unless it is suspended.
fn rejected_after(span: Millis) -> Option<Millis> {
    let (route, mut trials) = (id::Route::from("r"), RouteTrials::new(3).with_duration(span));
    let old = Count { requests: 8, errors: 0, slow: 0 };
    let mut sent = 0_u64;
    for now in (0..span.0).step_by(200).map(Millis) {
        let mut new = Count::default();
        if !trials.is_suspended() {
            sent += 1;
            new = Count { requests: 1, errors: sent % 2, slow: 0 };
        }
        trials.add(now, &route, Counts { old, new, ..Counts::default() });
        if trials.is_rejected() {
            return Some(now);
        }
    }
    None
}

/// Guards against a failing version that is repeatedly suspended while its requests wait for
/// evaluation, so that it is not rolled back by the end of its move.
#[test]
fn a_failing_version_is_rejected_within_half_of_a_short_move() {
    let rejected = rejected_after(Millis(10_000));
    assert!(rejected.is_some_and(|after| after <= Millis(5_000)), "{rejected:?}");
    // A move of at least half a minute has time to wait for errors of an outage that both share.
    assert!(rejected_after(Millis(30_000)).is_some_and(|after| Millis(5_000) < after));
}
