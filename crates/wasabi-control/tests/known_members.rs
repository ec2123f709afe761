//! Tests of the members that a control host without a member names to callers.

use wasabi_control::KnownMembers;
use wasabi_protocol::clock::Millis;

fn add(known: &mut KnownMembers, now: u64, address: &str, leader: Option<&str>) {
    known.add(Millis(now), address.to_owned(), leader.map(str::to_owned));
}

/// Guards against operators, entries and joining hosts that are redirected to members that have
/// stopped or are in no group, while other members know the leader.
#[test]
fn the_last_reported_leader_is_named() {
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

/// Guards against a leader that is still named after it has stopped.
#[test]
fn a_stale_leader_is_not_named() {
    let mut known = KnownMembers::default();
    add(&mut known, 0, "follower", Some("leader"));
    assert_eq!(known.leader_or_member(Millis(2_499)).as_deref(), Some("leader"));
    assert_eq!(known.leader_or_member(Millis(2_500)), None);
    add(&mut known, 2_600, "follower", None);
    assert_eq!(known.leader_or_member(Millis(3_000)).as_deref(), Some("follower"));
}

/// Guards against hosts that lose track of all members when these are silent for a while: members
/// listed earlier are still queried, although they are not named.
#[test]
fn listed_members_are_queried_but_not_named() {
    let mut known = KnownMembers::default();
    add(&mut known, 0, "leader", Some("leader"));
    known.set_listed(vec!["leader".to_owned(), "follower".to_owned()]);
    assert_eq!(known.members(Millis(100))[0], "leader");
    assert_eq!(known.leader(Millis(100)), Some(("leader".to_owned(), Millis(100))));
    assert_eq!(known.leader_or_member(Millis(60_000)), None);
    assert_eq!(known.leader(Millis(60_000)), None);
    assert_eq!(known.members(Millis(60_000)), ["leader", "follower"]);
}

/// Guards against callers that are redirected to a host that was just found silent, and against a
/// search that waits for this host before all others.
#[test]
fn a_silent_address_is_not_named_and_is_queried_last() {
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

/// Guards against a member that is named long after it has stopped.
#[test]
fn a_stale_member_is_removed() {
    let mut known = KnownMembers::default();
    assert_eq!(known.leader_or_member(Millis(0)), None);
    add(&mut known, 0, "member", None);
    assert_eq!(known.leader_or_member(Millis(2_499)).as_deref(), Some("member"));
    assert_eq!(known.leader_or_member(Millis(2_500)), None);
}
