//! Tests of membership decisions of a group that repairs itself.
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

use wasabi_consensus::{Change, MemberKind, Status};
use wasabi_control::{
    Addresses,
    repair::{GroupState, Shortage, Wait},
};
use wasabi_protocol::{clock::Millis, id};

/// Time for which the leader has tracked the members.
const LEADER_FOR: Millis = Millis(60_000);

fn status(member: &str, kind: MemberKind, silent: Option<u64>) -> Status {
    Status {
        member: member.into(),
        kind,
        matched: Some(10),
        since_contact: silent.map(Millis),
        tracked_for: (member != "a").then_some(LEADER_FOR),
        has_caught_up: silent.is_some_and(|silent| silent < 600),
    }
}

fn voter(member: &str, silent: u64) -> Status {
    status(member, MemberKind::Voter, Some(silent))
}

fn learner(member: &str, silent: u64) -> Status {
    status(member, MemberKind::Learner, Some(silent))
}

/// Returns a learner that was just added and has not answered.
fn new_learner(member: &str, tracked_for: u64) -> Status {
    Status { tracked_for: Some(Millis(tracked_for)), ..status(member, MemberKind::Learner, None) }
}

/// Returns the decision and the shortage of a leader named `a` in a group of three.
fn decide(members: &[Status]) -> (Option<Change>, Option<Shortage>) {
    decide_with_size(3, members)
}

/// Returns the decision and the shortage of a leader named `a` when `size` voters have answered at
/// one time. A member's address is its name up to a dash.
fn decide_with_size(size: usize, members: &[Status]) -> (Option<Change>, Option<Shortage>) {
    let address = |status: &Status| {
        let name = status.member.as_str();
        (status.member.clone(), name.split('-').next().unwrap().to_owned())
    };
    let addresses: Addresses = members.iter().map(address).collect();
    let group = GroupState { own: &"a".into(), members, addresses: &addresses, size_min: 3, size };
    (group.next_change(), group.shortage())
}

fn next_change(members: &[Status]) -> Option<Change> {
    decide(members).0
}

fn remove(member: &str) -> Option<Change> {
    Some(Change::Remove(member.into()))
}

fn promote(member: &str) -> Option<Change> {
    Some(Change::Promote(member.into()))
}

/// Guards against a repair that repeatedly adds and removes the same member.
#[test]
fn a_member_that_was_just_added_is_not_removed() {
    let voters = [voter("a", 0), voter("b", 100), voter("c", 20_000)];
    let with = |tracked_for| [&voters[..], &[new_learner("c-2", tracked_for)]].concat();
    assert_eq!(next_change(&with(0)), None);
    assert_eq!(next_change(&with(3_900)), None);
    assert_eq!(next_change(&with(4_000)), remove("c-2"));
}

/// Guards against a removal that can only be committed with the vote of the new member, whose loss
/// at that moment would leave the group without a quorum.
#[test]
fn a_lost_voter_is_removed_before_its_successor_is_promoted() {
    let before = [voter("a", 0), voter("b", 100), voter("c", 3_000), learner("c-2", 50)];
    assert_eq!(next_change(&before), remove("c"));
    let after = [voter("a", 0), voter("b", 100), learner("c-2", 50)];
    assert_eq!(next_change(&after), promote("c-2"));
}

/// Guards against a group that keeps a lost voter, and so tolerates no further loss, when its
/// replacement has another address; and against the removal of a voter, whose disk may be intact,
/// before its replacement can vote.
#[test]
fn a_lost_voter_is_replaced_by_a_host_at_another_address() {
    let with = |silent| [voter("a", 0), voter("b", 100), voter("c", silent), learner("d", 50)];
    assert_eq!(next_change(&with(100)), promote("d"));
    assert_eq!(next_change(&with(1_400)), None);
    assert_eq!(next_change(&with(1_500)), promote("d"));
    let large = [voter("a", 0), voter("b", 100), voter("c", 1_500), voter("d", 50)];
    assert_eq!(next_change(&large), remove("c"));
}

/// Guards against a promotion right after an election, when the leader cannot know yet whether a
/// voter is lost.
#[test]
fn a_learner_is_not_promoted_before_every_voter_answered() {
    let unknown = Status { since_contact: None, tracked_for: Some(Millis(100)), ..voter("c", 0) };
    let members = [voter("a", 0), voter("b", 100), unknown, learner("c-2", 50)];
    assert_eq!(next_change(&members), None);
}

/// Guards against a restarting member that loses its vote although no replacement is available.
#[test]
fn a_silent_voter_without_a_replacement_is_kept() {
    let voters = [voter("a", 0), voter("b", 100), voter("c", 60_000)];
    assert_eq!(next_change(&voters), None);
    let behind = Status { has_caught_up: false, ..learner("d", 50) };
    assert_eq!(next_change(&[&voters[..], &[behind]].concat()), None);
}

