//! Tests of the approach to a pool whose owner is unsettled.

use proptest::{prelude::*, test_runner::RngSeed};
use wasabi_protocol::{clock::Millis, contract::Tier, id};
use wasabi_routing::approach::{Approach, HOPS_MAX, PAUSE_MAX, PAUSE_MIN, Source};

fn entry(name: &str) -> Option<id::Entry> {
    Some(name.into())
}

/// Guards against a breaker that slows requests down while the owner answers.
#[test]
fn every_request_asks_while_the_owner_answers() {
    let mut approach = Approach::default();
    let turns: Vec<_> = (0..10).map(|_| approach.ask(Millis(5), 0.0).unwrap()).collect();
    for turn in turns {
        assert!(!approach.answered(turn, Source::Asked), "an open pool does not open");
    }
    assert!(approach.ask(Millis(5), 0.0).is_ok());
}

/// Guards against calls that fail together and each lengthen the pause, and against a pause without
/// bound.
#[test]
fn the_pause_doubles_once_for_each_probe() {
    let mut approach = Approach::default();
    let turns: Vec<_> = (0..10).map(|_| approach.ask(Millis::ZERO, 0.0).unwrap()).collect();
    for turn in turns {
        approach.failed(Millis::ZERO, turn, None, 0.0);
    }
    let mut now = Millis::ZERO;
    for pause in [50, 100, 200, 400, 400, 400] {
        let next = approach.ask(now, 0.0).unwrap_err();
        assert_eq!(next, now + Millis(pause));
        now = next;
        let turn = approach.ask(now, 0.0).unwrap();
        assert!(approach.ask(now, 0.0).is_err(), "two requests ask at one time");
        assert!(approach.failed(now, turn, None, 0.0));
    }
}

/// Guards against requests that wait for a probe whose call is lost, or waits in the owner's queue.
#[test]
fn an_unanswered_probe_is_followed_by_another() {
    let mut approach = Approach::default();
    let turn = approach.ask(Millis::ZERO, 0.0).unwrap();
    approach.failed(Millis::ZERO, turn, None, 0.0);
    let first = approach.ask(Millis(50), 0.0).unwrap();
    assert_eq!(approach.ask(Millis(50), 0.0), Err(Millis(150)));
    let second = approach.ask(Millis(150), 0.0).unwrap();
    assert!(approach.answered(second, Source::Asked));
    assert!(!approach.failed(Millis(160), first, None, 0.0), "an old call closes the pool again");
    assert!(approach.ask(Millis(160), 0.0).is_ok());
}

/// Guards against a new owner that is asked only after the pause for the old one, and against all
/// waiting requests that ask it before it has answered any.
#[test]
fn a_new_owner_is_asked_at_once_by_one_request() {
    let mut approach = Approach::default();
    for _ in 0..5 {
        if let Ok(turn) = approach.ask(Millis::ZERO, 0.0) {
            approach.failed(Millis::ZERO, turn, None, 0.0);
        }
    }
    approach.changed(Millis(1));
    let turn = approach.ask(Millis(1), 0.0).unwrap();
    assert!(approach.ask(Millis(1), 0.0).is_err());
    assert!(approach.answered(turn, Source::Asked));
    assert!(approach.ask(Millis(1), 0.0).is_ok());
}

/// Guards against two entries that name each other and are asked in turn without a pause.
#[test]
fn named_owners_are_asked_at_most_twice_in_a_row() {
    let mut approach = Approach::default();
    for hop in 0..=HOPS_MAX {
        let turn = approach.ask(Millis::ZERO, 0.0).unwrap();
        approach.failed(Millis::ZERO, turn, entry(if hop % 2 == 0 { "b" } else { "a" }), 0.0);
    }
    assert!(approach.ask(Millis::ZERO, 0.0).is_err());
    assert_eq!(approach.named(), None);
}

