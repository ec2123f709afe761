//! Decisions on the members of a group that repairs itself.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use wasabi_consensus::{Change, MemberKind, Status};
use wasabi_control::{
    Addresses,
    repair::{GroupState, Shortage, Wait},
};
use wasabi_protocol::{clock::Millis, id};

/// Time for which the leader has followed the members, in milliseconds.
const LED: Millis = Millis(60_000);

fn status(member: &str, part: MemberKind, silent: Option<u64>) -> Status {
    Status {
        member: member.into(),
        kind: part,
        matched: Some(10),
        since_contact: silent.map(Millis),
        tracked_for: (member != "a").then_some(LED),
        has_caught_up: silent.is_some_and(|silent| silent < 600),
    }
}

fn voter(member: &str, silent: u64) -> Status {
    status(member, MemberKind::Voter, Some(silent))
}

fn learner(member: &str, silent: u64) -> Status {
    status(member, MemberKind::Learner, Some(silent))
}

/// Returns a learner that was added a moment ago and has not answered.
fn added(member: &str, followed: u64) -> Status {
    Status { tracked_for: Some(Millis(followed)), ..status(member, MemberKind::Learner, None) }
}

/// Returns what a leader named `a` does and lacks in a group of three.
fn look(members: &[Status]) -> (Option<Change>, Option<Shortage>) {
    look_at(3, members)
}

/// Returns what a leader named `a` does and lacks when so many voters answered at one time. A
/// member's address is its name up to a dash.
fn look_at(size: usize, members: &[Status]) -> (Option<Change>, Option<Shortage>) {
    let address = |status: &Status| {
        let name = status.member.as_str();
        (status.member.clone(), name.split('-').next().unwrap().to_owned())
    };
    let addresses: Addresses = members.iter().map(address).collect();
    let situation =
        GroupState { own: &"a".into(), members, addresses: &addresses, size_min: 3, size };
    (situation.next_change(), situation.shortage())
}

fn next_change(members: &[Status]) -> Option<Change> {
    look(members).0
}

fn remove(member: &str) -> Option<Change> {
    Some(Change::Remove(member.into()))
}

fn promote(member: &str) -> Option<Change> {
    Some(Change::Promote(member.into()))
}

/// Guards against a repair that adds and removes the same member again and again.
#[test]
fn a_member_that_was_just_added_is_not_removed() {
    let voters = [voter("a", 0), voter("b", 100), voter("c", 20_000)];
    let with = |followed| [&voters[..], &[added("c-2", followed)]].concat();
    assert_eq!(next_change(&with(0)), None);
    assert_eq!(next_change(&with(3_900)), None);
    assert_eq!(next_change(&with(4_000)), remove("c-2"));
}

/// Guards against a removal that can only be committed with the help of the new member, so that
/// its loss in that moment would stop the group.
#[test]
fn a_lost_voter_leaves_before_its_successor_votes() {
    let before = [voter("a", 0), voter("b", 100), voter("c", 3_000), learner("c-2", 50)];
    assert_eq!(next_change(&before), remove("c"));
    let after = [voter("a", 0), voter("b", 100), learner("c-2", 50)];
    assert_eq!(next_change(&after), promote("c-2"));
}

/// Guards against a group that keeps a voter which is gone for good, when its successor has another
/// address and the group could lose no further member; and against one that gives up a disk before
/// its substitute votes.
#[test]
fn a_voter_that_is_gone_makes_room_for_a_host_at_another_address() {
    let with = |silent| [voter("a", 0), voter("b", 100), voter("c", silent), learner("d", 50)];
    assert_eq!(next_change(&with(100)), promote("d"));
    assert_eq!(next_change(&with(1_400)), None);
    assert_eq!(next_change(&with(1_500)), promote("d"));
    let large = [voter("a", 0), voter("b", 100), voter("c", 1_500), voter("d", 50)];
    assert_eq!(next_change(&large), remove("c"));
}

/// Guards against a leader that promotes right after its election, when it does not know yet that a
/// voter is gone.
#[test]
fn a_learner_gets_no_vote_before_every_voter_answered() {
    let unheard = Status { since_contact: None, tracked_for: Some(Millis(100)), ..voter("c", 0) };
    let members = [voter("a", 0), voter("b", 100), unheard, learner("c-2", 50)];
    assert_eq!(next_change(&members), None);
}

