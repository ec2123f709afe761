//! Faults that schedules are made of, and what must hold after them.

use proptest::prelude::*;
use wasabi_consensus::{Change, MemberKind};
use wasabi_control::repair::GroupState;
use wasabi_protocol::{clock::Millis, id};

use super::{
    host::Host,
    sim::{Broken, CATCH_UP, Due, Moment, Sim, Strike, Variant},
};

/// One fault. Hosts are given by their place among those that still exist.
#[derive(Debug, Clone)]
pub enum Op {
    Run(u64),
    /// The disk is lost; the host is back after a while.
    LoseDisk(usize, u64),
    /// The host is gone; an empty one starts at another address later.
    Replace(usize, u64),
    /// An empty host starts at another address; the host is gone later.
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
    Trap(Moment, Strike),
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
        4 => (moment(), a_strike()).prop_map(|(moment, strike)| Op::Trap(moment, strike)),
    ]
}

fn moment() -> impl Strategy<Value = Moment> {
    proptest::sample::select(vec![
        Moment::Asked,
        Moment::AddressPlaced,
        Moment::AddressCommitted,
        Moment::AddPlaced,
        Moment::ChangeCommitted,
        Moment::ChunkSent,
        Moment::RemovePlaced,
        Moment::PromotePlaced,
    ])
}

fn a_strike() -> impl Strategy<Value = Strike> {
    let span = 100..2_500_u64;
    prop_oneof![
        3 => Just(Strike::KillLeader),
        1 => span.clone().prop_map(Strike::FreezeLeader),
        1 => span.clone().prop_map(Strike::FillDisk),
        1 => span.clone().prop_map(Strike::CutLeader),
        1 => Just(Strike::KillSubject),
        1 => span.prop_map(Strike::FreezeSubject),
    ]
}

pub fn strike(sim: &mut Sim, at: usize, strike: Strike) {
    let newest = || (0..sim.hosts.len()).rev().find(|at| sim.hosts[*at].lives == 2);
    let subject = newest().unwrap_or(at);
    match strike {
        Strike::KillLeader => sim.kill(at, 300),
        Strike::FreezeLeader(span) => freeze(sim, at, span),
        Strike::FillDisk(span) => fill(sim, at, span),
        Strike::CutLeader(span) => isolate(sim, at, span),
        Strike::KillSubject => sim.kill(subject, 300),
        Strike::FreezeSubject(span) => freeze(sim, subject, span),
    }
}

pub fn apply(sim: &mut Sim, op: &Op) -> Result<(), Broken> {
    let hosts: Vec<_> = (0..sim.hosts.len()).filter(|at| sim.hosts[*at].disk.is_some()).collect();
    let hosts: Vec<_> = hosts.into_iter().filter(|at| !sim.hosts[*at].is_gone).collect();
    let pick = |at: usize| hosts[at % hosts.len()];
    match *op {
        Op::Run(span) => sim.run(span)?,
        Op::LoseDisk(at, down) => {
            before_loss(sim)?;
            // A disk is lost only while no host is known to be without one.
            let at = pick(at);
            sim.kill(at, down);
            sim.hosts[at].disk = None;
        }
        Op::Replace(at, down) => {
            before_loss(sim)?;
            remove_host(sim, pick(at));
            sim.disturb(&[pick(at)], 0);
            let new = add_host(sim);
            sim.push(down, Due::Start(new));
            sim.disturb(&[], down);
        }
        Op::ReplacePlanned(at, lead) => {
            before_loss(sim)?;
            let new = add_host(sim);
            sim.start(new);
            // The next loss is borne from `CATCH_UP` after this start on, not after the removal.
            sim.disturb(&[], 0);
            sim.run(lead)?;
            remove_host(sim, pick(at));
        }
        Op::FillDisk(at, span) => fill(sim, pick(at), span),
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
        Op::Seeds(observers) => give_seeds(sim, observers),
        Op::StaleJoin(at) => {
            let address = sim.hosts[pick(at)].address.clone();
            let name: id::Member = format!("{address}-stale").into();
            for to in 0..sim.hosts.len() {
                let (name, address) = (name.clone(), address.clone());
                sim.push(1, Due::Join { to, name, address, asker: None });
            }
        }
        Op::Trap(moment, strike) => sim.trap = Some((moment, strike)),
    }
    Ok(())
}

fn fill(sim: &mut Sim, at: usize, span: u64) {
    sim.hosts[at].full_until = sim.now + span;
    // The member starts anew up to 300 ms after its disk takes writes again.
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
    sim.hosts[at].is_gone = true;
    sim.hosts[at].process = None;
    // The operator's list is followed in time, so that not all living seeds lose their disks at once.
    let exists = |host: &&Host| !host.is_gone && sim.seeds.contains(&host.address);
    if sim.hosts.iter().filter(exists).count() <= (sim.size - 1) / 2 {
        give_seeds(sim, false);
    }
}

