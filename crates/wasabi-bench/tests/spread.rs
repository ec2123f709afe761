//! Tests of the propagation of a configuration change to all entries, over links of 10 Mbit/s.

use rstest::rstest;
use wasabi_bench::spread::{
    case::{Case, Delivery, Outcome, Start, answer_bytes},
    site,
};

/// Maximum time until a change is in force everywhere.
const IN_FORCE_LIMIT_US: u64 = 7_000_000;

/// Maximum configuration bytes per host and change: 20 KB/s at 41,000 changes a day.
const CHANGE_BYTES_MAX: u64 = 20_000 * 24 * 60 * 60 / 41_000;

/// Bandwidth of a link.
const LINK_BYTES_PER_S: u64 = 10_000_000 / 8;

fn run(hosts: usize, routes: usize, start: Start, delivery: Delivery) -> Outcome {
    let config = site::config(hosts, routes);
    let answer_bytes = answer_bytes(&config, start, delivery);
    Case { config, delivery, start, answer_bytes, bytes_per_s: LINK_BYTES_PER_S, seed: 1 }.run()
}

fn assert_in_time(outcome: &Outcome, hosts: usize) {
    let last = outcome.in_force.last().copied();
    assert_eq!(
        outcome.in_force.len(),
        hosts,
        "hosts with the change in force; the last after {last:?} us"
    );
    assert!(last < Some(IN_FORCE_LIMIT_US), "in force everywhere only after {last:?} us");
}

/// Guards against propagation time and traffic that grow with the numbers of entries and routes, as
/// when one leader sends all routes to all entries.
#[rstest]
fn a_change_of_a_route_is_in_force_everywhere_in_time(
    #[values(12, 84, 300)] hosts: usize,
    #[values(50, 500, 5_000)] routes: usize,
) {
    let outcome = run(hosts, routes, Start::Behind, Delivery::Changes);
    assert_in_time(&outcome, hosts);
    assert_eq!(outcome.unanswered, 0);
    let sent: u64 = outcome.sent.iter().sum();
    assert!(sent < hosts as u64 * CHANGE_BYTES_MAX, "sent {sent} bytes of configurations");
}

/// Guards against a bottleneck at the leader when all entries start without a configuration.
#[rstest]
fn a_first_configuration_is_in_force_everywhere_in_time(
    #[values(12, 84, 300)] hosts: usize,
    #[values(50, 500)] routes: usize,
) {
    assert_in_time(&run(hosts, routes, Start::Empty, Delivery::Changes), hosts);
}

/// Guards against congestion by whole configurations, which are sent when the holder does not know
/// what the requester has.
#[rstest]
fn a_whole_configuration_is_in_force_everywhere_in_time(
    #[values(12, 84, 300)] hosts: usize,
    #[values(50, 500)] routes: usize,
) {
    assert_in_time(&run(hosts, routes, Start::Behind, Delivery::Fetched), hosts);
}