/// Guards against a restart that costs a member its place although nobody could take it.
#[test]
fn a_silent_voter_without_a_substitute_stays() {
    let voters = [voter("a", 0), voter("b", 100), voter("c", 60_000)];
    assert_eq!(next_change(&voters), None);
    let behind = Status { has_caught_up: false, ..learner("d", 50) };
    assert_eq!(next_change(&[&voters[..], &[behind]].concat()), None);
}

/// Guards against a removal after which no quorum would answer.
#[test]
fn a_voter_is_not_removed_without_a_quorum_of_the_rest() {
    let voters = [voter("a", 0), voter("b", 5_000), voter("c", 5_000), learner("c-2", 50)];
    assert_eq!(next_change(&voters), None);
}

/// Guards against a group that is cut for a while and comes back so small that the losses which it
/// was built for end it; and against one that keeps for good what never comes back.
#[test]
fn a_large_group_keeps_voters_that_may_come_back() {
    let with = |size, answering: &[&str], silent: &[&str], for_ms| {
        let answering = answering.iter().map(|name| voter(name, 100));
        let silent = silent.iter().map(|name| voter(name, for_ms));
        let members = [voter("a", 0)].into_iter().chain(answering).chain(silent);
        look_at(size, &members.collect::<Vec<_>>()).0
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

/// Guards against a leader that acknowledges on its own disk alone.
#[test]
fn the_last_other_voter_is_not_removed() {
    let with = |silent| [voter("a", 0), voter("c", silent), learner("c-2", 50)];
    assert_eq!(next_change(&with(1_400)), None);
    assert_eq!(next_change(&with(1_500)), promote("c-2"));
}

/// Guards against a message of an earlier process that names a living voter's address and has it
/// removed.
#[test]
fn a_voter_that_answers_stays_beside_another_member_of_its_address() {
    let members = [voter("a", 0), voter("b", 100), voter("c", 900), learner("c-2", 50)];
    assert_eq!(next_change(&members), promote("c-2"));
}

/// Guards against a repair that hangs without a word on what it waits for.
#[test]
fn a_shortage_names_the_silent_members_and_what_the_repair_waits_for() {
    let complete = [voter("a", 0), voter("b", 100), voter("c", 1_000)];
    assert_eq!(look(&complete).1, None);
    let voters = [voter("a", 0), voter("b", 100), voter("c", 1_500)];
    let wait = |learners: &[Status]| {
        let shortage = look(&[&voters[..], learners].concat()).1.unwrap();
        assert_eq!(shortage.silent, [id::Member::from("c")]);
        assert_eq!((shortage.answering, shortage.voters), (2, 3));
        shortage.wait
    };
    assert_eq!(wait(&[]), Wait::Host);
    assert_eq!(wait(&[added("c-2", 100)]), Wait::Answer("c-2".into()));
    let behind = Status { has_caught_up: false, ..learner("d", 50) };
    assert_eq!(wait(&[behind]), Wait::CatchUp("d".into()));
    assert_eq!(wait(&[learner("c-2", 50)]), Wait::Change);
    let small = look(&[voter("a", 0), voter("b", 100)]).1.unwrap();
    assert_eq!((small.silent.len(), small.wait), (0, Wait::Host));
}

/// Guards against the removal of a member that is slow: its place in the log is old, and its process
/// answers.
#[test]
fn a_slow_member_that_answers_is_not_removed() {
    let members = [voter("a", 0), voter("b", 100), voter("c", 100), voter("d", 2_000)];
    let addresses = Addresses::new();
    let situation = GroupState {
        own: &"a".into(),
        members: &members,
        addresses: &addresses,
        size_min: 3,
        size: 4,
    };
    let answered = |silent| [("d".into(), Millis(silent))].into();
    assert_eq!(situation.next_change(), remove("d"));
    assert_eq!(situation.next_change_with(&answered(1_400)), None);
    assert_eq!(situation.next_change_with(&answered(1_500)), remove("d"));
}

/// Guards against a voter that keeps its place for good because its process answers, while its disk
/// stands still.
#[test]
fn a_member_that_answers_and_takes_no_part_leaves_in_the_end() {
    let at = |silent| {
        let members = [voter("a", 0), voter("b", 100), voter("c", 100), voter("d", silent)];
        let addresses = Addresses::new();
        let situation = GroupState {
            own: &"a".into(),
            members: &members,
            addresses: &addresses,
            size_min: 3,
            size: 4,
        };
        situation.next_change_with(&[("d".into(), Millis(10))].into())
    };
    assert_eq!(at(29_900), None);
    assert_eq!(at(30_000), remove("d"));
}
