//! Tests of whom a control host without a member names.

use wasabi_control::Introductions;
use wasabi_protocol::clock::Millis;

fn add(introductions: &mut Introductions, now: u64, address: &str, leader: Option<&str>) {
    introductions.add(Millis(now), address.to_owned(), leader.map(str::to_owned));
}

/// Guards against operators, entries and hosts that ask to be taken in being sent to members that
/// are gone or in no group, while others know the leader.
#[test]
fn the_leader_that_was_named_last_is_named() {
    let mut known = Introductions::default();
    add(&mut known, 0, "gone", Some("gone"));
    add(&mut known, 3_000, "follower", Some("leader"));
    add(&mut known, 3_100, "outside", None);
    for _ in 0..20 {
        assert_eq!(known.named(Millis(4_000)).as_deref(), Some("leader"));
    }
    add(&mut known, 4_500, "outside", Some("next"));
    assert_eq!(known.named(Millis(4_500)).as_deref(), Some("next"));
}

/// Guards against a leader that is named for good after it ended.
#[test]
fn a_leader_that_nobody_names_any_more_is_not_named() {
    let mut known = Introductions::default();
    add(&mut known, 0, "follower", Some("leader"));
    assert_eq!(known.named(Millis(2_499)).as_deref(), Some("leader"));
    assert_eq!(known.named(Millis(2_500)).as_deref(), Some("follower"));
    add(&mut known, 3_000, "follower", None);
    assert_eq!(known.named(Millis(3_000)).as_deref(), Some("follower"));
}

/// Guards against a member that is named long after it ended.
#[test]
fn a_member_that_stays_away_is_forgotten() {
    let mut known = Introductions::default();
    assert_eq!(known.named(Millis(0)), None);
    add(&mut known, 0, "member", None);
    assert_eq!(known.named(Millis(9_999)).as_deref(), Some("member"));
    assert_eq!(known.named(Millis(10_000)), None);
}
