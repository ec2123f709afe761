//! The recent maximum of request durations by route.

use wasabi_entry::Durations;
use wasabi_protocol::{clock::Millis, id};

fn route(name: &str) -> id::Route {
    name.into()
}

/// Guards against a draining entry that accepts a request which it would have to cut: the longest
/// request of a route counts, not the last one, and not that of another route.
#[test]
fn the_longest_duration_of_a_route_counts() {
    let mut durations = Durations::default();
    assert_eq!(durations.longest(Millis(0), &route("chat")), None);
    durations.add(Millis(1_000), &route("chat"), Millis(5_900));
    durations.add(Millis(2_000), &route("chat"), Millis(800));
    durations.add(Millis(2_000), &route("read"), Millis(30));
    assert_eq!(durations.longest(Millis(12_000), &route("chat")), Some(Millis(5_900)));
    assert_eq!(durations.longest(Millis(12_000), &route("read")), Some(Millis(30)));
}

/// Guards against a maximum of an entry that has just started, where only short requests have
/// ended yet.
#[test]
fn no_duration_is_reported_before_a_full_window() {
    let mut durations = Durations::default();
    durations.add(Millis(1_000), &route("chat"), Millis(800));
    durations.add(Millis(9_000), &route("chat"), Millis(900));
    assert_eq!(durations.longest(Millis(10_999), &route("chat")), None);
    assert_eq!(durations.longest(Millis(11_000), &route("chat")), Some(Millis(900)));
    durations.add(Millis(60_000), &route("chat"), Millis(700));
    assert_eq!(durations.longest(Millis(60_000), &route("chat")), None);
}

/// Guards against one slow request after which a route is refused for good, and against a route
/// that counts as fast because none of its requests ended recently.
#[test]
fn durations_expire_after_two_windows() {
    let mut durations = Durations::default();
    durations.add(Millis(0), &route("chat"), Millis(5_900));
    durations.add(Millis(11_000), &route("chat"), Millis(700));
    assert_eq!(durations.longest(Millis(11_000), &route("chat")), Some(Millis(5_900)));
    durations.add(Millis(22_000), &route("chat"), Millis(600));
    assert_eq!(durations.longest(Millis(22_000), &route("chat")), Some(Millis(700)));
    assert_eq!(durations.longest(Millis(50_000), &route("chat")), None);
}
