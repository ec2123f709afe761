//! Random fault schedules with one protocol rule disabled: each must find the violation that the
//! rule prevents.
//!
//! `schedules.rs` runs schedules of the same kind with all rules in effect. `rules.rs` disables
//! pre-vote, check-quorum and leader stickiness one by one. `search.rs` disables the commit rule,
//! because random schedules found no violation without it in 12,000 cases.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time::Instant;

use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngSeed, TestRunner},
};
use support::{
    ops::{op, run_schedule},
    sim::Sim,
};
use wasabi_consensus::Rules;

const CASES_MAX: u32 = 500;

/// Runs schedules until one violates an invariant, prints the case and the time, and fails if none
/// does.
fn assert_violation_found(name: &str, seed: u64, rules: Rules, prepare: fn(&mut Sim)) {
    let config = Config { rng_seed: RngSeed::Fixed(seed), ..Config::default() };
    let mut runner = TestRunner::new(config);
    let strategy = (any::<u64>(), proptest::collection::vec(op(), 1..80));
    let start = Instant::now();
    let found = (1..=CASES_MAX).find_map(|case| {
        let (seed, ops) = strategy.new_tree(&mut runner).unwrap().current();
        let mut sim = Sim::new(3, seed, rules);
        prepare(&mut sim);
        run_schedule(sim, &ops).err().map(|violation| (case, violation))
    });
    println!("{name}: {found:?} after {:?}", start.elapsed());
    assert!(found.is_some(), "{CASES_MAX} schedules without the rule found no violation");
}

/// Guards the rule that elections compare the terms of the last entries, not the current terms.
#[test]
fn comparing_logs_by_current_term_is_found() {
    let rules = Rules { compare_entry_terms: false, ..Rules::ALL };
    assert_violation_found("logs compared by current term", 2, rules, |_| {});
}

/// Guards the rule that a reply is sent only after the state that it acknowledges is durable.
#[test]
fn a_reply_before_the_sync_is_found() {
    let rules = Rules { sync_before_send: false, ..Rules::ALL };
    assert_violation_found("reply before sync", 3, rules, |_| {});
}

/// Guards the rule that a leader serves reads only while its lease is valid.
#[test]
fn a_read_without_a_lease_is_found() {
    let rules = Rules { read_lease: false, ..Rules::ALL };
    assert_violation_found("read without lease", 2, rules, |_| {});
}

/// Guards the rule that a learner counts toward neither an election nor a commit quorum.
#[test]
fn a_learner_with_a_vote_is_found() {
    let rules = Rules { learners_do_not_vote: false, ..Rules::ALL };
    assert_violation_found("learner with a vote", 3, rules, |_| {});
}

/// Guards the rule that a membership change waits for the previous one to commit.
#[test]
fn concurrent_membership_changes_are_found() {
    let rules = Rules { one_pending_change: false, ..Rules::ALL };
    assert_violation_found("concurrent membership changes", 1, rules, |_| {});
}

/// Guards the rule that a host whose disk was lost gets a new member id.
#[test]
fn reusing_the_member_id_after_disk_loss_is_found() {
    assert_violation_found("member id reused after disk loss", 4, Rules::ALL, |sim| {
        sim.reuse_member_id = true
    });
}
