//! The way of a change to all entries over links of 10 Mbit/s.

use rstest::rstest;
use wasabi_bench::spread::{
    case::{Case, Outcome, Start, Way, answer_bytes},
    site,
};

/// Longest time until a change is in force everywhere, in microseconds.
const EVERYWHERE: u64 = 7_000_000;

/// Most bytes of configurations for each host and change: 20 KB/s at 41,000 changes a day.
const CHANGE_BYTES_MAX: u64 = 20_000 * 24 * 60 * 60 / 41_000;

/// Rate of a link, in bytes a second.
const LINK: u64 = 10_000_000 / 8;

fn play(hosts: usize, routes: usize, start: Start, way: Way) -> Outcome {
    let config = site::config(hosts, routes);
    let answer_bytes = answer_bytes(&config, start, way);
    Case { config, way, start, answer_bytes, bytes_per_s: LINK, seed: 1 }.play()
}

fn assert_in_time(outcome: &Outcome, hosts: usize) {
    let last = outcome.in_force.last().copied();
    assert_eq!(outcome.in_force.len(), hosts, "after {last:?} us");
    assert!(last < Some(EVERYWHERE), "{last:?} us");
}

/// Guards against a change that takes longer, and costs more, with every entry and every route, since
/// one leader tells all of them all routes.
#[rstest]
fn a_change_of_a_route_is_in_force_everywhere_in_time(
    #[values(12, 84, 300)] hosts: usize,
    #[values(50, 500, 5_000)] routes: usize,
) {
    let outcome = play(hosts, routes, Start::Behind, Way::Changes);
    assert_in_time(&outcome, hosts);
    assert_eq!(outcome.unanswered, 0);
    let sent: u64 = outcome.sent.iter().sum();
    assert!(sent < hosts as u64 * CHANGE_BYTES_MAX, "{sent} bytes");
}

/// Guards against entries without a configuration that all wait for one leader.
#[rstest]
fn a_first_configuration_is_in_force_everywhere_in_time(
    #[values(12, 84, 300)] hosts: usize,
    #[values(50, 500)] routes: usize,
) {
    assert_in_time(&play(hosts, routes, Start::Empty, Way::Changes), hosts);
}

/// Guards against whole configurations that stand in each other's way, when no holder knows what the
/// askers hold.
#[rstest]
fn a_whole_configuration_is_in_force_everywhere_in_time(
    #[values(12, 84, 300)] hosts: usize,
    #[values(50, 500)] routes: usize,
) {
    assert_in_time(&play(hosts, routes, Start::Behind, Way::Fetched), hosts);
}
