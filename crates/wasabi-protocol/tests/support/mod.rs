//! Configurations for tests.

#![allow(dead_code, unreachable_pub, reason = "each test file uses only some of these items")]
#![allow(clippy::unwrap_used, reason = "errors fail the test")]

use wasabi_protocol::{
    clock::Millis,
    command::{Config, Duty, Entry, View},
    contract::Tier,
    id::{self, Revision},
    site,
};

/// Number of entries in the view.
const ENTRIES: usize = 84;

pub fn entry(number: usize, started: u64) -> Entry {
    Entry {
        name: format!("front-{number}").as_str().into(),
        caller_address: format!("10.0.0.{number}:8080"),
        peer_address: format!("10.0.0.{number}:8090"),
        data_centre: "kozani-a".into(),
        region: "dytiki-mak".into(),
        capacity: 120,
        started: Millis(started),
        duty: Duty::Serving,
    }
}

pub fn route(number: usize) -> site::Route {
    site::Route {
        name: format!("r-{number}").as_str().into(),
        host: "ficu95.example".to_owned(),
        path_prefix: format!("/{number}/"),
        repeat: site::Repeat::Idempotent,
        tier: Tier::TOP,
        timeout: Millis(4_000),
        first_event: Millis(600),
        between_events: Millis(300),
        leaves_after: Millis::ZERO,
        attempts_max: 1,
        is_open: false,
        targets: vec![site::Target { backend: "m".into(), weight: 1 }],
    }
}

pub fn organisation(number: usize) -> site::Organisation {
    site::Organisation {
        name: format!("organisation-{number}").as_str().into(),
        key_digests: Vec::new(),
        tier: None,
        tokens_per_s: 0,
        burst: None,
        plain_tokens: 1,
    }
}

pub fn config(routes: usize) -> Config {
    let routes = (0..routes).map(route).collect();
    Config {
        revision: Revision(7),
        view: View {
            number: id::View(3),
            entries: (0..ENTRIES).map(|number| entry(number, 0)).collect(),
        },
        site: Some(site::Config { version: 11, routes, ..site::Config::default() }),
        ..Config::default()
    }
}
