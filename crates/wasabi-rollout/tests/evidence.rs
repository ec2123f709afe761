//! Tests of what counts as evidence, and of the stop by the pool owner.

use wasabi_protocol::{
    clock::Millis,
    fingerprint::Body,
    id,
    request::{End, Report},
};
use wasabi_rollout::{
    credit::Side,
    evidence::{CRASH_CAUSE_WAIT, Collector, Count, LOSS_MERGE_WINDOW, Observation},
    sequential::Verdict,
    stop::Monitor,
};

fn report(end: End, prompt: u32, output: u32, per_token: f64) -> Report {
    Report {
        end,
        first_token: Some(Millis(20 + u64::from(prompt) / 4)),
        stream: Millis((f64::from(output) * per_token) as u64),
        output_tokens: output,
        prompt_tokens: prompt,
    }
}

/// Calls `act` with an observation of request `body` on an endpoint.
fn observe(
    side: Side,
    endpoint: &str,
    body: u64,
    report: &Report,
    act: impl FnOnce(Observation<'_>),
) {
    observe_at(0.3, side, endpoint, body, report, act);
}

/// Calls `act` with an observation at this load.
fn observe_at(
    load: f64,
    side: Side,
    endpoint: &str,
    body: u64,
    report: &Report,
    act: impl FnOnce(Observation<'_>),
) {
    act(Observation {
        route: &"r".into(),
        side,
        endpoint: &endpoint.into(),
        hardware: "h1",
        fingerprint: Body(body),
        load,
        queued_prompt_tokens: 0,
        report,
    });
}

/// Returns a collector in which the old version took 10 ms per output token and processed 4 prompt
/// tokens per ms.
fn collector() -> Collector {
    let mut collector = Collector::default();
    for index in 0..400_u32 {
        // The lengths differ by a factor of 100.
        let report = report(End::Finished, 40 + index * 10, 10 + (index * 7) % 990, 10.0);
        observe(Side::Old, "old", 1, &report, |observation| {
            collector.observe(Millis(0), observation, 0)
        });
    }
    collector.take_counts();
    collector
}

fn new_counts(collector: &mut Collector) -> Count {
    collector.take_counts().values().map(|counts| counts.new).next().unwrap_or_default()
}

/// Guards against long answers that count as slow, short ones that hide a slow version, and answers
/// that count as slow because the new version's cache was cold.
#[test]
fn slowness_is_corrected_for_length_and_cache() {
    let mut collector = collector();
    for (prompt, output) in [(200, 980), (4_000, 12), (600, 100)] {
        for (per_token, slow) in [(11.0, 0), (25.0, 1)] {
            let report = report(End::Finished, prompt, output, per_token);
            observe(Side::New, "new", 1, &report, |observation| {
                collector.observe(Millis(0), observation, 0)
            });
            // With 4,000 prompt tokens and 12 output tokens, most of the time is prompt processing,
            // which is not slow here.
            let slow = if output == 12 { 0 } else { slow };
            assert_eq!(new_counts(&mut collector), Count { requests: 1, errors: 0, slow });
        }
    }
    // For a prompt length that the old version never had, the time per token is compared.
    let short = report(End::Finished, 20, 500, 25.0);
    observe(Side::New, "new", 1, &short, |observation| {
        collector.observe(Millis(0), observation, 0)
    });
    assert_eq!(new_counts(&mut collector).slow, 1);
    // The old version processes 200 of 4,000 tokens, the new version all of them.
    let mut warm = Collector::default();
    for _ in 0..50 {
        let from_cache = report(End::Finished, 200, 12, 10.0);
        let from_cache = Report { prompt_tokens: 4_000, ..from_cache };
        observe(Side::Old, "old", 1, &from_cache, |observation| {
            warm.observe(Millis(0), observation, 3_800)
        });
    }
    let cold = report(End::Finished, 4_000, 12, 10.0);
    observe(Side::New, "new", 1, &cold, |observation| warm.observe(Millis(0), observation, 0));
    assert_eq!(new_counts(&mut warm).slow, 0);
}

/// Guards against abandoned requests that count as errors, and failures that do not.
#[test]
fn only_endpoint_failures_count_as_errors() {
    let mut collector = collector();
    for end in [End::Abandoned, End::Failed, End::Finished] {
        let report = report(end, 50, 100, 10.0);
        observe(Side::New, "new", 1, &report, |observation| {
            collector.observe(Millis(0), observation, 0)
        });
    }
    assert_eq!(new_counts(&mut collector), Count { requests: 2, errors: 1, slow: 0 });
}

/// Breaks the requests of `batch` on an endpoint of the new version.
fn lose(collector: &mut Collector, now: Millis, endpoint: &str, batch: &[u64]) {
    for body in batch {
        let report = report(End::Broken, 50, 0, 10.0);
        observe(Side::New, endpoint, *body, &report, |observation| {
            collector.observe(now, observation, 0)
        });
    }
}

/// Guards against a dead endpoint that counts once for each request of its batch, against crashes
/// by a request that count against the version, and against unexplained crashes that never count.
#[test]
fn crashes_count_unless_a_request_caused_them() {
    let nothing = |_: Body| false;
    let mut collector = collector();
    lose(&mut collector, Millis(0), "a", &[1, 2, 3, 4]);
    lose(&mut collector, LOSS_MERGE_WINDOW - Millis(1), "a", &[5]);
    assert_eq!(collector.settle_losses(Millis(1), nothing), [0, 0]);
    assert_eq!(collector.settle_losses(CRASH_CAUSE_WAIT, nothing), [0, 1]);
    // A request that both crashes have in common may be the cause.
    lose(&mut collector, Millis(50_000), "a", &[7, 8]);
    lose(&mut collector, Millis(51_000), "b", &[7, 9]);
    assert_eq!(collector.settle_losses(Millis(51_000), nothing), [0, 0]);
    assert_eq!(collector.settle_losses(Millis(52_000), |body| body == Body(7)), [0, 0]);
    assert_eq!(collector.settle_losses(Millis(90_000), nothing), [0, 0]);
    // Without a common request, both losses count at once.
    lose(&mut collector, Millis(100_000), "a", &[7, 8]);
    lose(&mut collector, Millis(101_000), "b", &[9, 10]);
    assert_eq!(collector.settle_losses(Millis(101_000), nothing), [0, 2]);
    assert_eq!(new_counts(&mut collector), Count::default());
}

/// Serves 2,000 requests of the old version, then `requests` of the new version that end as `end`
/// returns. Returns the monitor and the number of new requests until the stop.
fn serve(requests: u64, end: impl Fn(u64) -> (End, f64)) -> (Monitor, Option<u64>) {
    let mut monitor = Monitor::new(4);
    let mut stopped = None;
    for body in 0..2_000 + requests {
        let now = Millis(body * 500);
        let is_old = body < 2_000;
        let (end, per_token) = if is_old { (End::Finished, 10.0) } else { end(body - 2_000) };
        let (side, name) = if is_old { (Side::Old, "old") } else { (Side::New, "new") };
        let report = report(end, 100, 100, per_token);
        observe(side, name, body, &report, |observation| monitor.observe(now, observation));
        monitor.settle_losses(now, |_| false);
        if monitor.stop_reason().is_some() && stopped.is_none() {
            stopped = Some(body - 2_000);
        }
    }
    (monitor, stopped)
}

/// Guards against an owner that waits for control before it stops a version that fails, crashes or
/// is slow by its own evidence, and against a stop of a good version.
#[test]
fn an_owner_stops_a_bad_version_without_control() {
    // Three errors suspend the version at once, on every route.
    let (suspended, stopped) = serve(3, |_| (End::Failed, 10.0));
    assert_eq!(suspended.verdict(&"other".into()), Verdict::Rejected);
    assert_eq!(stopped, None);
    let (suspended, _) =
        serve(10, |body| (if body == 9 { End::Failed } else { End::Finished }, 10.0));
    assert_ne!(suspended.verdict(&"other".into()), Verdict::Rejected);
    // Three errors are enough. They are evaluated 3 s later, after 6 more requests.
    let (mut failing, stopped) = serve(20, |_| (End::Failed, 10.0));
    assert!(stopped.is_some_and(|after| after <= 2 + 6), "{stopped:?}");
    let evidence = failing.take_evidence(&"m".into(), &"v1".into(), &"v2".into());
    assert!(evidence.iter().any(|item| item.stopped && item.version == id::Version::from("v2")));
    let again = failing.take_evidence(&"m".into(), &"v1".into(), &"v2".into());
    assert!(again.iter().any(|item| item.stopped && item.requests == 0), "{again:?}");
    let (_, stopped) = serve(60, |_| (End::Finished, 20.0));
    assert!(stopped.is_some_and(|after| after <= 25), "{stopped:?}");
    let (_, stopped) =
        serve(600, |body| (if body % 40 == 0 { End::Broken } else { End::Finished }, 10.0));
    assert!(stopped.is_some_and(|after| after <= 400), "{stopped:?}");
    let (_, stopped) = serve(2_000, |_| (End::Finished, 10.5));
    assert_eq!(stopped, None);
    let (_, stopped) =
        serve(2_000, |body| (if body % 1_000 == 0 { End::Broken } else { End::Finished }, 10.5));
    assert_eq!(stopped, None);
}

/// Runs requests of both versions, one in 50 under high load, where they end as `old` and `new`
/// return. Returns whether the new version was stopped.
fn is_stopped_under_load(old: impl Fn(u64) -> (End, f64), new: impl Fn(u64) -> (End, f64)) -> bool {
    let mut monitor = Monitor::new(4);
    for body in 0..30_000_u64 {
        let load = if body.is_multiple_of(50) { 0.9 } else { 0.3 };
        for (side, name) in [(Side::Old, "old"), (Side::New, "new")] {
            let under_load = if side == Side::Old { old(body / 50) } else { new(body / 50) };
            let (end, per_token) = if 0.5 < load { under_load } else { (End::Finished, 10.0) };
            let report = report(end, 100, 100, per_token);
            let now = Millis(body * 50);
            observe_at(load, side, name, body, &report, |observation| {
                monitor.observe(now, observation)
            });
        }
    }
    monitor.stop_reason().is_some()
}

/// Guards against an undetected version that fails or is slow only under high load, where few
/// requests run, and against a stop of a version that is no worse there than the old one.
#[test]
fn faults_under_load_are_compared_with_the_old_version_under_load() {
    let good = |_| (End::Finished, 20.0);
    let fails =
        |group: u64| (if group.is_multiple_of(4) { End::Failed } else { End::Finished }, 20.0);
    let slow = |_| (End::Finished, 50.0);
    assert!(is_stopped_under_load(good, fails));
    assert!(is_stopped_under_load(good, slow));
    assert!(!is_stopped_under_load(good, good));
    assert!(!is_stopped_under_load(fails, fails));
}
