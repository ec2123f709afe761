//! Faults and requests that schedules are made of.

use proptest::prelude::*;
use wasabi_consensus::Event;

use super::sim::{Broken, Sim};

/// One fault or request.
#[derive(Debug, Clone)]
pub enum Op {
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
    PowerLoss,
    SlowDisk(u64),
    Network { loss: u64, doubled: u64, delay: u64 },
}

/// Returns any of them.
pub fn op() -> impl Strategy<Value = Op> {
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
        1 => Just(Op::PowerLoss),
        1 => (0..150_u64).prop_map(Op::SlowDisk),
        1 => (0..300_u64, 0..300_u64, 1..60_u64)
            .prop_map(|(loss, doubled, delay)| Op::Network { loss, doubled, delay }),
    ]
}

/// Carries one out.
pub fn apply(sim: &mut Sim, op: &Op) -> Result<(), Broken> {
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
        Op::Cut(from, to) => sim.cuts.extend([(at(from), at(to))]),
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
                sim.step(leader, Event::TransferLeadership)?;
            }
        }
        Op::PowerLoss => {
            let running: Vec<_> =
                (0..count).filter(|at| sim.replicas[*at].node.is_some()).collect();
            running.iter().for_each(|at| sim.crash(*at));
            running.iter().for_each(|at| sim.start(*at));
        }
        Op::SlowDisk(delay) => sim.sync_delay = delay,
        Op::Network { loss, doubled, delay } => {
            (sim.loss, sim.doubled, sim.delay) = (loss, doubled, delay);
        }
    }
    Ok(())
}

/// Plays a schedule and checks that the group works after it.
pub fn play(mut sim: Sim, ops: &[Op]) -> Result<Sim, Broken> {
    sim.run(2_000)?;
    ops.iter().try_for_each(|op| apply(&mut sim, op))?;
    sim.settle()?;
    Ok(sim)
}
