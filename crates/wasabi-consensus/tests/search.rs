//! Exhaustive search over elections, replication and restarts of three members.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::search::{Bounds, SearchOutcome, search};
use wasabi_consensus::Rules;

fn report(name: &str, bounds: Bounds, outcome: &SearchOutcome) {
    println!("{name}: {bounds:?}: {outcome:?}");
}

/// Guards against a sequence of elections, appends, lost replies and restarts within three terms
/// that commits two values at one index or elects a leader that lacks a committed value.
#[test]
fn no_state_within_three_terms_violates_an_invariant() {
    let bounds = Bounds { terms: 3, proposals: 0, states: 1_000_000 };
    let outcome = search(Rules::ALL, bounds);
    report("all rules", bounds, &outcome);
    assert!(outcome.violation.is_none());
    assert!(outcome.complete);
}

/// Checks that the search finds the violation that occurs when elections compare the current terms
/// of the members instead of the terms of their last entries.
#[test]
fn comparing_logs_by_current_term_is_found() {
    let bounds = Bounds { terms: 3, proposals: 0, states: 1_000_000 };
    let outcome = search(Rules { compare_entry_terms: false, ..Rules::ALL }, bounds);
    report("logs compared by current term", bounds, &outcome);
    assert!(outcome.violation.is_some());
}

/// Checks that the search finds the violation that occurs when a leader commits an entry of an
/// earlier term by counting its replicas. It takes four terms.
#[test]
fn committing_an_earlier_term_by_replica_count_is_found() {
    let bounds = Bounds { terms: 4, proposals: 0, states: 1_000_000 };
    let outcome = search(Rules { current_term_commit: false, ..Rules::ALL }, bounds);
    report("earlier term committed by replica count", bounds, &outcome);
    assert!(outcome.violation.is_some());
}