/// Guards against a named owner that is forgotten while it answers, or kept after it failed or the
/// own belief changed.
#[test]
fn a_named_owner_is_kept_until_it_fails() {
    let mut approach = Approach::default();
    let turn = approach.ask(Millis::ZERO, 0.0).unwrap();
    approach.failed(Millis::ZERO, turn, entry("b"), 0.0);
    let turn = approach.ask(Millis::ZERO, 0.0).unwrap();
    assert!(approach.answered(turn, Source::Asked));
    assert_eq!(approach.named(), entry("b").as_ref());
    let turn = approach.ask(Millis(9), 0.0).unwrap();
    assert!(approach.failed(Millis(9), turn, None, 0.0));
    assert_eq!(approach.named(), None);
    let turn = approach.ask(Millis(59), 0.0).unwrap();
    approach.failed(Millis(59), turn, entry("b"), 0.0);
    approach.changed(Millis(60));
    assert_eq!(approach.named(), None);
}

/// Guards against a pool that one failed call closes for good: of 300 calls under way one failed, the
/// owner granted the others, and new requests still asked it one at a time.
#[test]
fn an_answer_to_an_earlier_question_opens_the_pool() {
    let mut approach = Approach::default();
    let first = approach.ask(Millis::ZERO, 0.0).unwrap();
    let second = approach.ask(Millis::ZERO, 0.0).unwrap();
    approach.failed(Millis(10), first, None, 0.0);
    assert!(approach.ask(Millis(20), 0.0).is_err());
    assert!(approach.answered(second, Source::Asked), "the owner that is asked has answered");
    assert!(approach.ask(Millis(20), 0.0).is_ok());
    assert!(approach.ask(Millis(20), 0.0).is_ok(), "all requests may ask");
}

/// Guards against a late answer of an owner that was followed by another: all requests would ask an
/// entry that may own nothing.
#[test]
fn an_answer_of_an_earlier_owner_opens_nothing() {
    let mut approach = Approach::default();
    let first = approach.ask(Millis::ZERO, 0.0).unwrap();
    let second = approach.ask(Millis::ZERO, 0.0).unwrap();
    approach.failed(Millis(10), first, entry("b"), 0.0);
    assert!(!approach.answered(second, Source::Earlier));
    let probe = approach.ask(Millis(11), 0.0).unwrap();
    assert!(approach.ask(Millis(11), 0.0).is_err());
    assert!(approach.answered(probe, Source::Asked));
}

/// Guards against turns that are taken in the order of waking: the owner then knows nothing of the
/// urgent requests that wait here.
#[test]
fn the_most_urgent_request_takes_the_turn() {
    let mut approach = Approach::default();
    let turn = approach.ask(Millis::ZERO, 0.0).unwrap();
    approach.failed(Millis::ZERO, turn, None, 0.0);
    let least = approach.wait(Tier(4), Millis::ZERO);
    let later = approach.wait(Tier::TOP, Millis(9));
    let first = approach.wait(Tier::TOP, Millis(3));
    let now = Millis(50);
    assert!(approach.ask_from(now, least, 0.0).is_err());
    assert!(approach.ask_from(now, later, 0.0).is_err());
    assert!(approach.ask_from(now, first, 0.0).is_ok());
    approach.leave(first);
    assert!(approach.ask_from(now, later, 0.0).is_err(), "one request asks at one time");
    let now = Millis(150);
    assert!(approach.ask_from(now, least, 0.0).is_err());
    let turn = approach.ask_from(now, later, 0.0).unwrap();
    assert!(approach.answered(turn, Source::Asked));
    assert!(approach.ask_from(now, least, 0.0).is_ok(), "an open pool has no order");
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
        let mut approach = Approach::default();
        let turn = approach.ask(Millis::ZERO, 0.0).unwrap();
        approach.failed(Millis::ZERO, turn, None, 0.0);
        let (mut calls, mut open) = (0_u64, Vec::new());
        for (step, (jitter, is_answered)) in (0_u64..).zip(&steps) {
            let now = Millis(step * 5);
            for _ in 0..waiting {
                if let Ok(turn) = approach.ask(now, *jitter) {
                    calls += 1;
                    open.push(turn);
                }
            }
            if *is_answered && let Some(turn) = open.pop() {
                approach.failed(now, turn, None, *jitter);
            }
        }
        // 2 s; a pause is shortened by at most a quarter.
        prop_assert!(calls <= 2_000 / (PAUSE_MIN.0 * 3 / 4), "{calls} calls");
        prop_assert!(approach.ask(Millis(2_000) + PAUSE_MAX, 0.0).is_ok());
    }
}
