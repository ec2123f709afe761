//! Tests of what the old version's counts allow to conclude about the new one.

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

/// Adds requests of the old and the new version and has them judged.
fn add(set: &mut RouteTrials, route: &id::Route, old: Count, new: Count) {
    set.add(Millis(0), route, Counts { old, new, ..Counts::default() });
    set.judge(EVALUATION_DELAY);
}

/// Guards against a verdict by guess: while the old version's rate is hardly known, a few errors
/// do not reject and many good requests do not accept.
#[test]
fn little_traffic_gives_no_verdict() {
    let route = id::Route::from("rare");
    let mut set = RouteTrials::new(4);
    add(&mut set, &route, count(50, 0), count(5, 3));
    assert_eq!(set.verdict(&route), Verdict::Undecided);
    let mut set = RouteTrials::new(4);
    add(&mut set, &route, count(100, 0), count(2_000, 0));
    assert_eq!(set.verdict(&route), Verdict::Undecided);
    // The held requests count once the old version is known.
    add(&mut set, &route, count(10_000, 0), count(1, 0));
    assert_eq!(set.verdict(&route), Verdict::Accepted);
}

/// Guards against a fault of the whole version that has to show on each of many routes by itself.
#[test]
fn a_fault_on_all_routes_shows_over_all_of_them() {
    let mut set = RouteTrials::new(20);
    for index in 0..20 {
        let route = id::Route::from(format!("route-{index}"));
        add(&mut set, &route, count(5_000, 0), count(30, u64::from(index < 12)));
        assert_ne!(set.verdict(&route), Verdict::Rejected);
    }
    assert!(set.rejection_reason().is_some_and(|reason| reason.contains("all routes")));
}

/// Guards against the first errors of an outage that both versions share: the new version's are
/// seen a second before the old one's, and on a route where the old one was hardly used.
#[test]
fn a_shared_outage_does_not_reject() {
    let [busy, quiet] = ["busy", "quiet"].map(id::Route::from);
    let old = |requests, errors| Counts { old: count(requests, errors), ..Counts::default() };
    for end in [Millis(1_000), Millis(60_000)] {
        let mut set = RouteTrials::new(4);
        set.add(Millis(0), &busy, old(50_000, 0));
        set.add(Millis(0), &quiet, old(5_000, 0));
        set.add(Millis(60_000), &quiet, Counts { new: count(10, 4), ..Counts::default() });
        set.judge(Millis(60_000) + end);
        set.add(Millis(60_000) + end, &busy, old(60, 20));
        set.judge(Millis(60_000) + end.max(EVALUATION_DELAY));
        // Errors of the old version a minute later are no excuse.
        assert_eq!(set.is_rejected(), end != Millis(1_000));
    }
}

/// Returns whether losses reject the new version within 100 hours, with 20 old endpoints and 2 new.
fn is_rejected(old_per_hour: u64, new_per_hour: u64) -> bool {
    let mut trial = loss::LossTest::new(4);
    let hour = Millis::from_secs(3_600);
    (0..100).any(|_| {
        trial.add(Side::Old, old_per_hour, 20, hour);
        trial.add(Side::New, new_per_hour, 2, hour);
        trial.rejection_reason().is_some()
    })
}

/// Guards against a good version on endpoints that die as often as the old ones, seldom or often,
/// and against one whose endpoints die much more often.
#[test]
fn losses_are_compared_by_endpoint_time() {
    assert!(!is_rejected(10, 1));
    assert!(!is_rejected(120, 12));
    assert!(is_rejected(10, 40));
}

/// Guards against an outage that excuses the new version for good, once the old one has no traffic.
#[test]
fn a_past_outage_is_no_excuse() {
    let (mut set, route) = (RouteTrials::new(4), id::Route::from("r"));
    for (at, requests, errors) in [(0, 50_000, 0), (30_000, 60, 20)] {
        let old = count(requests, errors);
        set.add(Millis(at), &route, Counts { old, ..Counts::default() });
    }
    set.add(Millis(120_000), &route, Counts { new: count(10, 6), ..Counts::default() });
    set.judge(Millis(120_000) + EVALUATION_DELAY);
    assert!(set.is_rejected());
}
