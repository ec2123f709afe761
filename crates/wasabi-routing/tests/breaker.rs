//! Tests of the breaker to a pool whose owner is unsettled.

use proptest::{prelude::*, test_runner::RngSeed};
use wasabi_protocol::{clock::Millis, contract::Tier, id};
use wasabi_routing::breaker::{BACKOFF_MAX, BACKOFF_MIN, Breaker, REDIRECTS_MAX, Responder};

fn entry(name: &str) -> Option<id::Entry> {
    Some(name.into())
}

/// Guards against a breaker that slows requests down while the owner answers.
#[test]
fn every_request_asks_while_the_owner_answers() {
    let mut breaker = Breaker::default();
    let turns: Vec<_> = (0..10).map(|_| breaker.try_call(Millis(5), 0.0).unwrap()).collect();
    for turn in turns {
        assert!(!breaker.record_answer(turn, Responder::Current), "an open pool does not open");
    }
    assert!(breaker.try_call(Millis(5), 0.0).is_ok());
}

/// Guards against calls that fail together and each lengthen the pause, and against a pause without
/// bound.
#[test]
fn the_pause_doubles_once_for_each_probe() {
    let mut breaker = Breaker::default();
    let turns: Vec<_> = (0..10).map(|_| breaker.try_call(Millis::ZERO, 0.0).unwrap()).collect();
    for turn in turns {
        breaker.record_failure(Millis::ZERO, turn, None, 0.0);
    }
    let mut now = Millis::ZERO;
    for pause in [50, 100, 200, 400, 400, 400] {
        let next = breaker.try_call(now, 0.0).unwrap_err();
        assert_eq!(next, now + Millis(pause));
        now = next;
        let turn = breaker.try_call(now, 0.0).unwrap();
        assert!(breaker.try_call(now, 0.0).is_err(), "two requests ask at one time");
        assert!(breaker.record_failure(now, turn, None, 0.0));
    }
}

/// Guards against requests that wait for a probe whose call is lost, or waits in the owner's queue.
#[test]
fn an_unanswered_probe_is_followed_by_another() {
    let mut breaker = Breaker::default();
    let turn = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    breaker.record_failure(Millis::ZERO, turn, None, 0.0);
    let first = breaker.try_call(Millis(50), 0.0).unwrap();
    assert_eq!(breaker.try_call(Millis(50), 0.0), Err(Millis(150)));
    let second = breaker.try_call(Millis(150), 0.0).unwrap();
    assert!(breaker.record_answer(second, Responder::Current));
    assert!(
        !breaker.record_failure(Millis(160), first, None, 0.0),
        "an old call closes the pool again"
    );
    assert!(breaker.try_call(Millis(160), 0.0).is_ok());
}

/// Guards against a new owner that is asked only after the pause for the old one, and against all
/// waiting requests that ask it before it has answered any.
#[test]
fn a_new_owner_is_asked_at_once_by_one_request() {
    let mut breaker = Breaker::default();
    for _ in 0..5 {
        if let Ok(turn) = breaker.try_call(Millis::ZERO, 0.0) {
            breaker.record_failure(Millis::ZERO, turn, None, 0.0);
        }
    }
    breaker.owner_changed(Millis(1));
    let turn = breaker.try_call(Millis(1), 0.0).unwrap();
    assert!(breaker.try_call(Millis(1), 0.0).is_err());
    assert!(breaker.record_answer(turn, Responder::Current));
    assert!(breaker.try_call(Millis(1), 0.0).is_ok());
}

/// Guards against two entries that name each other and are asked in turn without a pause.
#[test]
fn named_owners_are_asked_at_most_twice_in_a_row() {
    let mut breaker = Breaker::default();
    for hop in 0..=REDIRECTS_MAX {
        let turn = breaker.try_call(Millis::ZERO, 0.0).unwrap();
        breaker.record_failure(
            Millis::ZERO,
            turn,
            entry(if hop % 2 == 0 { "b" } else { "a" }),
            0.0,
        );
    }
    assert!(breaker.try_call(Millis::ZERO, 0.0).is_err());
    assert_eq!(breaker.named_owner(), None);
}

