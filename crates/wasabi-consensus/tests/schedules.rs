//! Random fault schedules in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use support::{
    ops::{op, run_schedule},
    sim::Sim,
};
use wasabi_consensus::Rules;

fn fixed(seed: u64, cases: u32) -> Config {
    Config { rng_seed: RngSeed::Fixed(seed), cases, ..Config::default() }
}

proptest! {
    #![proptest_config(fixed(11, 300))]

    /// Guards against a schedule of faults after which an acknowledged write is lost, two values
    /// are committed at one index, two members have a read lease, or the group makes no progress
    /// once the faults end.
    #[test]
    fn a_group_of_three_stays_consistent(
        seed in any::<u64>(), ops in proptest::collection::vec(op(), 1..80),
    ) {
        prop_assert_eq!(run_schedule(Sim::new(3, seed, Rules::ALL), &ops).map(drop), Ok(()));
    }
}

proptest! {
    #![proptest_config(fixed(12, 100))]

    /// Like `a_group_of_three_stays_consistent` for five members, of which two may fail at the same
    /// time.
    #[test]
    fn a_group_of_five_stays_consistent(
        seed in any::<u64>(), ops in proptest::collection::vec(op(), 1..80),
    ) {
        prop_assert_eq!(run_schedule(Sim::new(5, seed, Rules::ALL), &ops).map(drop), Ok(()));
    }
}
