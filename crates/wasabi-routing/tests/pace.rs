//! Tests of stragglers and progress bounds.

use wasabi_protocol::request::{End, Report};
use wasabi_protocol::{
    clock::Millis,
    endpoint::{self, Announcement},
    id,
};
use wasabi_routing::pace::{
    Class, PROBATION_AFTER, PROBE_INTERVAL, RECOVERY_AFTER, Sample, Standing, Tracker,
};

fn kind(hardware: &str) -> Class {
    Class { backend: "m".into(), version: "v1".into(), hardware: hardware.to_owned() }
}

fn at(per_token_ms: f64) -> Sample {
    Sample { per_token_ms: Some(per_token_ms), per_prompt_token_ms: Some(1.0), silent: false }
}

/// Returns a board of four endpoints of one kind, at 10 ms a token, and the name of the first.
fn board() -> (Tracker, id::Endpoint) {
    let mut board = Tracker::default();
    for name in ["a", "b", "c", "d"] {
        board.join(&name.into(), kind("h1"));
        for _ in 0..10 {
            board.record(Millis(0), &name.into(), at(10.0));
        }
    }
    (board, "a".into())
}

/// Guards against an endpoint that goes on probation for a single slow stream, and against a
/// straggler that stays in full use.
#[test]
fn three_bad_samples_in_a_row_make_a_straggler() {
    let (mut board, name) = board();
    for _ in 0..PROBATION_AFTER - 1 {
        assert_eq!(board.record(Millis(1), &name, at(30.0)), Standing::Normal);
    }
    assert_eq!(board.record(Millis(1), &name, at(10.0)), Standing::Normal);
    let standings =
        [(); PROBATION_AFTER as usize].map(|()| board.record(Millis(1), &name, at(30.0)));
    assert_eq!(standings, [Standing::Normal, Standing::Normal, Standing::Probation]);
}

/// Guards against a slow generation that is judged by a fast one.
#[test]
fn an_endpoint_is_compared_with_its_own_kind() {
    let (mut board, _) = board();
    for name in ["s", "t"] {
        board.join(&name.into(), kind("h0"));
    }
    for _ in 0..20 {
        assert_eq!(board.record(Millis(1), &"s".into(), at(40.0)), Standing::Normal);
        assert_eq!(board.record(Millis(1), &"t".into(), at(40.0)), Standing::Normal);
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
    assert_eq!(Class::from(&announcement), kind("h0"));
}

/// Guards against a lone endpoint, or the slower one of two, that is its own reference.
#[test]
fn a_lone_endpoint_is_compared_with_its_past() {
    for peers in [1, 2] {
        let mut board = Tracker::default();
        for name in &["a", "b"][..peers] {
            board.join(&(*name).into(), kind("h1"));
            for _ in 0..10 {
                board.record(Millis(0), &(*name).into(), at(10.0));
            }
        }
        for _ in 0..PROBATION_AFTER {
            board.record(Millis(1), &"a".into(), at(30.0));
        }
        assert_eq!(board.standing(&"a".into()), Standing::Probation, "{peers} endpoints");
    }
}

/// Guards against an endpoint on probation that never gets the request by which it could recover,
/// and against one that flaps at the same pace as at first.
#[test]
fn probation_ends_by_progress_and_a_relapse_asks_for_more() {
    let (mut board, name) = board();
    let mut needed = Vec::new();
    for round in 0..2 {
        let now = Millis(round * 10_000);
        for _ in 0..PROBATION_AFTER {
            board.record(now, &name, at(30.0));
        }
        assert!(board.probe_due(now, &name));
        board.record_probe(now, &name);
        assert!(!board.probe_due(now, &name));
        assert!(board.probe_due(now + PROBE_INTERVAL, &name));
        let good = (1..).find(|_| board.record(now, &name, at(10.0)) == Standing::Normal);
        needed.push(good.unwrap());
    }
    assert_eq!(needed, [RECOVERY_AFTER, 2 * RECOVERY_AFTER]);
}

/// Guards against silence that does not count as missing progress.
#[test]
fn silent_streams_are_bad_samples() {
    let (mut board, name) = board();
    for _ in 0..PROBATION_AFTER {
        board.record(Millis(1), &name, Sample { silent: true, ..Sample::default() });
    }
    assert_eq!(board.standing(&name), Standing::Probation);
}

/// Guards against one bound for all: a slow endpoint would be cut while it works, and a fast one
/// would hang for long.
#[test]
fn bounds_scale_with_the_own_pace() {
    let (mut board, _) = board();
    board.join(&"s".into(), kind("h0"));
    for _ in 0..40 {
        let slow =
            Sample { per_token_ms: Some(400.0), per_prompt_token_ms: Some(8.0), silent: false };
        board.record(Millis(1), &"s".into(), slow);
    }
    let between = |name: &str| board.between_tokens_bound(&name.into());
    let first = |name: &str| board.first_token_bound(&name.into(), 4_000);
    assert!(between("a") < Millis(1_000) && Millis(4_000) < between("s"));
    assert!(first("a") < first("s"));
    assert!(Millis(32_000) < first("s"));
}

/// Guards against a fast endpoint that goes on probation, and so holds up its queue, because some
/// answers took 3 ms instead of 1 ms.
#[test]
fn differences_of_a_few_milliseconds_are_no_straggling() {
    let mut board = Tracker::default();
    board.join(&"a".into(), kind("h1"));
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
        board.record(Millis(1), &"a".into(), sample(1, 0));
    }
    for _ in 0..10 {
        assert_eq!(board.record(Millis(2), &"a".into(), sample(5, 15)), Standing::Normal);
    }
    for _ in 0..PROBATION_AFTER {
        board.record(Millis(3), &"a".into(), sample(60, 15));
    }
    assert_eq!(board.standing(&"a".into()), Standing::Probation, "a real delay is still seen");
}

/// Guards against engines of unlike speed that announce no hardware: judged by the median of all,
/// each slow one would be on probation for good.
#[test]
fn a_slow_engine_of_unknown_hardware_is_no_straggler_until_it_slows_down() {
    let mut board = Tracker::default();
    let paces = [("a", 10.0), ("b", 10.0), ("c", 10.0), ("slow", 30.0)];
    for (name, pace) in paces {
        board.join(&name.into(), kind(""));
        for _ in 0..20 {
            assert_eq!(board.record(Millis(0), &name.into(), at(pace)), Standing::Normal);
        }
    }
    // A burst slows all of them alike.
    for (name, pace) in paces {
        for _ in 0..PROBATION_AFTER {
            assert_eq!(board.record(Millis(1), &name.into(), at(pace * 1.8)), Standing::Normal);
        }
    }
    let standings = [(); 3].map(|()| board.record(Millis(2), &"slow".into(), at(120.0)));
    assert_eq!(standings[2], Standing::Probation);
}
