//! Rules that bound failover time and disruption, some of them also run with the rule disabled.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::sim::{Sim, Violation};
use wasabi_consensus::{Event, Role, Rules};

/// Returns a group of three with a leader, and the index of the leader.
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

/// Cuts the link between two members in both directions.
fn cut_link(sim: &mut Sim, a: usize, b: usize) {
    sim.cut_links.extend([(a, b), (b, a)]);
}

/// Isolates a follower for a minute and returns the number of terms started when it reconnects.
fn terms_after_isolation(rules: Rules) -> u64 {
    let (mut sim, leader) = group(rules);
    let before = term(&sim, leader);
    let follower = (leader + 1) % 3;
    (0..3).filter(|other| *other != follower).for_each(|other| cut_link(&mut sim, follower, other));
    sim.run(60_000).unwrap();
    sim.cut_links.clear();
    sim.run(5_000).unwrap();
    term(&sim, sim.leader().unwrap()) - before
}

/// Guards against a member that deposes a healthy leader when it reconnects after a long isolation.
#[test]
fn a_reconnecting_member_does_not_disrupt_the_group() {
    assert_eq!(terms_after_isolation(Rules::ALL), 0);
    assert!(0 < terms_after_isolation(Rules { pre_vote: false, ..Rules::ALL }));
}

/// Drops all messages to a leader and returns whether another leader takes over within three
/// seconds.
fn survives_inbound_loss(rules: Rules) -> bool {
    let (mut sim, leader) = group(rules);
    sim.cut_links.extend((0..3).filter(|other| *other != leader).map(|other| (other, leader)));
    sim.run(3_000).unwrap();
    let next = sim.leader();
    role(&sim, leader) != Role::Leader && next.is_some_and(|next| next != leader)
}

/// Guards against a leader whose heartbeats arrive but that receives no replies: its followers
/// would start no election although it cannot commit.
#[test]
fn a_leader_that_receives_nothing_steps_down_within_seconds() {
    assert!(survives_inbound_loss(Rules::ALL));
    assert!(!survives_inbound_loss(Rules { check_quorum: false, ..Rules::ALL }));
}

/// Guards against a leader that keeps its role although none of its messages arrive.
#[test]
fn a_leader_that_cannot_send_is_replaced_within_seconds() {
    let (mut sim, leader) = group(Rules::ALL);
    sim.cut_links.extend((0..3).filter(|other| *other != leader).map(|other| (leader, other)));
    sim.run(3_000).unwrap();
    assert_ne!(role(&sim, leader), Role::Leader);
    assert!(sim.leader().is_some_and(|next| next != leader));
}

/// Guards against repeated split votes after a leader crashed.
#[test]
fn a_crashed_leader_is_replaced_within_seconds() {
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
    let mut durations: Vec<_> = (0..200).map(replaced).collect();
    durations.sort_unstable();
    println!(
        "time without a leader: p50 {} ms, p99 {} ms, max {} ms",
        durations[100], durations[197], durations[199]
    );
    assert!(durations[199] < 2_500);
}

/// Cuts the link between the leader and one follower, while both can reach the third member.
fn partial_partition(seed: u64, rules: Rules) -> Result<(), Violation> {
    let mut sim = Sim::new(3, seed, rules);
    sim.run(3_000)?;
    let leader = sim.leader().ok_or("no leader")?;
    cut_link(&mut sim, leader, (leader + 1) % 3);
    sim.run(10_000)
}

/// Guards against a vote that is granted while the lease of the old leader is still valid.
#[test]
fn a_member_that_hears_the_leader_does_not_vote() {
    let rules = Rules { leader_stickiness: false, ..Rules::ALL };
    for seed in 0..50 {
        assert_eq!(partial_partition(seed, Rules::ALL), Ok(()));
    }
    let violations: Vec<_> =
        (0..50).filter_map(|seed| partial_partition(seed, rules).err()).collect();
    println!("without leader stickiness: {} of 50: {:?}", violations.len(), violations.first());
    assert!(violations.iter().any(|violation| violation.contains("hold a read lease")));
}

