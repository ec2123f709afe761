//! Generates configurations of a given size.

use wasabi_protocol::{
    clock::Millis,
    command::{Config, Duty, Entry, View},
    contract::Tier,
    endpoint::Kind,
    fingerprint, id,
    site::{Backend, Config as Site, Organisation, Repeat, Route, Target},
};

/// Number of data centres among which the entries are distributed.
const DATA_CENTRES: usize = 3;

/// Number of organisations of the site.
const ORGANISATIONS: usize = 16;

/// Number of entries with more capacity, which are also members of the control group.
pub const MEMBERS: usize = 6;

/// Returns a first configuration with the given numbers of entries and routes.
pub fn config(entries: usize, routes: usize) -> Config {
    let site = Site {
        version: 1,
        routes: (0..routes).map(route).collect(),
        backends: vec![Backend { name: "llm".into(), kind: Kind::Model, tokens_per_event: 4 }],
        organisations: (0..ORGANISATIONS).map(organisation).collect(),
        ..Site::default()
    };
    Config {
        revision: id::Revision(1),
        view: View { number: id::View(1), entries: (0..entries).map(entry).collect() },
        site: Some(site),
        ..Config::default()
    }
}

/// Returns the next configuration, in which one route has changed.
pub fn changed(before: &Config) -> Config {
    let mut config = before.clone();
    config.revision = config.revision.next();
    if let Some(site) = &mut config.site {
        site.version += 1;
        let middle = site.routes.len() / 2;
        site.routes[middle].timeout = Millis(site.routes[middle].timeout.0 + 1);
    }
    config
}

/// Returns the name of the entry with an index.
pub fn name(number: usize) -> id::Entry {
    format!("front-{number}").as_str().into()
}

fn entry(number: usize) -> Entry {
    Entry {
        name: name(number),
        caller_address: format!("10.0.{}.{}:8080", number / 250, number % 250),
        peer_address: format!("10.0.{}.{}:8090", number / 250, number % 250),
        data_centre: format!("dc-{}", number % DATA_CENTRES).as_str().into(),
        region: "north".into(),
        capacity: if number < MEMBERS { 320 } else { 120 },
        started: Millis(1_700_000_000_000),
        duty: Duty::Serving,
    }
}

fn route(number: usize) -> Route {
    Route {
        name: format!("route-{number}").as_str().into(),
        host: format!("service-{}.example", number % 20),
        path_prefix: format!("/part/{number}/"),
        repeat: Repeat::Idempotent,
        tier: Tier::TOP,
        timeout: Millis(4_000),
        first_event: Millis(600),
        between_events: Millis(300),
        leaves_after: Millis::ZERO,
        attempts_max: 2,
        is_open: false,
        targets: vec![Target { backend: "llm".into(), weight: 1 }],
    }
}

fn organisation(number: usize) -> Organisation {
    Organisation {
        name: format!("organisation-{number}").as_str().into(),
        key_digests: vec![fingerprint::token(&format!("key-{number}"))],
        tier: None,
        tokens_per_s: 10_000,
        burst: None,
        plain_tokens: 10,
    }
}
