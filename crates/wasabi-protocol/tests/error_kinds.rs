//! Tests of the table from error kind to answer.

use std::collections::BTreeSet;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use wasabi_protocol::fault::{Kind, Ran, Retry};

fn fixed() -> Config {
    Config { rng_seed: RngSeed::Fixed(7), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed())]

    /// Guards against an answer that invites a blind resend of a request that may have run.
    #[test]
    fn a_blind_retry_is_offered_only_when_nothing_ran(index in 0..Kind::ALL.len()) {
        let answer = Kind::ALL[index].answer();
        prop_assert!((400..600).contains(&answer.status));
        if answer.retry == Retry::Safe {
            prop_assert_eq!(answer.ran, Ran::NotRun);
        }
        if answer.ran != Ran::NotRun {
            prop_assert_eq!(answer.retry, Retry::WithKey);
        }
    }

    /// Guards against a kind whose name on the wire differs from the one in metrics and logs.
    #[test]
    fn a_kind_has_one_name(index in 0..Kind::ALL.len()) {
        let kind = Kind::ALL[index];
        let wire = serde_json::to_string(&kind).unwrap();
        prop_assert_eq!(wire, format!("\"{kind}\""));
    }
}

/// Guards against a kind that is missing from the list or stands in it twice.
#[test]
fn the_list_holds_each_kind_once() {
    let names: BTreeSet<_> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
    assert_eq!(names.len(), Kind::ALL.len());
    assert_eq!(Kind::ALL.last().map(|kind| *kind as usize), Some(Kind::ALL.len() - 1));
}