/// Like `partial_partition`, while the third member restarts repeatedly.
fn partial_partition_with_restarts(seed: u64, rules: Rules) -> Result<(), Violation> {
    let mut sim = Sim::new(3, seed, rules);
    sim.run(3_000)?;
    let leader = sim.leader().ok_or("no leader")?;
    cut_link(&mut sim, leader, (leader + 1) % 3);
    for _ in 0..40 {
        sim.run(90)?;
        sim.crash((leader + 2) % 3);
        sim.start((leader + 2) % 3);
    }
    Ok(())
}

/// Guards against a member that grants a vote after a restart because it lost the time at which it
/// last heard from the leader.
#[test]
fn a_member_that_has_just_started_does_not_vote() {
    let rules = Rules { stickiness_after_start: false, ..Rules::ALL };
    for seed in 0..50 {
        assert_eq!(partial_partition_with_restarts(seed, Rules::ALL), Ok(()));
    }
    let violations: Vec<_> =
        (0..50).filter_map(|seed| partial_partition_with_restarts(seed, rules).err()).collect();
    println!(
        "without stickiness after a start: {} of 50: {:?}",
        violations.len(),
        violations.first()
    );
    assert!(violations.iter().any(|violation| violation.contains("hold a read lease")));
}

/// Guards against a leader that serves a read or accepts a proposal after a pause, based on its
/// state before the pause.
#[test]
fn a_resumed_leader_checks_its_quorum_before_it_acts() {
    let (mut sim, leader) = group(Rules::ALL);
    assert!(sim.replicas[leader].can_read(sim.now));
    let accepted = sim.replicas[leader].accepted.len();
    sim.replicas[leader].paused_until = sim.now + 3_000;
    sim.run(600).unwrap();
    assert!(!sim.replicas[leader].can_read(sim.now), "the lease did not expire without an event");
    sim.run(2_390).unwrap();
    sim.replicas[leader].paused_until = 0;
    sim.propose(leader).unwrap();
    assert_ne!(role(&sim, leader), Role::Leader);
    assert_eq!(sim.replicas[leader].accepted.len(), accepted);
}

/// Guards against a leadership transfer that takes an election timeout or loses an accepted write.
#[test]
fn a_leadership_transfer_completes_at_once() {
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

/// Guards against a repair that is reported as complete too early, so that the loss of a second
/// host right after it loses data or blocks the group.
#[test]
fn a_second_host_may_be_lost_right_after_a_repair() {
    for victim in 0..3 {
        let (mut sim, leader) = group(Rules::ALL);
        for _ in 0..20 {
            sim.propose(leader).unwrap();
        }
        sim.run(500).unwrap();
        sim.lose_disk((leader + 1) % 3);
        while sim.repairs == 0 {
            sim.run(10).unwrap();
            assert!(sim.now < 30_000, "the repair did not complete within 30 s");
        }
        let remaining: Vec<_> = (0..4).filter(|at| *at != (leader + 1) % 3).collect();
        sim.lose_disk(remaining[victim]);
        sim.heal_and_check().unwrap();
        assert_eq!((sim.repairs, sim.acknowledged), (2, 21));
    }
}

/// Guards against a member that cannot catch up after the entries that it needs are compacted, on a
/// network that loses and duplicates chunks.
#[test]
fn a_snapshot_is_transferred_in_chunks() {
    let mut sim = Sim::with_settings(3, 9, Rules::ALL, |config| config.message_bytes_max = 3);
    sim.run(3_000).unwrap();
    let leader = sim.leader().unwrap();
    for _ in 0..30 {
        sim.propose(leader).unwrap();
    }
    sim.run(2_000).unwrap();
    sim.compact(leader).unwrap();
    (sim.loss_permille, sim.duplication_permille) = (200, 200);
    sim.lose_disk((leader + 1) % 3);
    sim.run(10_000).unwrap();
    sim.heal_and_check().unwrap();
    assert_eq!(sim.repairs, 1);
    assert_eq!(
        sim.replicas[3].state_machine.1,
        sim.replicas[sim.leader().unwrap()].state_machine.1
    );
}
