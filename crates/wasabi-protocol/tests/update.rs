//! Tests of which parts an update omits, depending on what the requester holds.

#![allow(clippy::unwrap_used, reason = "errors fail the test")]

mod support;

use rstest::rstest;
use support::{config, entry};
use wasabi_protocol::{
    clock::Millis,
    command::Config,
    rpc::{ConfigVersion, Update},
};

/// Returns a later configuration in which one entry was restarted.
fn with_restarted_entry(before: &Config) -> Config {
    let mut config = before.clone();
    config.revision = config.revision.next();
    config.view.number = config.view.number.next();
    config.view.entries[5] = entry(5, 1);
    config
}

/// Returns a later configuration in which one route was changed.
fn with_changed_route(before: &Config) -> Config {
    let mut config = before.clone();
    config.revision = config.revision.next();
    let site = config.site.as_mut().unwrap();
    site.version += 2;
    site.routes[3].timeout = Millis(9_000);
    config
}

fn encoded_bytes(update: &Update) -> usize {
    serde_json::to_vec(update).unwrap().len()
}

/// Guards against a requester whose configuration differs from the sender's after applying an update,
/// whatever the update omits.
#[rstest]
#[case::view(with_restarted_entry)]
#[case::site(with_changed_route)]
#[case::both(|before: &Config| with_changed_route(&with_restarted_entry(before)))]
fn update_results_in_the_configuration_of_the_sender(#[case] change: fn(&Config) -> Config) {
    let before = config(50);
    let after = change(&before);
    for held in
        [None, Some(ConfigVersion::of(&Config::default())), Some(ConfigVersion::of(&before))]
    {
        let update = Update::new(after.clone(), held.as_ref());
        let sent: Update = serde_json::from_slice(&serde_json::to_vec(&update).unwrap()).unwrap();
        assert_eq!(sent.apply_to(&before).unwrap(), after);
    }
}

/// Guards against updates of the view whose size grows with the number of routes.
#[test]
fn update_of_the_view_omits_the_site() {
    let sizes = [50, 5_000].map(|routes| {
        let before = config(routes);
        encoded_bytes(&Update::new(
            with_restarted_entry(&before),
            Some(&ConfigVersion::of(&before)),
        ))
    });
    assert_eq!(sizes[0], sizes[1]);
}

/// Guards against updates of the site whose size grows with the number of entries.
#[test]
fn update_of_the_site_omits_the_view() {
    let before = config(50);
    let mut small = before.clone();
    small.view.entries.truncate(1);
    let sizes = [&before, &small].map(|before| {
        encoded_bytes(&Update::new(with_changed_route(before), Some(&ConfigVersion::of(before))))
    });
    assert_eq!(sizes[0], sizes[1]);
}

/// Guards against sending a requester what it already holds, or an older configuration.
#[test]
fn requester_with_the_same_or_a_newer_revision_gets_no_parts() {
    let before = config(5_000);
    let held = ConfigVersion::of(&with_changed_route(&before));
    let update = Update::new(before, Some(&held));
    assert!(encoded_bytes(&update) < 200, "{}", encoded_bytes(&update));
}

/// Guards against incompatibility with earlier versions, which only support complete configurations.
#[test]
fn complete_update_has_the_encoding_of_a_configuration() {
    let config = config(50);
    let encoded = serde_json::to_value(Update::new(config.clone(), None)).unwrap();
    assert_eq!(encoded, serde_json::to_value(&config).unwrap());
    let update: Update = serde_json::from_value(encoded).unwrap();
    assert_eq!(update.apply_to(&Config::default()).unwrap(), config);
}
