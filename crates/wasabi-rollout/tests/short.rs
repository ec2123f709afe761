//! Tests of moves that must end within seconds, with few requests to judge by.

use rstest::rstest;
use wasabi_protocol::{
    clock::Millis,
    fingerprint::Body,
    id,
    request::{End, Report},
};
use wasabi_rollout::{
    credit::Side,
    evidence::{Count, Counts, Observation},
    sequential::Verdict,
    stop::Watch,
    trial::{JUDGED_AFTER, Set},
};

/// Times per token of the old endpoints, which announce no hardware.
const FAST_MS: f64 = 3.5;
const SLOW_MS: f64 = 9.0;

/// The endpoints of requests in turn: the two fast ones of six get six of ten.
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

/// Ends a request of `tokens` output tokens on an endpoint, with `per_token` between them and
/// `ahead` prompt tokens of others read before its own.
fn end(
    watch: &mut Watch,
    now: Millis,
    (side, endpoint): (Side, &str),
    (per_token, tokens, ahead): (f64, u32, u32),
    end: End,
) {
    let first = 5.0 + per_token * (500.0 + f64::from(ahead)) / 75.0;
    let report = Report {
        end,
        first_token: Some(Millis(first as u64)),
        stream: Millis((f64::from(tokens - 1) * per_token) as u64),
        output_tokens: tokens,
        prompt_tokens: 500,
    };
    let seen = Observation {
        route: &"r".into(),
        side,
        endpoint: &endpoint.into(),
        hardware: "",
        fingerprint: Body(1),
        load: 0.4,
        ahead,
        report: &report,
    };
    watch.observe(now, seen);
}

/// Returns a watch that saw 600 requests of the old version, from long to short ones.
fn watch() -> Watch {
    let mut watch = Watch::new(3);
    for index in 0..600_u32 {
        let (endpoint, per_token) = OLD[index as usize % OLD.len()];
        let noise = 0.8 + 0.1 * f64::from(index / 10 % 5);
        let shape = (per_token * noise, 2 + (index * 7) % 300, 0);
        end(&mut watch, Millis(u64::from(index)), (Side::Old, endpoint), shape, End::Finished);
    }
    watch
}

/// Ends `requests` requests of the new version, has them judged and returns why it was stopped.
fn judge(watch: &mut Watch, requests: u32, shape: (f64, u32, u32), how: End) -> Option<String> {
    for index in 0..requests {
        let tokens = shape.1.max(2 + (index * 11) % 60);
        let shape = (shape.0, tokens, shape.2);
        end(watch, Millis(1_000), (Side::New, "new"), shape, how);
    }
    watch.settle(Millis(1_000) + JUDGED_AFTER, |_| false);
    watch.stopped().map(str::to_owned)
}

/// Guards against a good version that is taken back because it runs on the slower kind of endpoint
/// where no hardware is announced, or since its first tokens wait for prompts sent before them.
#[rstest]
#[case::on_slow_endpoints(SLOW_MS, 0)]
#[case::on_fast_endpoints(FAST_MS, 0)]
#[case::behind_other_prompts(SLOW_MS, 8_000)]
fn a_good_version_on_any_endpoint_is_kept(#[case] per_token: f64, #[case] ahead: u32) {
    assert_eq!(judge(&mut watch(), 400, (per_token, 2, ahead), End::Finished), None);
}

/// Guards against a version four times slower that few requests do not show, because the unlike
/// speeds of the old endpoints make a third of the old version's requests look slow as well.
#[rstest]
#[case::finished(End::Finished, 2)]
#[case::abandoned(End::Abandoned, 100)]
fn twenty_requests_show_a_version_four_times_slower(#[case] how: End, #[case] tokens: u32) {
    let stopped = judge(&mut watch(), 20, (4.0 * SLOW_MS, tokens, 0), how);
    assert!(stopped.is_some_and(|reason| reason.contains("slow")));
}

/// Guards against a test of slowness that waits until the old version's error rate is known to a
/// point, for which a route of a short move has too few requests.
#[test]
fn slowness_is_judged_before_the_error_rate_is_known() {
    let (route, mut set) = (id::Route::from("r"), Set::new(3));
    let old = Count { requests: 120, errors: 0, slow: 2 };
    let new = Count { requests: 14, errors: 0, slow: 14 };
    set.add(Millis(0), &route, Counts { old, new, ..Counts::default() });
    set.judge(JUDGED_AFTER);
    assert_eq!(set.verdict(&route), Verdict::Rejected);
}