/// Guards against a named owner that is forgotten while it answers, or kept after it failed or the
/// own belief changed.
#[test]
fn a_named_owner_is_kept_until_it_fails() {
    let mut breaker = Breaker::default();
    let turn = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    breaker.record_failure(Millis::ZERO, turn, entry("b"), 0.0);
    let turn = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    assert!(breaker.record_answer(turn, Responder::Current));
    assert_eq!(breaker.named_owner(), entry("b").as_ref());
    let turn = breaker.try_call(Millis(9), 0.0).unwrap();
    assert!(breaker.record_failure(Millis(9), turn, None, 0.0));
    assert_eq!(breaker.named_owner(), None);
    let turn = breaker.try_call(Millis(59), 0.0).unwrap();
    breaker.record_failure(Millis(59), turn, entry("b"), 0.0);
    breaker.owner_changed(Millis(60));
    assert_eq!(breaker.named_owner(), None);
}

/// Guards against a pool that one failed call closes for good: of 300 calls under way one failed, the
/// owner granted the others, and new requests still asked it one at a time.
#[test]
fn an_answer_to_an_earlier_question_opens_the_pool() {
    let mut breaker = Breaker::default();
    let first = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    let second = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    breaker.record_failure(Millis(10), first, None, 0.0);
    assert!(breaker.try_call(Millis(20), 0.0).is_err());
    assert!(
        breaker.record_answer(second, Responder::Current),
        "the owner that is asked has answered"
    );
    assert!(breaker.try_call(Millis(20), 0.0).is_ok());
    assert!(breaker.try_call(Millis(20), 0.0).is_ok(), "all requests may ask");
}

/// Guards against a late answer of an owner that was followed by another: all requests would ask an
/// entry that may own nothing.
#[test]
fn an_answer_of_an_earlier_owner_opens_nothing() {
    let mut breaker = Breaker::default();
    let first = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    let second = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    breaker.record_failure(Millis(10), first, entry("b"), 0.0);
    assert!(!breaker.record_answer(second, Responder::Earlier));
    let probe = breaker.try_call(Millis(11), 0.0).unwrap();
    assert!(breaker.try_call(Millis(11), 0.0).is_err());
    assert!(breaker.record_answer(probe, Responder::Current));
}

/// Guards against turns that are taken in the order of waking: the owner then knows nothing of the
/// urgent requests that wait here.
#[test]
fn the_most_urgent_request_takes_the_turn() {
    let mut breaker = Breaker::default();
    let turn = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    breaker.record_failure(Millis::ZERO, turn, None, 0.0);
    let least = breaker.enqueue(Tier(4), Millis::ZERO);
    let later = breaker.enqueue(Tier::TOP, Millis(9));
    let first = breaker.enqueue(Tier::TOP, Millis(3));
    let now = Millis(50);
    assert!(breaker.try_call_queued(now, least, 0.0).is_err());
    assert!(breaker.try_call_queued(now, later, 0.0).is_err());
    assert!(breaker.try_call_queued(now, first, 0.0).is_ok());
    breaker.dequeue(first);
    assert!(breaker.try_call_queued(now, later, 0.0).is_err(), "one request asks at one time");
    let now = Millis(150);
    assert!(breaker.try_call_queued(now, least, 0.0).is_err());
    let turn = breaker.try_call_queued(now, later, 0.0).unwrap();
    assert!(breaker.record_answer(turn, Responder::Current));
    assert!(breaker.try_call_queued(now, least, 0.0).is_ok(), "an open pool has no order");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(24), ..ProptestConfig::default() })]

    /// Guards against a number of calls that grows with the number of waiting requests: whatever the
    /// answers, their delays and the jitter, there is at most one call in a pause while none of them
    /// is a grant or a refusal.
    #[test]
    fn calls_are_bounded_while_no_owner_answers(
        waiting in 1_usize..200,
        steps in proptest::collection::vec((0.0..1.0_f64, any::<bool>()), 400),
    ) {
        let mut breaker = Breaker::default();
        let turn = breaker.try_call(Millis::ZERO, 0.0).unwrap();
        breaker.record_failure(Millis::ZERO, turn, None, 0.0);
        let (mut calls, mut open) = (0_u64, Vec::new());
        for (step, (jitter, is_answered)) in (0_u64..).zip(&steps) {
            let now = Millis(step * 5);
            for _ in 0..waiting {
                if let Ok(turn) = breaker.try_call(now, *jitter) {
                    calls += 1;
                    open.push(turn);
                }
            }
            if *is_answered && let Some(turn) = open.pop() {
                breaker.record_failure(now, turn, None, *jitter);
            }
        }
        // 2 s; a pause is shortened by at most a quarter.
        prop_assert!(calls <= 2_000 / (BACKOFF_MIN.0 * 3 / 4), "{calls} calls");
        prop_assert!(breaker.try_call(Millis(2_000) + BACKOFF_MAX, 0.0).is_ok());
    }
}
