//! Tests of the search for the leader.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::collections::BTreeMap;

use wasabi_control::search::Round;

/// Returns the addresses in the order in which a round asks them, when each names another one or
/// none.
fn asked(addresses: &[&str], names: &[(&str, &str)]) -> Vec<String> {
    let names: BTreeMap<_, _> = names.iter().copied().collect();
    let mut round = Round::new(addresses.iter().map(ToString::to_string));
    let mut order = Vec::new();
    while let Some(address) = round.next_address() {
        if let Some(other) = names.get(address.as_str()) {
            round.redirect((*other).to_owned());
        }
        order.push(address);
    }
    order
}

/// Guards against the address of the leader being replaced by what another address names.
#[test]
fn the_named_leader_is_asked_before_the_next_address() {
    let names = [("observer", "follower"), ("follower", "leader"), ("other", "follower")];
    assert_eq!(asked(&["observer", "other"], &names), ["observer", "follower", "leader", "other"]);
}

/// Guards against a search that never ends since two members name each other.
#[test]
fn each_address_is_asked_once() {
    let names = [("one", "two"), ("two", "one"), ("three", "two")];
    assert_eq!(asked(&["one", "three", "one"], &names), ["one", "two", "three"]);
}
