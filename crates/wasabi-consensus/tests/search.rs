//! Exhaustive search over elections, replication and restarts of three members.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::search::{Bounds, Found, search};
use wasabi_consensus::Rules;

fn report(name: &str, bounds: Bounds, found: &Found) {
    println!("{name}: {bounds:?}: {found:?}");
}

/// Guards against an order of elections, appends, lost replies and restarts within three terms that
/// gives one index two values or elects a leader that lacks a committed value.
#[test]
fn no_state_within_three_terms_breaks_an_invariant() {
    let bounds = Bounds { terms: 3, proposals: 0, states: 1_000_000 };
    let found = search(Rules::ALL, bounds);
    report("all rules", bounds, &found);
    assert!(found.broken.is_none());
    assert!(found.complete);
}

/// Shows that the search finds the fault of one number that serves both as the highest term joined
/// and as the term of acceptance.
#[test]
fn one_number_for_both_terms_is_found() {
    let bounds = Bounds { terms: 3, proposals: 0, states: 1_000_000 };
    let found = search(Rules { separate_terms: false, ..Rules::ALL }, bounds);
    report("one number for both terms", bounds, &found);
    assert!(found.broken.is_some());
}

/// Shows that the search finds a commit by copies of an entry of an earlier term, which needs four
/// terms.
#[test]
fn a_commit_by_copies_of_an_earlier_term_is_found() {
    let bounds = Bounds { terms: 4, proposals: 0, states: 1_000_000 };
    let found = search(Rules { current_term_commit: false, ..Rules::ALL }, bounds);
    report("commit of earlier terms by copies", bounds, &found);
    assert!(found.broken.is_some());
}
