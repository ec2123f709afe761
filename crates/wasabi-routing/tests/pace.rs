//! Tests of slow-endpoint detection and progress bounds.

use wasabi_protocol::request::{End, Report};
use wasabi_protocol::{
    clock::Millis,
    endpoint::{self, Announcement},
    id,
};
use wasabi_routing::pace::{
    Class, PROBATION_AFTER, PROBE_INTERVAL, RECOVERY_AFTER, Sample, Standing, Tracker,
};

fn class(hardware: &str) -> Class {
    Class { backend: "m".into(), version: "v1".into(), hardware: hardware.to_owned() }
}

fn at(per_token_ms: f64) -> Sample {
    Sample { per_token_ms: Some(per_token_ms), per_prompt_token_ms: Some(1.0), silent: false }
}

/// Returns a tracker with four endpoints of one class at 10 ms per token, and the name of the first.
fn tracker() -> (Tracker, id::Endpoint) {
    let mut tracker = Tracker::default();
    for name in ["a", "b", "c", "d"] {
        tracker.join(&name.into(), class("h1"));
        for _ in 0..10 {
            tracker.record(Millis(0), &name.into(), at(10.0));
        }
    }
    (tracker, "a".into())
}

/// Guards against an endpoint that goes on probation for a single slow stream, and against a slow
/// endpoint that stays in full use.
#[test]
fn three_consecutive_slow_samples_start_a_probation() {
    let (mut tracker, name) = tracker();
    for _ in 0..PROBATION_AFTER - 1 {
        assert_eq!(tracker.record(Millis(1), &name, at(30.0)), Standing::Normal);
    }
    assert_eq!(tracker.record(Millis(1), &name, at(10.0)), Standing::Normal);
    let standings =
        [(); PROBATION_AFTER as usize].map(|()| tracker.record(Millis(1), &name, at(30.0)));
    assert_eq!(standings, [Standing::Normal, Standing::Normal, Standing::Probation]);
}

/// Guards against a slow hardware generation that is compared with a fast one.
#[test]
fn an_endpoint_is_compared_with_its_own_class() {
    let (mut tracker, _) = tracker();
    for name in ["s", "t"] {
        tracker.join(&name.into(), class("h0"));
    }
    for _ in 0..20 {
        assert_eq!(tracker.record(Millis(1), &"s".into(), at(40.0)), Standing::Normal);
        assert_eq!(tracker.record(Millis(1), &"t".into(), at(40.0)), Standing::Normal);
    }
    let announcement = Announcement {
        name: "s".into(),
        incarnation: 1,
        address: String::new(),
        data_centre: "dc".into(),
        kind: endpoint::Kind::Model,
        backend: "m".into(),
        version: "v1".into(),
        adapters: Vec::new(),
        hardware: "h0".to_owned(),
        concurrency: 1,
        abilities: endpoint::Abilities::default(),
        load: endpoint::Load::default(),
    };
    assert_eq!(Class::from(&announcement), class("h0"));
}

/// Guards against a lone endpoint, or the slower one of two, whose slowdown moves its own reference.
#[test]
fn a_lone_endpoint_is_compared_with_its_baseline() {
    for peers in [1, 2] {
        let mut tracker = Tracker::default();
        for name in &["a", "b"][..peers] {
            tracker.join(&(*name).into(), class("h1"));
            for _ in 0..10 {
                tracker.record(Millis(0), &(*name).into(), at(10.0));
            }
        }
        for _ in 0..PROBATION_AFTER {
            tracker.record(Millis(1), &"a".into(), at(30.0));
        }
        assert_eq!(tracker.standing(&"a".into()), Standing::Probation, "{peers} endpoints");
    }
}

