//! Random schedules with one rule removed: each must show the fault that the rule prevents.
//!
//! `schedules.rs` runs schedules of the same kind with all rules. Pre-vote, check-quorum and the
//! vote hold are removed one by one in `rules.rs`, and the commit rule in `search.rs`: random
//! schedules did not find it in 12,000 cases.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time::Instant;

use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngSeed, TestRunner},
};
use support::{
    ops::{op, play},
    sim::Sim,
};
use wasabi_consensus::Rules;

const CASES_MAX: u32 = 500;

/// Plays schedules until one breaks an invariant, prints what it took, and fails if none does.
fn assert_found(name: &str, seed: u64, rules: Rules, prepare: fn(&mut Sim)) {
    let config = Config { rng_seed: RngSeed::Fixed(seed), ..Config::default() };
    let mut runner = TestRunner::new(config);
    let strategy = (any::<u64>(), proptest::collection::vec(op(), 1..80));
    let start = Instant::now();
    let found = (1..=CASES_MAX).find_map(|case| {
        let (seed, ops) = strategy.new_tree(&mut runner).unwrap().current();
        let mut sim = Sim::new(3, seed, rules);
        prepare(&mut sim);
        play(sim, &ops).err().map(|broken| (case, broken))
    });
    println!("{name}: {found:?} after {:?}", start.elapsed());
    assert!(found.is_some(), "{CASES_MAX} schedules without the rule show no fault");
}

/// Guards the rule that logs are compared by the term of acceptance.
#[test]
fn one_number_for_both_terms_is_found() {
    let rules = Rules { separate_terms: false, ..Rules::ALL };
    assert_found("one number for both terms", 2, rules, |_| {});
}

/// Guards the rule that an answer leaves only after what it promises is durable.
#[test]
fn an_answer_before_the_sync_is_found() {
    let rules = Rules { sync_first: false, ..Rules::ALL };
    assert_found("answer before sync", 3, rules, |_| {});
}

/// Guards the rule that a leader reads only inside its lease.
#[test]
fn a_read_without_a_lease_is_found() {
    let rules = Rules { lease: false, ..Rules::ALL };
    assert_found("read without lease", 2, rules, |_| {});
}

/// Guards the rule that a learner counts neither for an election nor for a commit.
#[test]
fn a_learner_with_a_vote_is_found() {
    let rules = Rules { learner_has_no_vote: false, ..Rules::ALL };
    assert_found("learner with a vote", 3, rules, |_| {});
}

/// Guards the rule that a membership change waits for the one before.
#[test]
fn two_membership_changes_at_a_time_are_found() {
    let rules = Rules { one_change: false, ..Rules::ALL };
    assert_found("two changes at a time", 1, rules, |_| {});
}

/// Guards the rule that a host with an empty disk gets a new member id.
#[test]
fn an_empty_disk_under_the_old_id_is_found() {
    assert_found("old id on an empty disk", 4, Rules::ALL, |sim| sim.keep_id = true);
}
