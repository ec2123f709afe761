//! Tests of the comparison of the new version with the old version's counts.

use wasabi_protocol::{clock::Millis, id};
use wasabi_rollout::{
    credit::Side,
    evidence::{Count, Counts},
    loss,
    sequential::Verdict,
    trial::{EVALUATION_DELAY, RouteTrials},
};

fn count(requests: u64, errors: u64) -> Count {
    Count { requests, errors, slow: 0 }
}

/// Adds requests of the old and the new version and evaluates them.
fn add(set: &mut RouteTrials, route: &id::Route, old: Count, new: Count) {
    set.add(Millis(0), route, Counts { old, new, ..Counts::default() });
    set.evaluate(EVALUATION_DELAY);
}

/// Guards against a verdict without a reference: while the old version's rate is hardly known, a
/// few errors do not reject and many good requests do not accept.
#[test]
fn little_traffic_gives_no_verdict() {
    let route = id::Route::from("rare");
    let mut set = RouteTrials::new(4);
    add(&mut set, &route, count(50, 0), count(5, 3));
    assert_eq!(set.verdict(&route), Verdict::Undecided);
    let mut set = RouteTrials::new(4);
    add(&mut set, &route, count(100, 0), count(2_000, 0));
    assert_eq!(set.verdict(&route), Verdict::Undecided);
    // The held requests count once the old version's rate is known.
    add(&mut set, &route, count(10_000, 0), count(1, 0));
    assert_eq!(set.verdict(&route), Verdict::Accepted);
}

/// Guards against a fault of the whole version that is only detected when a single route shows it.
#[test]
fn a_fault_on_all_routes_is_detected_over_all_routes() {
    let mut set = RouteTrials::new(20);
    for index in 0..20 {
        let route = id::Route::from(format!("route-{index}"));
        add(&mut set, &route, count(5_000, 0), count(30, u64::from(index < 12)));
        assert_ne!(set.verdict(&route), Verdict::Rejected);
    }
    assert!(set.rejection_reason().is_some_and(|reason| reason.contains("all routes")));
}

/// Guards against a rejection by the first errors of an outage that both versions share: the new
/// version's errors arrive a second before the old one's, and on a route with few requests of the
/// old one.
#[test]
fn a_shared_outage_does_not_reject() {
    let [busy, quiet] = ["busy", "quiet"].map(id::Route::from);
    let old = |requests, errors| Counts { old: count(requests, errors), ..Counts::default() };
    for end in [Millis(1_000), Millis(60_000)] {
        let mut set = RouteTrials::new(4);
        set.add(Millis(0), &busy, old(50_000, 0));
        set.add(Millis(0), &quiet, old(5_000, 0));
        set.add(Millis(60_000), &quiet, Counts { new: count(10, 4), ..Counts::default() });
        set.evaluate(Millis(60_000) + end);
        set.add(Millis(60_000) + end, &busy, old(60, 20));
        set.evaluate(Millis(60_000) + end.max(EVALUATION_DELAY));
        // Errors of the old version a minute later do not count as the same outage.
        assert_eq!(set.is_rejected(), end != Millis(1_000));
    }
}

/// Returns whether losses reject the new version within 100 hours, with 20 old and 2 new endpoints.
fn is_rejected(old_per_hour: u64, new_per_hour: u64) -> bool {
    let mut test = loss::LossTest::new(4);
    let hour = Millis::from_secs(3_600);
    (0..100).any(|_| {
        test.add(Side::Old, old_per_hour, 20, hour);
        test.add(Side::New, new_per_hour, 2, hour);
        test.rejection_reason().is_some()
    })
}

/// Guards against a rejection while new endpoints die as often as old ones, at a low or high rate,
/// and against no rejection when they die much more often.
#[test]
fn losses_are_compared_by_endpoint_time() {
    assert!(!is_rejected(10, 1));
    assert!(!is_rejected(120, 12));
    assert!(is_rejected(10, 40));
}

/// Guards against a past outage that still raises the good rate after the old version has no more
/// traffic.
#[test]
fn errors_after_an_outage_reject() {
    let (mut set, route) = (RouteTrials::new(4), id::Route::from("r"));
    for (at, requests, errors) in [(0, 50_000, 0), (30_000, 60, 20)] {
        let old = count(requests, errors);
        set.add(Millis(at), &route, Counts { old, ..Counts::default() });
    }
    set.add(Millis(120_000), &route, Counts { new: count(10, 6), ..Counts::default() });
    set.evaluate(Millis(120_000) + EVALUATION_DELAY);
    assert!(set.is_rejected());
}