/// Guards against an endpoint on probation that gets no probe request and so cannot recover, and
/// against one that keeps alternating between both standings at the same rate.
#[test]
fn good_samples_end_a_probation_and_a_relapse_requires_more() {
    let (mut tracker, name) = tracker();
    let mut needed = Vec::new();
    for round in 0..2 {
        let now = Millis(round * 10_000);
        for _ in 0..PROBATION_AFTER {
            tracker.record(now, &name, at(30.0));
        }
        assert!(tracker.probe_due(now, &name));
        tracker.record_probe(now, &name);
        assert!(!tracker.probe_due(now, &name));
        assert!(tracker.probe_due(now + PROBE_INTERVAL, &name));
        let good = (1..).find(|_| tracker.record(now, &name, at(10.0)) == Standing::Normal);
        needed.push(good.unwrap());
    }
    assert_eq!(needed, [RECOVERY_AFTER, 2 * RECOVERY_AFTER]);
}

/// Guards against stalled streams that do not count as slow.
#[test]
fn silent_streams_are_slow_samples() {
    let (mut tracker, name) = tracker();
    for _ in 0..PROBATION_AFTER {
        tracker.record(Millis(1), &name, Sample { silent: true, ..Sample::default() });
    }
    assert_eq!(tracker.standing(&name), Standing::Probation);
}

/// Guards against the same bound for all endpoints: streams of a slow endpoint would be cut off while
/// they progress, and a stalled stream of a fast one would be detected late.
#[test]
fn bounds_scale_with_the_speed_of_the_endpoint() {
    let (mut tracker, _) = tracker();
    tracker.join(&"s".into(), class("h0"));
    for _ in 0..40 {
        let slow =
            Sample { per_token_ms: Some(400.0), per_prompt_token_ms: Some(8.0), silent: false };
        tracker.record(Millis(1), &"s".into(), slow);
    }
    let between = |name: &str| tracker.between_tokens_bound(&name.into());
    let first = |name: &str| tracker.first_token_bound(&name.into(), 4_000);
    assert!(between("a") < Millis(1_000) && Millis(4_000) < between("s"));
    assert!(first("a") < first("s"));
    assert!(Millis(32_000) < first("s"));
}

/// Guards against a fast endpoint that goes on probation, which delays its queue, because some answers
/// took 3 ms instead of 1 ms.
#[test]
fn differences_of_a_few_milliseconds_are_ignored() {
    let mut tracker = Tracker::default();
    tracker.join(&"a".into(), class("h1"));
    let sample = |first_ms: u64, stream_ms: u64| {
        let report = Report {
            end: End::Finished,
            first_token: Some(Millis(first_ms)),
            stream: Millis(stream_ms),
            output_tokens: 20,
            prompt_tokens: 20,
        };
        Sample::of(&report, 20).unwrap()
    };
    for _ in 0..50 {
        tracker.record(Millis(1), &"a".into(), sample(1, 0));
    }
    for _ in 0..10 {
        assert_eq!(tracker.record(Millis(2), &"a".into(), sample(5, 15)), Standing::Normal);
    }
    for _ in 0..PROBATION_AFTER {
        tracker.record(Millis(3), &"a".into(), sample(60, 15));
    }
    assert_eq!(
        tracker.standing(&"a".into()),
        Standing::Probation,
        "a larger delay must still be detected"
    );
}

/// Guards against engines of different speed that announce no hardware: compared with the median of
/// all, each slow one would be on probation permanently.
#[test]
fn a_slow_engine_of_unknown_hardware_is_normal_until_it_slows_down() {
    let mut tracker = Tracker::default();
    let speeds = [("a", 10.0), ("b", 10.0), ("c", 10.0), ("slow", 30.0)];
    for (name, ms_per_token) in speeds {
        tracker.join(&name.into(), class(""));
        for _ in 0..20 {
            assert_eq!(tracker.record(Millis(0), &name.into(), at(ms_per_token)), Standing::Normal);
        }
    }
    // A burst slows all of them down equally.
    for (name, ms_per_token) in speeds {
        for _ in 0..PROBATION_AFTER {
            assert_eq!(
                tracker.record(Millis(1), &name.into(), at(ms_per_token * 1.8)),
                Standing::Normal
            );
        }
    }
    let standings = [(); 3].map(|()| tracker.record(Millis(2), &"slow".into(), at(120.0)));
    assert_eq!(standings[2], Standing::Probation);
}
