//! Tests of how long requests took lately.

use wasabi_entry::Durations;
use wasabi_protocol::{clock::Millis, id};

fn route(name: &str) -> id::Route {
    name.into()
}

/// Guards against an entry that stops and takes a request which it has to cut: the longest request of
/// a route counts, not the last one, and not that of another route.
#[test]
fn the_longest_of_a_route_counts() {
    let mut durations = Durations::default();
    assert_eq!(durations.longest(Millis(0), &route("chat")), None);
    durations.add(Millis(1_000), &route("chat"), Millis(5_900));
    durations.add(Millis(2_000), &route("chat"), Millis(800));
    durations.add(Millis(2_000), &route("read"), Millis(30));
    assert_eq!(durations.longest(Millis(12_000), &route("chat")), Some(Millis(5_900)));
    assert_eq!(durations.longest(Millis(12_000), &route("read")), Some(Millis(30)));
}

/// Guards against an entry that has just started and knows only the requests that were quick enough
/// to have ended.
#[test]
fn nothing_is_known_before_a_whole_window() {
    let mut durations = Durations::default();
    durations.add(Millis(1_000), &route("chat"), Millis(800));
    durations.add(Millis(9_000), &route("chat"), Millis(900));
    assert_eq!(durations.longest(Millis(10_999), &route("chat")), None);
    assert_eq!(durations.longest(Millis(11_000), &route("chat")), Some(Millis(900)));
    durations.add(Millis(60_000), &route("chat"), Millis(700));
    assert_eq!(durations.longest(Millis(60_000), &route("chat")), None);
}

/// Guards against one slow request after which a route is refused for good, and against a route that
/// counts as quick since nothing was heard of it for long.
#[test]
fn durations_are_forgotten_after_two_windows() {
    let mut durations = Durations::default();
    durations.add(Millis(0), &route("chat"), Millis(5_900));
    durations.add(Millis(11_000), &route("chat"), Millis(700));
    assert_eq!(durations.longest(Millis(11_000), &route("chat")), Some(Millis(5_900)));
    durations.add(Millis(22_000), &route("chat"), Millis(600));
    assert_eq!(durations.longest(Millis(22_000), &route("chat")), Some(Millis(700)));
    assert_eq!(durations.longest(Millis(50_000), &route("chat")), None);
}
