//! Faults of a schedule, and the conditions that must hold after them.

use proptest::prelude::*;
use wasabi_consensus::{Change, MemberKind};
use wasabi_control::repair::GroupState;
use wasabi_protocol::{clock::Millis, id};

use super::{
    host::Host,
    sim::{CATCH_UP_MS, Fault, RepairStep, Scheduled, Sim, Variant, Violation},
};

/// One fault. Hosts are given by their index among those that still exist.
#[derive(Debug, Clone)]
pub enum Op {
    Run(u64),
    /// The host loses its disk and restarts later.
    LoseDisk(usize, u64),
    /// The host is removed; an empty one starts at another address later.
    Replace(usize, u64),
    /// An empty host starts at another address; the host is removed later.
    ReplacePlanned(usize, u64),
    FillDisk(usize, u64),
    Freeze(usize, u64),
    Kill(usize, u64),
    KillAll(u64),
    Cut(usize, usize, u64),
    Isolate(usize, u64),
    Lossy(u64, u64),
    SlowDisks(u64, u64),
    Seeds(bool),
    StaleJoin(usize),
    FaultAt(RepairStep, Fault),
}

pub fn op() -> impl Strategy<Value = Op> {
    let host = 0..6_usize;
    let span = 100..3_000_u64;
    prop_oneof![
        6 => (10..2_500_u64).prop_map(Op::Run),
        4 => (host.clone(), 50..3_000_u64).prop_map(|(at, down)| Op::LoseDisk(at, down)),
        2 => (host.clone(), 50..3_000_u64).prop_map(|(at, down)| Op::Replace(at, down)),
        2 => (host.clone(), 50..500_u64).prop_map(|(at, lead)| Op::ReplacePlanned(at, lead)),
        2 => (host.clone(), span.clone()).prop_map(|(at, span)| Op::FillDisk(at, span)),
        2 => (host.clone(), span.clone()).prop_map(|(at, span)| Op::Freeze(at, span)),
        2 => (host.clone(), 50..1_000_u64).prop_map(|(at, down)| Op::Kill(at, down)),
        1 => (50..1_000_u64).prop_map(Op::KillAll),
        2 => (host.clone(), host.clone(), span.clone()).prop_map(|(a, b, s)| Op::Cut(a, b, s)),
        1 => (host.clone(), span.clone()).prop_map(|(at, span)| Op::Isolate(at, span)),
        1 => (10..300_u64, span.clone()).prop_map(|(loss, span)| Op::Lossy(loss, span)),
        1 => (10..300_u64, span).prop_map(|(delay, span)| Op::SlowDisks(delay, span)),
        2 => any::<bool>().prop_map(Op::Seeds),
        1 => host.prop_map(Op::StaleJoin),
        4 => (repair_step(), fault()).prop_map(|(step, fault)| Op::FaultAt(step, fault)),
    ]
}

fn repair_step() -> impl Strategy<Value = RepairStep> {
    proptest::sample::select(vec![
        RepairStep::JoinRequested,
        RepairStep::AddressAppended,
        RepairStep::AddressCommitted,
        RepairStep::AddAppended,
        RepairStep::ChangeCommitted,
        RepairStep::ChunkSent,
        RepairStep::RemoveAppended,
        RepairStep::PromoteAppended,
    ])
}

fn fault() -> impl Strategy<Value = Fault> {
    let span = 100..2_500_u64;
    prop_oneof![
        3 => Just(Fault::KillLeader),
        1 => span.clone().prop_map(Fault::FreezeLeader),
        1 => span.clone().prop_map(Fault::FillDisk),
        1 => span.clone().prop_map(Fault::CutLeader),
        1 => Just(Fault::KillSubject),
        1 => span.prop_map(Fault::FreezeSubject),
    ]
}

pub fn inject(sim: &mut Sim, at: usize, fault: Fault) {
    let newest = || (0..sim.hosts.len()).rev().find(|at| sim.hosts[*at].starts == 2);
    let subject = newest().unwrap_or(at);
    match fault {
        Fault::KillLeader => sim.kill(at, 300),
        Fault::FreezeLeader(span) => freeze(sim, at, span),
        Fault::FillDisk(span) => fill_disk(sim, at, span),
        Fault::CutLeader(span) => isolate(sim, at, span),
        Fault::KillSubject => sim.kill(subject, 300),
        Fault::FreezeSubject(span) => freeze(sim, subject, span),
    }
}

