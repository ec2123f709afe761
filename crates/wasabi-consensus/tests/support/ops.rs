//! Operations that random schedules consist of: faults and requests.

use proptest::prelude::*;
use wasabi_consensus::Event;

use super::sim::{Sim, Violation};

/// A fault or a request.
#[derive(Debug, Clone)]
pub enum Op {
    Run(u64),
    Propose(usize),
    Crash(usize),
    Start(usize),
    LoseDisk(usize),
    Pause(usize, u64),
    Cut(usize, usize),
    Isolate(usize),
    Heal,
    ClockDrift(usize, u64),
    Compact(usize),
    Transfer,
    PowerLoss,
    SlowDisk(u64),
    Network { loss: u64, duplication: u64, delay: u64 },
}

/// Generates an operation.
pub fn op() -> impl Strategy<Value = Op> {
    let member = 0..5_usize;
    prop_oneof![
        8 => (10..1_500_u64).prop_map(Op::Run),
        8 => member.clone().prop_map(Op::Propose),
        3 => member.clone().prop_map(Op::Crash),
        4 => member.clone().prop_map(Op::Start),
        1 => member.clone().prop_map(Op::LoseDisk),
        2 => (member.clone(), 100..3_000_u64).prop_map(|(at, span)| Op::Pause(at, span)),
        2 => (member.clone(), member.clone()).prop_map(|(from, to)| Op::Cut(from, to)),
        2 => member.clone().prop_map(Op::Isolate),
        3 => Just(Op::Heal),
        1 => (member.clone(), 952..1_048_u64).prop_map(|(at, rate)| Op::ClockDrift(at, rate)),
        1 => member.prop_map(Op::Compact),
        1 => Just(Op::Transfer),
        1 => Just(Op::PowerLoss),
        1 => (0..150_u64).prop_map(Op::SlowDisk),
        1 => (0..300_u64, 0..300_u64, 1..60_u64)
            .prop_map(|(loss, duplication, delay)| Op::Network { loss, duplication, delay }),
    ]
}

/// Applies an operation to the simulation.
pub fn apply(sim: &mut Sim, op: &Op) -> Result<(), Violation> {
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
        Op::LoseDisk(member) => sim.lose_disk(at(member)),
        Op::Pause(member, span) => sim.replicas[at(member)].paused_until = sim.now + span,
        Op::Cut(from, to) => sim.cut_links.extend([(at(from), at(to))]),
        Op::Isolate(member) => {
            let member = at(member);
            for other in (0..count).filter(|other| *other != member) {
                sim.cut_links.extend([(member, other), (other, member)]);
            }
        }
        Op::Heal => sim.cut_links.clear(),
        Op::ClockDrift(member, rate) => sim.replicas[at(member)].set_clock_rate(sim.now, rate),
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
        Op::SlowDisk(delay) => sim.sync_delay_max_ms = delay,
        Op::Network { loss, duplication, delay } => {
            (sim.loss_permille, sim.duplication_permille, sim.delay_max_ms) =
                (loss, duplication, delay);
        }
    }
    Ok(())
}

/// Runs a schedule and checks that the group recovers after it.
pub fn run_schedule(mut sim: Sim, ops: &[Op]) -> Result<Sim, Violation> {
    sim.run(2_000)?;
    ops.iter().try_for_each(|op| apply(&mut sim, op))?;
    sim.heal_and_check()?;
    Ok(sim)
}
