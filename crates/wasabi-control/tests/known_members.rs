//! Tests of whom a control host without a member names.

use wasabi_control::KnownMembers;
use wasabi_protocol::clock::Millis;

fn add(known_members: &mut KnownMembers, now: u64, address: &str, leader: Option<&str>) {
    known_members.add(Millis(now), address.to_owned(), leader.map(str::to_owned));
}

/// Guards against operators, entries and hosts that ask to be taken in being sent to members that
/// are gone or in no group, while others know the leader.
#[test]
fn the_leader_that_was_named_last_is_named() {
    let mut known = KnownMembers::default();
    add(&mut known, 0, "gone", Some("gone"));
    add(&mut known, 3_000, "follower", Some("leader"));
    add(&mut known, 3_100, "outside", None);
    for _ in 0..20 {
        assert_eq!(known.leader_or_member(Millis(4_000)).as_deref(), Some("leader"));
    }
    add(&mut known, 4_500, "outside", Some("next"));
    assert_eq!(known.leader_or_member(Millis(4_500)).as_deref(), Some("next"));
}

/// Guards against a leader that is named for good after it ended.
#[test]
fn a_leader_that_nobody_names_any_more_is_not_named() {
    let mut known = KnownMembers::default();
    add(&mut known, 0, "follower", Some("leader"));
    assert_eq!(known.leader_or_member(Millis(2_499)).as_deref(), Some("leader"));
    assert_eq!(known.leader_or_member(Millis(2_500)), None);
    add(&mut known, 2_600, "follower", None);
    assert_eq!(known.leader_or_member(Millis(3_000)).as_deref(), Some("follower"));
}

/// Guards against hosts that lose the members for good while all of them are silent for a while: those
/// that a member listed are still asked, though not named.
#[test]
fn listed_members_are_asked_and_not_named() {
    let mut known = KnownMembers::default();
    add(&mut known, 0, "leader", Some("leader"));
    known.set_listed(vec!["leader".to_owned(), "follower".to_owned()]);
    assert_eq!(known.members(Millis(100))[0], "leader");
    assert_eq!(known.leader(Millis(100)), Some(("leader".to_owned(), Millis(100))));
    assert_eq!(known.leader_or_member(Millis(60_000)), None);
    assert_eq!(known.leader(Millis(60_000)), None);
    assert_eq!(known.members(Millis(60_000)), ["leader", "follower"]);
}

/// Guards against callers that are sent to a host which has just been found silent, and against a
/// search that waits for it before all others.
#[test]
fn a_silent_address_is_not_named_and_asked_last() {
    let mut known = KnownMembers::default();
    add(&mut known, 0, "frozen", Some("frozen"));
    add(&mut known, 0, "follower", Some("frozen"));
    known.record_failure("frozen");
    assert_eq!(known.leader(Millis(0)), None);
    assert_eq!(known.leader_or_member(Millis(0)).as_deref(), Some("follower"));
    let contacts = || vec!["frozen".to_owned(), "seed".to_owned()];
    assert_eq!(known.addresses(Millis(0), Vec::new(), contacts()), ["follower", "seed", "frozen"]);
    add(&mut known, 100, "frozen", None);
    assert!(
        known.addresses(Millis(100), Vec::new(), contacts()).starts_with(&["follower".to_owned()])
    );
    assert_eq!(known.addresses(Millis(100), Vec::new(), contacts())[1], "frozen");
}

/// Guards against a member that is named long after it ended.
#[test]
fn a_member_that_stays_away_is_forgotten() {
    let mut known = KnownMembers::default();
    assert_eq!(known.leader_or_member(Millis(0)), None);
    add(&mut known, 0, "member", None);
    assert_eq!(known.leader_or_member(Millis(2_499)).as_deref(), Some("member"));
    assert_eq!(known.leader_or_member(Millis(2_500)), None);
}
