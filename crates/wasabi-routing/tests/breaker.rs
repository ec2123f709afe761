//! Tests of the circuit breaker for calls to pool owners.

use proptest::{prelude::*, test_runner::RngSeed};
use wasabi_protocol::{clock::Millis, contract::Tier, id};
use wasabi_routing::breaker::{BACKOFF_MAX, BACKOFF_MIN, Breaker, REDIRECTS_MAX, Responder};

fn entry(name: &str) -> Option<id::Entry> {
    Some(name.into())
}

/// Guards against a breaker that delays requests while the owner answers.
#[test]
fn every_request_may_call_while_the_owner_answers() {
    let mut breaker = Breaker::default();
    let permits: Vec<_> = (0..10).map(|_| breaker.try_call(Millis(5), 0.0).unwrap()).collect();
    for permit in permits {
        assert!(
            !breaker.record_answer(permit, Responder::Current),
            "the breaker was closed already"
        );
    }
    assert!(breaker.try_call(Millis(5), 0.0).is_ok());
}

/// Guards against concurrent calls that each lengthen the backoff when they fail, and against a backoff
/// without upper limit.
#[test]
fn the_backoff_doubles_once_for_each_probe() {
    let mut breaker = Breaker::default();
    let permits: Vec<_> = (0..10).map(|_| breaker.try_call(Millis::ZERO, 0.0).unwrap()).collect();
    for permit in permits {
        breaker.record_failure(Millis::ZERO, permit, None, 0.0);
    }
    let mut now = Millis::ZERO;
    for backoff in [50, 100, 200, 400, 400, 400] {
        let next = breaker.try_call(now, 0.0).unwrap_err();
        assert_eq!(next, now + Millis(backoff));
        now = next;
        let permit = breaker.try_call(now, 0.0).unwrap();
        assert!(breaker.try_call(now, 0.0).is_err(), "two requests may probe at the same time");
        assert!(breaker.record_failure(now, permit, None, 0.0));
    }
}

/// Guards against requests that wait for a probe that is lost or waits in the owner's queue.
#[test]
fn an_unanswered_probe_is_followed_by_another() {
    let mut breaker = Breaker::default();
    let permit = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    breaker.record_failure(Millis::ZERO, permit, None, 0.0);
    let first = breaker.try_call(Millis(50), 0.0).unwrap();
    assert_eq!(breaker.try_call(Millis(50), 0.0), Err(Millis(150)));
    let second = breaker.try_call(Millis(150), 0.0).unwrap();
    assert!(breaker.record_answer(second, Responder::Current));
    assert!(
        !breaker.record_failure(Millis(160), first, None, 0.0),
        "an earlier call opens the breaker again"
    );
    assert!(breaker.try_call(Millis(160), 0.0).is_ok());
}

/// Guards against a new owner that is called only after the backoff for the previous one, and against
/// calls of all waiting requests before it has answered one.
#[test]
fn a_new_owner_is_probed_at_once_by_one_request() {
    let mut breaker = Breaker::default();
    for _ in 0..5 {
        if let Ok(permit) = breaker.try_call(Millis::ZERO, 0.0) {
            breaker.record_failure(Millis::ZERO, permit, None, 0.0);
        }
    }
    breaker.owner_changed(Millis(1));
    let permit = breaker.try_call(Millis(1), 0.0).unwrap();
    assert!(breaker.try_call(Millis(1), 0.0).is_err());
    assert!(breaker.record_answer(permit, Responder::Current));
    assert!(breaker.try_call(Millis(1), 0.0).is_ok());
}

/// Guards against two entries that name each other as owner and are called alternately without a
/// backoff.
#[test]
fn at_most_two_consecutive_redirects_are_followed() {
    let mut breaker = Breaker::default();
    for redirect in 0..=REDIRECTS_MAX {
        let permit = breaker.try_call(Millis::ZERO, 0.0).unwrap();
        breaker.record_failure(
            Millis::ZERO,
            permit,
            entry(if redirect % 2 == 0 { "b" } else { "a" }),
            0.0,
        );
    }
    assert!(breaker.try_call(Millis::ZERO, 0.0).is_err());
    assert_eq!(breaker.named_owner(), None);
}