pub fn apply(sim: &mut Sim, op: &Op) -> Result<(), Violation> {
    let hosts: Vec<_> = (0..sim.hosts.len()).filter(|at| sim.hosts[*at].disk.is_some()).collect();
    let hosts: Vec<_> = hosts.into_iter().filter(|at| !sim.hosts[*at].is_removed).collect();
    let pick = |at: usize| hosts[at % hosts.len()];
    match *op {
        Op::Run(span) => sim.run(span)?,
        Op::LoseDisk(at, down) => {
            before_loss(sim)?;
            // A disk is lost only while no other host is known to have an empty one.
            let at = pick(at);
            sim.kill(at, down);
            sim.hosts[at].disk = None;
        }
        Op::Replace(at, down) => {
            before_loss(sim)?;
            remove_host(sim, pick(at));
            sim.disturb(&[pick(at)], 0);
            let new = add_host(sim);
            sim.push(down, Scheduled::Start(new));
            sim.disturb(&[], down);
        }
        Op::ReplacePlanned(at, lead) => {
            before_loss(sim)?;
            let new = add_host(sim);
            sim.start(new);
            // The next loss is tolerated from `CATCH_UP_MS` after this start on, not after the
            // removal.
            sim.disturb(&[], 0);
            sim.run(lead)?;
            remove_host(sim, pick(at));
        }
        Op::FillDisk(at, span) => fill_disk(sim, pick(at), span),
        Op::Freeze(at, span) => freeze(sim, pick(at), span),
        Op::Kill(at, down) => sim.kill(pick(at), down),
        Op::KillAll(most) => {
            for at in hosts {
                let down = sim.rng.u64(0..most);
                sim.kill(at, down);
            }
        }
        Op::Cut(from, to, span) => {
            let until = sim.now + span;
            sim.cuts.insert((pick(from), pick(to)), until);
            sim.disturb(&[pick(from), pick(to)], span);
        }
        Op::Isolate(at, span) => isolate(sim, pick(at), span),
        Op::Lossy(loss, span) => {
            sim.loss = (loss, sim.now + span);
            sim.disturb(&hosts, span);
        }
        Op::SlowDisks(delay, span) => {
            sim.sync_delay = (delay, sim.now + span);
            sim.disturb(&hosts, span);
        }
        Op::Seeds(observers) => assign_seeds(sim, observers),
        Op::StaleJoin(at) => {
            let address = sim.hosts[pick(at)].address.clone();
            let name: id::Member = format!("{address}-stale").into();
            for to in 0..sim.hosts.len() {
                let (name, address) = (name.clone(), address.clone());
                sim.push(1, Scheduled::Join { to, name, address, requester: None });
            }
        }
        Op::FaultAt(step, fault) => sim.pending_fault = Some((step, fault)),
    }
    Ok(())
}

fn fill_disk(sim: &mut Sim, at: usize, span: u64) {
    sim.hosts[at].full_until = sim.now + span;
    // The member restarts up to 300 ms after its disk can be written again.
    sim.disturb(&[at], span + 300);
}

fn freeze(sim: &mut Sim, at: usize, span: u64) {
    sim.hosts[at].frozen_until = sim.now + span;
    sim.disturb(&[at], span);
}

fn isolate(sim: &mut Sim, at: usize, span: u64) {
    let until = sim.now + span;
    for other in (0..sim.hosts.len()).filter(|other| *other != at) {
        sim.cuts.extend([((at, other), until), ((other, at), until)]);
    }
    sim.disturb(&[at], span);
}

fn remove_host(sim: &mut Sim, at: usize) {
    sim.hosts[at].is_removed = true;
    sim.hosts[at].process = None;
    // The seeds are updated in time, so that not all live seeds lose their disks at once.
    let exists = |host: &&Host| !host.is_removed && sim.seeds.contains(&host.address);
    if sim.hosts.iter().filter(exists).count() <= (sim.size - 1) / 2 {
        assign_seeds(sim, false);
    }
}

fn assign_seeds(sim: &mut Sim, observers: bool) {
    let is_seed = |host: &&Host| host.observed.is_some() == observers && !host.is_removed;
    let seeds = sim.hosts.iter().filter(is_seed).take(3);
    sim.seeds = seeds.map(|host| host.address.clone()).collect();
}

