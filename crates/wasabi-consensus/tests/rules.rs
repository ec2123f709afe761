//! Rules that bound time and disturbance, each also run with the rule removed.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::sim::{Broken, Sim};
use wasabi_consensus::{Event, Role, Rules};

/// Returns a group of three with a leader, and the leader's place.
fn group(rules: Rules) -> (Sim, usize) {
    let mut sim = Sim::new(3, 5, rules);
    sim.run(3_000).unwrap();
    let leader = sim.leader().unwrap();
    (sim, leader)
}

fn term(sim: &Sim, at: usize) -> u64 {
    sim.replicas[at].node.as_ref().unwrap().term()
}

fn role(sim: &Sim, at: usize) -> Role {
    sim.replicas[at].node.as_ref().unwrap().role()
}

/// Cuts or restores both directions between two members.
fn cut(sim: &mut Sim, a: usize, b: usize) {
    sim.cuts.extend([(a, b), (b, a)]);
}

/// Isolates a follower for a minute and returns by how many terms its return disturbs the group.
fn disturbance(rules: Rules) -> u64 {
    let (mut sim, leader) = group(rules);
    let before = term(&sim, leader);
    let follower = (leader + 1) % 3;
    (0..3).filter(|other| *other != follower).for_each(|other| cut(&mut sim, follower, other));
    sim.run(60_000).unwrap();
    sim.cuts.clear();
    sim.run(5_000).unwrap();
    term(&sim, sim.leader().unwrap()) - before
}

/// Guards against a host that was isolated for long and ends a healthy leader's term on return.
#[test]
fn a_long_isolated_member_does_not_disturb_the_rest() {
    assert_eq!(disturbance(Rules::ALL), 0);
    assert!(0 < disturbance(Rules { pre_vote: false, ..Rules::ALL }));
}

/// Makes a leader deaf and returns whether writes go on elsewhere within three seconds.
fn survives_deafness(rules: Rules) -> bool {
    let (mut sim, leader) = group(rules);
    sim.cuts.extend((0..3).filter(|other| *other != leader).map(|other| (other, leader)));
    sim.run(3_000).unwrap();
    let next = sim.leader();
    role(&sim, leader) != Role::Leader && next.is_some_and(|next| next != leader)
}

/// Guards against a leader whose heartbeats go out but to which nothing comes back: it would hold
/// its followers while it can commit nothing.
#[test]
fn a_leader_cut_off_in_one_direction_stops_within_seconds() {
    assert!(survives_deafness(Rules::ALL));
    assert!(!survives_deafness(Rules { check_quorum: false, ..Rules::ALL }));
}

/// Guards against a mute leader that goes on serving.
#[test]
fn a_leader_that_cannot_send_is_replaced_within_seconds() {
    let (mut sim, leader) = group(Rules::ALL);
    sim.cuts.extend((0..3).filter(|other| *other != leader).map(|other| (leader, other)));
    sim.run(3_000).unwrap();
    assert_ne!(role(&sim, leader), Role::Leader);
    assert!(sim.leader().is_some_and(|next| next != leader));
}

/// Guards against elections that tie again and again after a leader's death.
#[test]
fn a_dead_leader_is_replaced_within_seconds() {
    let replaced = |seed| {
        let mut sim = Sim::new(3, seed, Rules::ALL);
        sim.run(5_000).unwrap();
        let start = sim.now;
        sim.crash(sim.leader().unwrap());
        while !(0..3).any(|at| sim.replicas[at].can_read(sim.now)) {
            sim.run(5).unwrap();
        }
        sim.now - start
    };
    let mut spans: Vec<_> = (0..200).map(replaced).collect();
    spans.sort_unstable();
    println!(
        "without a leader: p50 {} ms, p99 {} ms, most {} ms",
        spans[100], spans[197], spans[199]
    );
    assert!(spans[199] < 2_500);
}

/// Cuts the link between a leader and one follower while both reach the third member.
fn partial_cut(seed: u64, rules: Rules) -> Result<(), Broken> {
    let mut sim = Sim::new(3, seed, rules);
    sim.run(3_000)?;
    let leader = sim.leader().ok_or("no leader")?;
    cut(&mut sim, leader, (leader + 1) % 3);
    sim.run(10_000)
}

/// Guards against a vote that is given while the old leader's lease still runs.
#[test]
fn a_member_that_hears_the_leader_does_not_vote() {
    let open = Rules { vote_hold: false, ..Rules::ALL };
    for seed in 0..50 {
        assert_eq!(partial_cut(seed, Rules::ALL), Ok(()));
    }
    let broken: Vec<_> = (0..50).filter_map(|seed| partial_cut(seed, open).err()).collect();
    println!("without the vote hold: {} of 50: {:?}", broken.len(), broken.first());
    assert!(broken.iter().any(|broken| broken.contains("hold a read lease")));
}