fn give_seeds(sim: &mut Sim, observers: bool) {
    let is_seed = |host: &&Host| host.observed.is_some() == observers && !host.is_gone;
    let seeds = sim.hosts.iter().filter(is_seed).take(3);
    sim.seeds = seeds.map(|host| host.address.clone()).collect();
}

fn add_host(sim: &mut Sim) -> usize {
    sim.hosts.push(Host::new(format!("10.0.2.{}:1", sim.hosts.len())));
    sim.hosts.len() - 1
}

/// Waits until the next loss is allowed, and checks that the earlier ones were made good.
fn before_loss(sim: &mut Sim) -> Result<(), Broken> {
    if sim.losses < (sim.size - 1) / 2 {
        sim.losses += 1;
        return Ok(());
    }
    calm(sim)?;
    sim.losses = 1;
    Ok(())
}

/// Runs until `CATCH_UP` after the last disturbance.
fn calm(sim: &mut Sim) -> Result<(), Broken> {
    sim.trap = None;
    while sim.now < sim.disturbed_until + CATCH_UP {
        sim.run(sim.disturbed_until + CATCH_UP - sim.now)?;
    }
    whole(sim)
}

/// Checks that the group could lose as much again.
pub fn whole(sim: &Sim) -> Result<(), Broken> {
    let at = sim.leader().ok_or_else(|| format!("at {}: no leader", sim.now))?;
    let process = sim.hosts[at].process.as_ref().unwrap();
    let node = process.node.as_ref().unwrap();
    let members = node.members(Millis(sim.now));
    let voters: Vec<_> = members.iter().filter(|status| status.kind == MemberKind::Voter).collect();
    let lives = |status: &&&wasabi_consensus::Status| sim.host_of(&status.member).is_some();
    let living = voters.iter().filter(lives).count();
    let spare = living.saturating_sub(node.membership().quorum());
    if living < sim.size || spare < (sim.size - 1) / 2 {
        let shown: Vec<_> = members
            .iter()
            .map(|status| {
                let (member, part, silent) = (&status.member, status.kind, status.unanswered().0);
                format!("{member} {part:?} {:?} {silent} ms", status.matched)
            })
            .collect();
        let shown = shown.join(", ");
        return Err(format!("at {}: after {CATCH_UP} ms of calm: {shown}", sim.now));
    }
    Ok(())
}

/// Plays a schedule and checks that the group is whole after it and has forgotten nothing.
pub fn play(mut sim: Sim, ops: &[Op]) -> Result<Sim, Broken> {
    sim.run(2_000)?;
    ops.iter().try_for_each(|op| apply(&mut sim, op))?;
    calm(&mut sim)?;
    let before = sim.acknowledged.len();
    sim.run(1_000)?;
    if sim.acknowledged.len() == before {
        return Err("no write succeeds after all faults ended".to_owned());
    }
    let leader = sim.leader().ok_or("no leader")?;
    let writes = &sim.hosts[leader].process.as_ref().unwrap().machine.writes;
    let lost = sim.acknowledged.iter().find(|write| !writes.contains(write));
    match lost {
        Some(lost) => Err(format!("write {lost} was acknowledged and is lost")),
        None => Ok(sim),
    }
}

/// Returns the next change by the rules of the variant.
pub fn next_change(variant: Variant, situation: &GroupState<'_>) -> Option<Change> {
    let learners = || situation.members.iter().filter(|status| status.kind == MemberKind::Learner);
    let ready = || {
        let ready = learners().find(|status| status.has_caught_up)?;
        Some(Change::Promote(ready.member.clone()))
    };
    match variant {
        Variant::PromoteBeforeRemove => {
            // The old order, with four seconds of silence counted from the election.
            let is_large = situation.size
                < situation
                    .members
                    .iter()
                    .filter(|status| status.kind == MemberKind::Voter)
                    .count();
            let gone = situation.members.iter().find(|status| {
                Millis(4_000) <= status.unanswered()
                    && (is_large || status.kind == MemberKind::Learner)
            });
            ready().or_else(|| Some(Change::Remove(gone?.member.clone())))
        }
        Variant::SilentBeforeAdded => {
            let led = situation.members.iter().filter_map(|status| status.tracked_for).max();
            let unheard = learners().find(|status| {
                status.since_contact.is_none() && led.is_some_and(|led| Millis(4_000) <= led)
            });
            let gone = unheard.map(|status| Change::Remove(status.member.clone()));
            gone.or_else(|| situation.next_change())
        }
        _ => situation.next_change(),
    }
}