/// Guards against a removal that leaves no responsive quorum.
#[test]
fn a_voter_is_not_removed_without_a_quorum_of_the_rest() {
    let voters = [voter("a", 0), voter("b", 5_000), voter("c", 5_000), learner("c-2", 50)];
    assert_eq!(next_change(&voters), None);
}

/// Guards against a group that shrinks during a temporary network partition until it no longer
/// tolerates the losses it was sized for; and against one that keeps lost voters forever.
#[test]
fn a_large_group_keeps_voters_that_may_return() {
    let with = |size, answering: &[&str], silent: &[&str], for_ms| {
        let answering = answering.iter().map(|name| voter(name, 100));
        let silent = silent.iter().map(|name| voter(name, for_ms));
        let members = [voter("a", 0)].into_iter().chain(answering).chain(silent);
        decide_with_size(size, &members.collect::<Vec<_>>()).0
    };
    let (four, three) = (["b", "c", "d"], ["e", "f", "g"]);
    assert_eq!(with(7, &four, &three, 9_000), None);
    assert_eq!(with(5, &["b", "c"], &["d", "e"], 9_000), None);
    assert_eq!(with(8, &["b", "c", "d", "e"], &["f", "g", "h"], 9_000), remove("f"));
    assert_eq!(with(6, &four, &["e", "f"], 9_000), remove("e"));
    assert_eq!(with(5, &["b", "c", "d", "e"], &["f", "g"], 1_500), remove("f"));
    assert_eq!(with(7, &four, &three, 30_000), remove("e"));
    assert_eq!(with(3, &["b"], &["c"], 60_000), None);
}

/// Guards against a leader that acknowledges entries stored only on its own disk.
#[test]
fn the_last_other_voter_is_not_removed() {
    let with = |silent| [voter("a", 0), voter("c", silent), learner("c-2", 50)];
    assert_eq!(next_change(&with(1_400)), None);
    assert_eq!(next_change(&with(1_500)), promote("c-2"));
}

/// Guards against the removal of a live voter because a message of an earlier process states its
/// address.
#[test]
fn a_responsive_voter_is_kept_despite_another_member_at_its_address() {
    let members = [voter("a", 0), voter("b", 100), voter("c", 900), learner("c-2", 50)];
    assert_eq!(next_change(&members), promote("c-2"));
}

/// Guards against a stuck repair whose cause is not reported.
#[test]
fn a_shortage_names_the_silent_members_and_what_the_repair_waits_for() {
    let complete = [voter("a", 0), voter("b", 100), voter("c", 1_000)];
    assert_eq!(decide(&complete).1, None);
    let voters = [voter("a", 0), voter("b", 100), voter("c", 1_500)];
    let wait = |learners: &[Status]| {
        let shortage = decide(&[&voters[..], learners].concat()).1.unwrap();
        assert_eq!(shortage.silent, [id::Member::from("c")]);
        assert_eq!((shortage.answering, shortage.voters), (2, 3));
        shortage.wait
    };
    assert_eq!(wait(&[]), Wait::Host);
    assert_eq!(wait(&[new_learner("c-2", 100)]), Wait::Answer("c-2".into()));
    let behind = Status { has_caught_up: false, ..learner("d", 50) };
    assert_eq!(wait(&[behind]), Wait::CatchUp("d".into()));
    assert_eq!(wait(&[learner("c-2", 50)]), Wait::Change);
    let small = decide(&[voter("a", 0), voter("b", 100)]).1.unwrap();
    assert_eq!((small.silent.len(), small.wait), (0, Wait::Host));
}

/// Guards against the removal of a slow member that lags in replication although its process
/// answers.
#[test]
fn a_slow_member_that_answers_is_not_removed() {
    let members = [voter("a", 0), voter("b", 100), voter("c", 100), voter("d", 2_000)];
    let addresses = Addresses::new();
    let group = GroupState {
        own: &"a".into(),
        members: &members,
        addresses: &addresses,
        size_min: 3,
        size: 4,
    };
    let answered = |silent| [("d".into(), Millis(silent))].into();
    assert_eq!(group.next_change(), remove("d"));
    assert_eq!(group.next_change_with(&answered(1_400)), None);
    assert_eq!(group.next_change_with(&answered(1_500)), remove("d"));
}

/// Guards against a voter that is kept forever because its process answers, although its disk is
/// stalled.
#[test]
fn a_member_that_answers_but_does_not_replicate_is_removed_eventually() {
    let at = |silent| {
        let members = [voter("a", 0), voter("b", 100), voter("c", 100), voter("d", silent)];
        let addresses = Addresses::new();
        let group = GroupState {
            own: &"a".into(),
            members: &members,
            addresses: &addresses,
            size_min: 3,
            size: 4,
        };
        group.next_change_with(&[("d".into(), Millis(10))].into())
    };
    assert_eq!(at(29_900), None);
    assert_eq!(at(30_000), remove("d"));
}
