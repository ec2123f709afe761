//! What an answer with a configuration leaves out, by what the asker holds.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use rstest::rstest;
use support::{config, entry};
use wasabi_protocol::{
    clock::Millis,
    command::Config,
    rpc::{ConfigVersion, Update},
};

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
    for held in
        [None, Some(ConfigVersion::of(&Config::default())), Some(ConfigVersion::of(&before))]
    {
        let update = Update::new(after.clone(), held.as_ref());
        let sent: Update = serde_json::from_slice(&serde_json::to_vec(&update).unwrap()).unwrap();
        assert_eq!(sent.apply_to(&before).unwrap(), after);
    }
}

/// Guards against a change of the view that costs more with every route.
#[test]
fn a_change_of_the_view_does_not_carry_the_site() {
    let sizes = [50, 5_000].map(|routes| {
        let before = config(routes);
        bytes(&Update::new(restarted(&before), Some(&ConfigVersion::of(&before))))
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
        .map(|before| bytes(&Update::new(routed(before), Some(&ConfigVersion::of(before)))));
    assert_eq!(sizes[0], sizes[1]);
}

/// Guards against an asker that is sent what it holds, or something older.
#[test]
fn an_asker_that_holds_the_revision_is_sent_no_part() {
    let before = config(5_000);
    let held = ConfigVersion::of(&routed(&before));
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
    assert_eq!(update.apply_to(&Config::default()).unwrap(), config);
}
