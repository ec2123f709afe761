//! Random schedules of faults in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use support::sim::{Broken, Sim};
use wasabi_consensus::{Event, Rules};

#[derive(Debug, Clone)]
enum Op {
    Run(u64),
    Propose(usize),
    Crash(usize),
    Start(usize),
    Wipe(usize),
    Freeze(usize, u64),
    Cut(usize, usize),
    Isolate(usize),
    Heal,
    Drift(usize, u64),
    Compact(usize),
    Transfer,
    Network { loss: u64, doubled: u64, delay: u64 },
}

fn op() -> impl Strategy<Value = Op> {
    let member = 0..5_usize;
    prop_oneof![
        8 => (10..1_500_u64).prop_map(Op::Run),
        8 => member.clone().prop_map(Op::Propose),
        3 => member.clone().prop_map(Op::Crash),
        4 => member.clone().prop_map(Op::Start),
        1 => member.clone().prop_map(Op::Wipe),
        2 => (member.clone(), 100..3_000_u64).prop_map(|(at, span)| Op::Freeze(at, span)),
        2 => (member.clone(), member.clone()).prop_map(|(from, to)| Op::Cut(from, to)),
        2 => member.clone().prop_map(Op::Isolate),
        3 => Just(Op::Heal),
        1 => (member.clone(), 952..1_048_u64).prop_map(|(at, rate)| Op::Drift(at, rate)),
        1 => member.prop_map(Op::Compact),
        1 => Just(Op::Transfer),
        1 => (0..300_u64, 0..300_u64, 1..60_u64)
            .prop_map(|(loss, doubled, delay)| Op::Network { loss, doubled, delay }),
    ]
}

fn apply(sim: &mut Sim, op: &Op) -> Result<(), Broken> {
    let count = sim.replicas.len();
    let at = |at: usize| at % count;
    match *op {
        Op::Run(span) => sim.run(span)?,
        Op::Propose(member) => {
            let leader = sim.leader().unwrap_or(at(member));
            for _ in 0..=member {
                sim.propose(leader)?;
            }
            sim.propose(at(member))?;
        }
        Op::Crash(member) => sim.crash(at(member)),
        Op::Start(member) => sim.start(at(member)),
        Op::Wipe(member) => sim.wipe(at(member)),
        Op::Freeze(member, span) => sim.replicas[at(member)].frozen_until = sim.now + span,
        Op::Cut(from, to) => drop(sim.cuts.insert((at(from), at(to)))),
        Op::Isolate(member) => {
            let member = at(member);
            for other in (0..count).filter(|other| *other != member) {
                sim.cuts.extend([(member, other), (other, member)]);
            }
        }
        Op::Heal => sim.cuts.clear(),
        Op::Drift(member, rate) => sim.replicas[at(member)].set_rate(sim.now, rate),
        Op::Compact(member) => sim.compact(at(member))?,
        Op::Transfer => {
            if let Some(leader) = sim.leader() {
                sim.step(leader, Event::Transfer)?;
            }
        }
        Op::Network { loss, doubled, delay } => {
            (sim.loss, sim.doubled, sim.delay) = (loss, doubled, delay);
        }
    }
    Ok(())
}

fn play(size: usize, seed: u64, ops: &[Op]) -> Result<Sim, Broken> {
    let mut sim = Sim::new(size, seed, Rules::ALL);
    sim.run(2_000)?;
    ops.iter().try_for_each(|op| apply(&mut sim, op))?;
    sim.settle()?;
    Ok(sim)
}

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
        prop_assert_eq!(play(3, seed, &ops).map(drop), Ok(()));
    }
}

proptest! {
    #![proptest_config(fixed(12, 100))]

    /// As above for five members, where two may fail together.
    #[test]
    fn a_group_of_five_stays_consistent(
        seed in any::<u64>(), ops in proptest::collection::vec(op(), 1..80),
    ) {
        prop_assert_eq!(play(5, seed, &ops).map(drop), Ok(()));
    }
}
