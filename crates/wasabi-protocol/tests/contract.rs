//! Tests of contract validation, route lookup and fingerprints.

use rstest::rstest;
use wasabi_protocol::{
    clock::Millis,
    contract::{Contract, Limits, Repeat, Route, Target, Tier},
    fingerprint, id,
};

fn route(name: &str, method: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        tier: Tier::TOP,
        target: Target::Service {
            name: "dispatch".into(),
            method: method.to_owned(),
            path_prefix: path_prefix.to_owned(),
        },
        repeat: Repeat::Idempotent,
        first_token_ms: Millis(500),
        between_tokens_ms: Millis(50),
        deadline_ms: Millis(5_000),
    }
}

fn contract(routes: Vec<Route>) -> Contract {
    Contract {
        organisation: "hospital".into(),
        token_digests: vec![fingerprint::token("secret")],
        share: 1,
        limits: Limits { requests_per_s: 10, tokens_per_s: 1_000, concurrency: 4, burst: None },
        routes,
    }
}

/// Guards against a prefix that matches inside a path segment and so selects an unrelated route, and
/// against preferring the shorter of two matching prefixes.
#[rstest]
#[case("POST", "/orders", Some("orders"))]
#[case("post", "/orders/7", Some("orders"))]
#[case("POST", "/orders/urgent/1", Some("urgent"))]
#[case("POST", "/orders-archive", None)]
#[case("GET", "/orders", None)]
fn service_route_matches_whole_segments(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let contract = contract(vec![
        route("orders", "POST", "/orders"),
        route("urgent", "POST", "/orders/urgent"),
    ]);
    let found = contract.service_route("dispatch", method, path);
    assert_eq!(found.map(|route| route.name.as_str()), expected);
}

/// Guards against validation that stops at the first problem.
#[test]
fn all_problems_are_reported() {
    let mut invalid = route("orders", "POST", "orders");
    invalid.tier = Tier(9);
    invalid.deadline_ms = Millis(1);
    let mut contract = contract(vec![invalid.clone(), invalid]);
    contract.share = 0;
    contract.token_digests = vec!["XYZ".to_owned()];
    let fields: Vec<_> = contract.problems().into_iter().map(|problem| problem.field).collect();
    for expected in [
        "share",
        "token_digests[0]",
        "routes[0].tier",
        "routes[0].deadline_ms",
        "routes[0].target.service.path_prefix",
        "routes[1].name",
    ] {
        assert!(
            fields.iter().any(|field| field == expected),
            "{expected} is missing from {fields:?}"
        );
    }
}

/// Guards against quarantining a request of one organisation because of another's identical request.
#[test]
fn fingerprints_differ_between_organisations() {
    let body = b"the same text";
    let [first, second] = ["a", "b"].map(|name| {
        let organisation = id::Organisation::from(name);
        fingerprint::Body::of(&organisation, body)
    });
    assert_ne!(first, second);
}
