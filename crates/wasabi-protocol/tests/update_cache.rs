//! Encoding of answers with the configuration.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

use wasabi_protocol::{
    command::{Config, View},
    id::{self, Revision},
    rpc::{ConfigVersion, Update, UpdateCache},
};

fn config(revision: u64) -> Config {
    let view = View { number: id::View(revision), entries: Vec::new() };
    Config { revision: Revision(revision), view, ..Config::default() }
}

/// Guards against a holder that encodes the configuration anew for each asker.
#[test]
fn an_answer_is_encoded_once_for_all_that_hold_the_same() {
    let mut answers = UpdateCache::default();
    let mut encoded = 0;
    for revision in [2, 3] {
        for held in [None, Some(ConfigVersion::of(&config(1)))] {
            for _ in 0..84 {
                let source = || {
                    encoded += 1;
                    config(revision)
                };
                let answer = answers.answer(Revision(revision), held, source).unwrap();
                let expected = Update::new(config(revision), held.as_ref());
                let (sent, due) =
                    (serde_json::to_string(&answer), serde_json::to_string(&expected));
                assert_eq!(sent.unwrap(), due.unwrap());
            }
        }
    }
    assert_eq!(encoded, 4);
}

/// Guards against memory that grows with the number of different askers.
#[test]
fn few_answers_are_kept() {
    let mut answers = UpdateCache::default();
    let mut encoded = 0;
    for round in 1..=2 {
        for held in 0..100 {
            let held = Some(ConfigVersion::of(&config(held)));
            let source = || {
                encoded += 1;
                config(200)
            };
            answers.answer(Revision(200), held, source).unwrap();
        }
        assert_eq!(encoded, round * 100);
    }
}
