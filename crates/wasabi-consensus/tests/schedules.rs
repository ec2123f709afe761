//! Random schedules of faults in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use support::{
    ops::{op, play},
    sim::Sim,
};
use wasabi_consensus::Rules;

fn fixed(seed: u64, cases: u32) -> Config {
    Config { rng_seed: RngSeed::Fixed(seed), cases, ..Config::default() }
}

proptest! {
    #![proptest_config(fixed(11, 300))]

    /// Guards against a schedule of faults that loses an acknowledged write, gives one index two
    /// values, gives two members a read lease, or leaves the group stuck after the faults end.
    #[test]
    fn a_group_of_three_stays_consistent(
        seed in any::<u64>(), ops in proptest::collection::vec(op(), 1..80),
    ) {
        prop_assert_eq!(play(Sim::new(3, seed, Rules::ALL), &ops).map(drop), Ok(()));
    }
}

proptest! {
    #![proptest_config(fixed(12, 100))]

    /// As above for five members, where two may fail together.
    #[test]
    fn a_group_of_five_stays_consistent(
        seed in any::<u64>(), ops in proptest::collection::vec(op(), 1..80),
    ) {
        prop_assert_eq!(play(Sim::new(5, seed, Rules::ALL), &ops).map(drop), Ok(()));
    }
}
