//! Random schedules of faults around the repair of a group, in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod repair_sim;

use proptest::{
    collection::vec,
    prelude::*,
    strategy::ValueTree as _,
    test_runner::{Config, RngSeed, TestRunner},
};
use repair_sim::{
    ops::{Op, op, play},
    sim::{Sim, Variant},
};

fn fixed(seed: u64, cases: u32) -> Config {
    Config { rng_seed: RngSeed::Fixed(seed), cases, failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(fixed(21, 200))]

    /// Guards against a schedule of faults that loses an acknowledged write, gives a term two
    /// leaders, or leaves a group of three short of a member.
    #[test]
    fn a_group_of_three_repairs_itself(
        seed in any::<u64>(), ops in vec(op(), 1..40),
    ) {
        prop_assert_eq!(play(Sim::new(3, seed, Variant::Present), &ops).map(drop), Ok(()));
    }
}

proptest! {
    #![proptest_config(fixed(22, 70))]

    /// As above for five members, where two may be lost together.
    #[test]
    fn a_group_of_five_repairs_itself(
        seed in any::<u64>(), ops in vec(op(), 1..40),
    ) {
        prop_assert_eq!(play(Sim::new(5, seed, Variant::Present), &ops).map(drop), Ok(()));
    }
}

/// Returns after how many cases a schedule breaks the variant in a group of three.
fn find(variant: Variant, cases: u32) -> Option<u32> {
    let mut runner = TestRunner::new(fixed(23, cases));
    let strategy = (any::<u64>(), vec(op(), 1..40));
    (1..=cases).find(|_| {
        let (seed, ops) = strategy.new_tree(&mut runner).unwrap().current();
        play(Sim::new(3, seed, variant), &ops).is_err()
    })
}

/// Guards against schedules that would pass without the rules that the incident led to.
#[test]
fn the_rules_before_the_incident_are_found() {
    for (variant, cases) in [
        (Variant::PromoteBeforeRemove, 20),
        (Variant::RedirectOverwritten, 20),
        (Variant::SilentBeforeAdded, 40),
        (Variant::AskEndsAfterDiskError, 700),
    ] {
        let found = find(variant, cases);
        println!("{variant:?} is found after {found:?} cases");
        assert!(found.is_some(), "{variant:?} is not found in {cases} cases");
    }
}

/// Guards against a voter that leaves the group although its disk is intact, while the learner that
/// takes its place has no vote yet: five voters become four, two of which may be lost.
#[test]
fn a_voter_whose_disk_was_full_is_needed_until_its_substitute_votes() {
    let ops = [
        Op::FillDisk(4, 2_111),
        Op::Run(1_622),
        Op::ReplacePlanned(0, 223),
        Op::FillDisk(2, 100),
        Op::LoseDisk(2, 50),
    ];
    let sim = Sim::new(5, 13_113_832_585_710_744_853, Variant::Present);
    assert_eq!(play(sim, &ops).map(drop), Ok(()));
}