/// As `partial_cut`, while the third member restarts again and again.
fn partial_cut_with_restarts(seed: u64, rules: Rules) -> Result<(), Broken> {
    let mut sim = Sim::new(3, seed, rules);
    sim.run(3_000)?;
    let leader = sim.leader().ok_or("no leader")?;
    cut(&mut sim, leader, (leader + 1) % 3);
    for _ in 0..40 {
        sim.run(90)?;
        sim.crash((leader + 2) % 3);
        sim.start((leader + 2) % 3);
    }
    Ok(())
}

/// Guards against a member that forgets by a restart that it has just heard the leader.
#[test]
fn a_member_that_has_just_started_does_not_vote() {
    let open = Rules { start_holds_vote: false, ..Rules::ALL };
    for seed in 0..50 {
        assert_eq!(partial_cut_with_restarts(seed, Rules::ALL), Ok(()));
    }
    let broken: Vec<_> =
        (0..50).filter_map(|seed| partial_cut_with_restarts(seed, open).err()).collect();
    println!("without the hold after a start: {} of 50: {:?}", broken.len(), broken.first());
    assert!(broken.iter().any(|broken| broken.contains("hold a read lease")));
}

/// Guards against a leader that serves a read, or takes a proposal, from before it was frozen.
#[test]
fn a_thawed_leader_checks_before_it_acts() {
    let (mut sim, leader) = group(Rules::ALL);
    assert!(sim.replicas[leader].can_read(sim.now));
    let accepted = sim.replicas[leader].accepted.len();
    sim.replicas[leader].frozen_until = sim.now + 3_000;
    sim.run(600).unwrap();
    assert!(!sim.replicas[leader].can_read(sim.now), "the lease ends without any event");
    sim.run(2_390).unwrap();
    sim.replicas[leader].frozen_until = 0;
    sim.propose(leader).unwrap();
    assert_ne!(role(&sim, leader), Role::Leader);
    assert_eq!(sim.replicas[leader].accepted.len(), accepted);
}

/// Guards against a planned stop that costs an election timeout or an accepted write.
#[test]
fn a_planned_stop_hands_over_at_once() {
    let (mut sim, leader) = group(Rules::ALL);
    for _ in 0..50 {
        sim.propose(leader).unwrap();
    }
    sim.step(leader, Event::TransferLeadership).unwrap();
    sim.run(100).unwrap();
    let next = sim.leader().unwrap();
    assert_ne!(next, leader);
    assert_eq!(sim.acknowledged, 50);
    sim.crash(leader);
    sim.propose(next).unwrap();
    sim.run(100).unwrap();
    assert_eq!(sim.acknowledged, 51);
}

/// Guards against a repair that is reported done too early: a second host is lost right after it.
#[test]
fn a_second_host_may_be_lost_right_after_a_repair() {
    for victim in 0..3 {
        let (mut sim, leader) = group(Rules::ALL);
        for _ in 0..20 {
            sim.propose(leader).unwrap();
        }
        sim.run(500).unwrap();
        sim.wipe((leader + 1) % 3);
        while sim.repairs == 0 {
            sim.run(10).unwrap();
            assert!(sim.now < 30_000, "the repair does not end");
        }
        let members: Vec<_> = (0..4).filter(|at| *at != (leader + 1) % 3).collect();
        sim.wipe(members[victim]);
        sim.settle().unwrap();
        assert_eq!((sim.repairs, sim.acknowledged), (2, 21));
    }
}

/// Guards against a member that cannot catch up once the entries it needs are compacted, over a
/// network that loses and doubles chunks.
#[test]
fn a_snapshot_arrives_in_chunks() {
    let mut sim = Sim::with_settings(3, 9, Rules::ALL, |config| config.message_bytes_max = 3);
    sim.run(3_000).unwrap();
    let leader = sim.leader().unwrap();
    for _ in 0..30 {
        sim.propose(leader).unwrap();
    }
    sim.run(2_000).unwrap();
    sim.compact(leader).unwrap();
    (sim.loss, sim.doubled) = (200, 200);
    sim.wipe((leader + 1) % 3);
    sim.run(10_000).unwrap();
    sim.settle().unwrap();
    assert_eq!(sim.repairs, 1);
    assert_eq!(sim.replicas[3].machine.1, sim.replicas[sim.leader().unwrap()].machine.1);
}
