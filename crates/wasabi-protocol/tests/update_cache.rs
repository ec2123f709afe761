//! Tests of the cache of encoded updates.

#![allow(clippy::unwrap_used, reason = "errors fail the test")]

use wasabi_protocol::{
    command::{Config, View},
    id::{self, Revision},
    rpc::{ConfigVersion, Update, UpdateCache},
};

fn config(revision: u64) -> Config {
    let view = View { number: id::View(revision), entries: Vec::new() };
    Config { revision: Revision(revision), view, ..Config::default() }
}

/// Guards against encoding the configuration separately for each requester.
#[test]
fn update_is_encoded_once_per_held_version() {
    let mut cache = UpdateCache::default();
    let mut encoded = 0;
    for revision in [2, 3] {
        for held in [None, Some(ConfigVersion::of(&config(1)))] {
            for _ in 0..84 {
                let source = || {
                    encoded += 1;
                    config(revision)
                };
                let update = cache.answer(Revision(revision), held, source).unwrap();
                let expected = Update::new(config(revision), held.as_ref());
                let (actual, expected) =
                    (serde_json::to_string(&update), serde_json::to_string(&expected));
                assert_eq!(actual.unwrap(), expected.unwrap());
            }
        }
    }
    assert_eq!(encoded, 4);
}

/// Guards against memory use that grows with the number of different requesters.
#[test]
fn cache_size_is_bounded() {
    let mut cache = UpdateCache::default();
    let mut encoded = 0;
    for round in 1..=2 {
        for held in 0..100 {
            let held = Some(ConfigVersion::of(&config(held)));
            let source = || {
                encoded += 1;
                config(200)
            };
            cache.answer(Revision(200), held, source).unwrap();
        }
        assert_eq!(encoded, round * 100);
    }
}
