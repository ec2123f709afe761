//! Tests of the table of error kinds and their answers.

use std::collections::BTreeSet;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use wasabi_protocol::fault::{Kind, Ran, Retry};

fn fixed_seed() -> Config {
    Config { rng_seed: RngSeed::Fixed(7), ..Config::default() }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against an answer that marks a request as safe to resend although it may have run.
    #[test]
    fn retry_is_safe_only_if_the_request_did_not_run(index in 0..Kind::ALL.len()) {
        let answer = Kind::ALL[index].answer();
        prop_assert!((400..600).contains(&answer.status));
        if answer.retry == Retry::Safe {
            prop_assert_eq!(answer.ran, Ran::NotRun);
        }
        if answer.ran != Ran::NotRun {
            prop_assert_eq!(answer.retry, Retry::WithKey);
        }
    }

    /// Guards against a kind whose serialized name differs from the one in metrics and logs.
    #[test]
    fn serialized_and_displayed_names_are_equal(index in 0..Kind::ALL.len()) {
        let kind = Kind::ALL[index];
        let serialized = serde_json::to_string(&kind).unwrap();
        prop_assert_eq!(serialized, format!("\"{kind}\""));
    }
}

/// Guards against a kind that is missing from `Kind::ALL` or listed twice.
#[test]
fn all_lists_each_kind_once() {
    let names: BTreeSet<_> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
    assert_eq!(names.len(), Kind::ALL.len());
    assert_eq!(Kind::ALL.last().map(|kind| *kind as usize), Some(Kind::ALL.len() - 1));
}
