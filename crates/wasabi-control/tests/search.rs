//! Tests of the search for the leader.
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

use std::collections::BTreeMap;

use wasabi_control::search::Round;

/// Returns the order in which a round queries the addresses, given the redirect of each, if any.
fn query_order(addresses: &[&str], redirects: &[(&str, &str)]) -> Vec<String> {
    let redirects: BTreeMap<_, _> = redirects.iter().copied().collect();
    let mut round = Round::new(addresses.iter().map(ToString::to_string));
    let mut order = Vec::new();
    while let Some(address) = round.next_address() {
        if let Some(other) = redirects.get(address.as_str()) {
            round.redirect((*other).to_owned());
        }
        order.push(address);
    }
    order
}

/// Guards against the leader's address being replaced by the redirect of another address.
#[test]
fn a_redirect_is_followed_before_the_next_address() {
    let redirects = [("observer", "follower"), ("follower", "leader"), ("other", "follower")];
    assert_eq!(
        query_order(&["observer", "other"], &redirects),
        ["observer", "follower", "leader", "other"]
    );
}

/// Guards against a search that never ends because two members redirect to each other.
#[test]
fn each_address_is_queried_once() {
    let redirects = [("one", "two"), ("two", "one"), ("three", "two")];
    assert_eq!(query_order(&["one", "three", "one"], &redirects), ["one", "two", "three"]);
}