fn add_host(sim: &mut Sim) -> usize {
    sim.hosts.push(Host::new(format!("10.0.2.{}:1", sim.hosts.len())));
    sim.hosts.len() - 1
}

/// Waits until the next loss is allowed, and checks that the group has recovered from earlier ones.
fn before_loss(sim: &mut Sim) -> Result<(), Violation> {
    if sim.losses < (sim.size - 1) / 2 {
        sim.losses += 1;
        return Ok(());
    }
    settle(sim)?;
    sim.losses = 1;
    Ok(())
}

/// Runs until `CATCH_UP_MS` after the last disturbance, and checks the redundancy.
fn settle(sim: &mut Sim) -> Result<(), Violation> {
    sim.pending_fault = None;
    while sim.now < sim.disturbed_until + CATCH_UP_MS {
        sim.run(sim.disturbed_until + CATCH_UP_MS - sim.now)?;
    }
    check_redundancy(sim)
}

/// Checks that the group tolerates the same number of losses again.
pub fn check_redundancy(sim: &Sim) -> Result<(), Violation> {
    let at = sim.leader().ok_or_else(|| format!("at {}: no leader", sim.now))?;
    let process = sim.hosts[at].process.as_ref().unwrap();
    let node = process.node.as_ref().unwrap();
    let members = node.members(Millis(sim.now));
    let voters: Vec<_> = members.iter().filter(|status| status.kind == MemberKind::Voter).collect();
    let is_running = |status: &&&wasabi_consensus::Status| sim.host_of(&status.member).is_some();
    let running = voters.iter().filter(is_running).count();
    let spare = running.saturating_sub(node.membership().quorum());
    if running < sim.size || spare < (sim.size - 1) / 2 {
        let shown: Vec<_> = members
            .iter()
            .map(|status| {
                let (member, kind, silent) = (&status.member, status.kind, status.unanswered().0);
                format!("{member} {kind:?} {:?} {silent} ms", status.matched)
            })
            .collect();
        let shown = shown.join(", ");
        return Err(format!("at {}: after {CATCH_UP_MS} ms without faults: {shown}", sim.now));
    }
    Ok(())
}

/// Runs a schedule, and checks that the group recovers and retains all acknowledged writes.
pub fn run_schedule(mut sim: Sim, ops: &[Op]) -> Result<Sim, Violation> {
    sim.run(2_000)?;
    ops.iter().try_for_each(|op| apply(&mut sim, op))?;
    settle(&mut sim)?;
    let before = sim.acknowledged.len();
    sim.run(1_000)?;
    if sim.acknowledged.len() == before {
        return Err("no write succeeds after all faults have ended".to_owned());
    }
    let leader = sim.leader().ok_or("no leader")?;
    let writes = &sim.hosts[leader].process.as_ref().unwrap().machine.writes;
    let lost = sim.acknowledged.iter().find(|write| !writes.contains(write));
    match lost {
        Some(lost) => Err(format!("write {lost} was acknowledged and is lost")),
        None => Ok(sim),
    }
}

/// Returns the next membership change by the rules of the variant.
pub fn next_change(variant: Variant, group: &GroupState<'_>) -> Option<Change> {
    let learners = || group.members.iter().filter(|status| status.kind == MemberKind::Learner);
    let ready = || {
        let ready = learners().find(|status| status.has_caught_up)?;
        Some(Change::Promote(ready.member.clone()))
    };
    match variant {
        Variant::PromoteBeforeRemove => {
            // The earlier order, with a silence of 4 s counted from the election.
            let is_large = group.size
                < group.members.iter().filter(|status| status.kind == MemberKind::Voter).count();
            let gone = group.members.iter().find(|status| {
                Millis(4_000) <= status.unanswered()
                    && (is_large || status.kind == MemberKind::Learner)
            });
            ready().or_else(|| Some(Change::Remove(gone?.member.clone())))
        }
        Variant::SilentBeforeAdded => {
            let led = group.members.iter().filter_map(|status| status.tracked_for).max();
            let unheard = learners().find(|status| {
                status.since_contact.is_none() && led.is_some_and(|led| Millis(4_000) <= led)
            });
            let gone = unheard.map(|status| Change::Remove(status.member.clone()));
            gone.or_else(|| group.next_change())
        }
        _ => group.next_change(),
    }
}