/// Guards against a named owner that is dropped while it answers, or kept after it failed or after the
/// owner in this entry's view changed.
#[test]
fn a_named_owner_is_kept_until_it_fails() {
    let mut breaker = Breaker::default();
    let permit = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    breaker.record_failure(Millis::ZERO, permit, entry("b"), 0.0);
    let permit = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    assert!(breaker.record_answer(permit, Responder::Current));
    assert_eq!(breaker.named_owner(), entry("b").as_ref());
    let permit = breaker.try_call(Millis(9), 0.0).unwrap();
    assert!(breaker.record_failure(Millis(9), permit, None, 0.0));
    assert_eq!(breaker.named_owner(), None);
    let permit = breaker.try_call(Millis(59), 0.0).unwrap();
    breaker.record_failure(Millis(59), permit, entry("b"), 0.0);
    breaker.owner_changed(Millis(60));
    assert_eq!(breaker.named_owner(), None);
}

/// Guards against a breaker that stays open after one failed call: of 300 concurrent calls one failed,
/// the owner granted the others, and new requests still called it one at a time.
#[test]
fn an_answer_to_an_earlier_call_closes_the_breaker() {
    let mut breaker = Breaker::default();
    let first = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    let second = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    breaker.record_failure(Millis(10), first, None, 0.0);
    assert!(breaker.try_call(Millis(20), 0.0).is_err());
    assert!(breaker.record_answer(second, Responder::Current), "the current owner has answered");
    assert!(breaker.try_call(Millis(20), 0.0).is_ok());
    assert!(breaker.try_call(Millis(20), 0.0).is_ok(), "only one request may call");
}

/// Guards against a late answer from an owner that has been replaced: all requests would call an entry
/// that may not own the pool.
#[test]
fn an_answer_from_an_earlier_owner_does_not_close_the_breaker() {
    let mut breaker = Breaker::default();
    let first = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    let second = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    breaker.record_failure(Millis(10), first, entry("b"), 0.0);
    assert!(!breaker.record_answer(second, Responder::Earlier));
    let probe = breaker.try_call(Millis(11), 0.0).unwrap();
    assert!(breaker.try_call(Millis(11), 0.0).is_err());
    assert!(breaker.record_answer(probe, Responder::Current));
}

/// Guards against probes in the order of waking: the owner then does not know about the urgent requests
/// that wait at this entry.
#[test]
fn the_most_urgent_request_probes() {
    let mut breaker = Breaker::default();
    let permit = breaker.try_call(Millis::ZERO, 0.0).unwrap();
    breaker.record_failure(Millis::ZERO, permit, None, 0.0);
    let least = breaker.enqueue(Tier(4), Millis::ZERO);
    let later = breaker.enqueue(Tier::TOP, Millis(9));
    let first = breaker.enqueue(Tier::TOP, Millis(3));
    let now = Millis(50);
    assert!(breaker.try_call_queued(now, least, 0.0).is_err());
    assert!(breaker.try_call_queued(now, later, 0.0).is_err());
    assert!(breaker.try_call_queued(now, first, 0.0).is_ok());
    breaker.dequeue(first);
    assert!(
        breaker.try_call_queued(now, later, 0.0).is_err(),
        "two requests may probe at the same time"
    );
    let now = Millis(150);
    assert!(breaker.try_call_queued(now, least, 0.0).is_err());
    let permit = breaker.try_call_queued(now, later, 0.0).unwrap();
    assert!(breaker.record_answer(permit, Responder::Current));
    assert!(breaker.try_call_queued(now, least, 0.0).is_ok(), "a closed breaker has no order");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(24), ..ProptestConfig::default() })]

    /// Guards against a number of calls that grows with the number of waiting requests: for any failed
    /// answers, delays and jitter, there is at most one call per backoff while no owner grants or
    /// refuses a request.
    #[test]
    fn calls_are_bounded_while_no_owner_answers(
        waiting in 1_usize..200,
        steps in proptest::collection::vec((0.0..1.0_f64, any::<bool>()), 400),
    ) {
        let mut breaker = Breaker::default();
        let permit = breaker.try_call(Millis::ZERO, 0.0).unwrap();
        breaker.record_failure(Millis::ZERO, permit, None, 0.0);
        let (mut calls, mut open) = (0_u64, Vec::new());
        for (step, (jitter, is_answered)) in (0_u64..).zip(&steps) {
            let now = Millis(step * 5);
            for _ in 0..waiting {
                if let Ok(permit) = breaker.try_call(now, *jitter) {
                    calls += 1;
                    open.push(permit);
                }
            }
            if *is_answered && let Some(permit) = open.pop() {
                breaker.record_failure(now, permit, None, *jitter);
            }
        }
        // 2 s, with a backoff shortened by at most a quarter.
        prop_assert!(calls <= 2_000 / (BACKOFF_MIN.0 * 3 / 4), "{calls} calls");
        prop_assert!(breaker.try_call(Millis(2_000) + BACKOFF_MAX, 0.0).is_ok());
    }
}
