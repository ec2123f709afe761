//! What an answer with a configuration leaves out, by what the asker holds.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

use rstest::rstest;
use wasabi_protocol::{
    clock::Millis,
    command::{Config, Duty, Entry, View},
    contract::Tier,
    id::{self, Revision},
    rpc::{Held, Update},
    site,
};

/// Entries of the view.
const ENTRIES: usize = 84;

fn entry(number: usize, started: u64) -> Entry {
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

fn route(number: usize) -> site::Route {
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

fn config(routes: usize) -> Config {
    let routes = (0..routes).map(route).collect();
    Config {
        revision: Revision(7),
        view: View { number: id::View(3), entries: (0..ENTRIES).map(|at| entry(at, 0)).collect() },
        site: Some(site::Config { version: 11, routes, ..site::Config::default() }),
        ..Config::default()
    }
}

/// A later configuration in which one entry was started anew.
fn restarted(before: &Config) -> Config {
    let mut config = before.clone();
    config.revision = config.revision.next();
    config.view.number = config.view.number.next();
    config.view.entries[5] = entry(5, 1);
    config
}

/// A later configuration with another route.
fn routed(before: &Config) -> Config {
    let mut config = before.clone();
    config.revision = config.revision.next();
    let site = config.site.as_mut().unwrap();
    site.version += 2;
    site.routes[3].timeout = Millis(9_000);
    config
}

fn bytes(update: &Update) -> usize {
    serde_json::to_vec(update).unwrap().len()
}

/// Guards against an asker whose configuration differs from the answerer's after it took an answer
/// over, whatever was left out.
#[rstest]
#[case::view(restarted)]
#[case::site(routed)]
#[case::both(|before: &Config| routed(&restarted(before)))]
fn an_update_leads_to_the_configuration_of_the_answerer(#[case] change: fn(&Config) -> Config) {
    let before = config(50);
    let after = change(&before);
    for held in [None, Some(Held::of(&Config::default())), Some(Held::of(&before))] {
        let update = Update::new(after.clone(), held.as_ref());
        let sent: Update = serde_json::from_slice(&serde_json::to_vec(&update).unwrap()).unwrap();
        assert_eq!(sent.onto(&before), after);
    }
}

/// Guards against a change of the view that costs more with every route.
#[test]
fn a_change_of_the_view_does_not_carry_the_site() {
    let sizes = [50, 5_000].map(|routes| {
        let before = config(routes);
        bytes(&Update::new(restarted(&before), Some(&Held::of(&before))))
    });
    assert_eq!(sizes[0], sizes[1]);
}

/// Guards against a change of the site that costs more with every entry.
#[test]
fn a_change_of_the_site_does_not_carry_the_view() {
    let before = config(50);
    let mut small = before.clone();
    small.view.entries.truncate(1);
    let sizes = [&before, &small]
        .map(|before| bytes(&Update::new(routed(before), Some(&Held::of(before)))));
    assert_eq!(sizes[0], sizes[1]);
}

/// Guards against an asker that is sent what it holds, or something older.
#[test]
fn an_asker_that_holds_the_revision_is_sent_no_part() {
    let before = config(5_000);
    let held = Held::of(&routed(&before));
    let update = Update::new(before, Some(&held));
    assert!(bytes(&update) < 200, "{}", bytes(&update));
}

/// Guards against askers and answerers of earlier versions, which know whole configurations only.
#[test]
fn a_whole_update_has_the_form_of_a_configuration() {
    let config = config(50);
    let whole = serde_json::to_value(Update::new(config.clone(), None)).unwrap();
    assert_eq!(whole, serde_json::to_value(&config).unwrap());
    let update: Update = serde_json::from_value(whole).unwrap();
    assert_eq!(update.onto(&Config::default()), config);
}
