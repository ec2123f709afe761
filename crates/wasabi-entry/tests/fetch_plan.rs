//! The choice of when and from whom an entry fetches a newer configuration.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

use rstest::rstest;
use wasabi_entry::fetch::plan::{End, Plan, REST, STALLED_AFTER, Source, WATCH_EVERY};
use wasabi_protocol::{clock::Millis, id::Revision};

fn peer(number: u64) -> Source {
    Source::Peer(format!("p{number:02}").as_str().into())
}

/// A plan that holds revision 1 and asks the first of 83 peers that named revision 2.
fn under_way() -> Plan {
    let mut plan = Plan::default();
    plan.hold(Revision(1));
    plan.name(peer(0), Revision(2));
    assert_eq!(plan.start(Millis(0)), Some(peer(0)));
    for number in 1..83 {
        plan.name(peer(number), Revision(2));
        assert_eq!(plan.start(Millis(number)), None);
    }
    plan
}

/// Guards against further fetches of what has come, from peers that named it as well.
#[test]
fn a_fetch_that_brought_all_is_the_only_one() {
    let mut plan = under_way();
    plan.hold(Revision(2));
    plan.end(Millis(300), End::Taken);
    assert_eq!(plan.start(Millis(300)), None);
    plan.name(peer(7), Revision(2));
    assert_eq!(plan.start(Millis(400)), None);
}

/// Guards against a revision named during a fetch that is fetched never, or more than once.
#[test]
fn a_revision_named_meanwhile_is_fetched_once() {
    let mut plan = under_way();
    for number in 0..83 {
        plan.name(peer(number), Revision(3));
        assert_eq!(plan.start(Millis(100)), None);
    }
    plan.hold(Revision(2));
    plan.end(Millis(300), End::Taken);
    assert_eq!(plan.start(Millis(300)), Some(peer(0)));
    assert_eq!(plan.start(Millis(300)), None);
    plan.hold(Revision(3));
    plan.end(Millis(600), End::Taken);
    assert_eq!(plan.start(Millis(600)), None);
}

/// Guards against an entry that stays with a source that gives nothing, and against one that asks
/// it without a pause when there is no other.
#[test]
fn the_next_source_is_asked_after_a_failure() {
    let mut plan = Plan::default();
    plan.name(peer(0), Revision(2));
    plan.name(peer(1), Revision(2));
    assert_eq!(plan.start(Millis(0)), Some(peer(0)));
    plan.end(Millis(10), End::Failed);
    assert_eq!(plan.start(Millis(10)), Some(peer(1)));
    plan.end(Millis(20), End::Failed);
    plan.name(peer(0), Revision(2));
    assert_eq!(plan.start(Millis(20)), None);
    assert_eq!(plan.start(Millis(10) + REST), Some(peer(0)));
}

/// Guards against questions to an entry that has left the view.
#[test]
fn a_source_that_is_gone_is_not_asked_again() {
    let mut plan = Plan::default();
    plan.name(peer(0), Revision(2));
    assert_eq!(plan.start(Millis(0)), Some(peer(0)));
    plan.end(Millis(1), End::Gone);
    assert_eq!(plan.start(Millis(5_000)), None);
}

/// Guards against a slow transfer that is given up while bytes come, and against one that is waited
/// for when none do.
#[rstest]
#[case::slow(1, false)]
#[case::silent(0, true)]
fn only_a_transfer_without_progress_is_given_up(#[case] bytes: u64, #[case] is_stalled: bool) {
    let mut plan = under_way();
    let mut now = Millis(0);
    let mut stalls = 0;
    for look in 0..100 {
        now = now + WATCH_EVERY;
        stalls += u32::from(plan.is_stalled(now, 1_000 + look * bytes));
    }
    assert_eq!(0 < stalls, is_stalled);
}

/// Guards against a source that is taken for silent since this process itself did not run.
#[test]
fn a_pause_of_this_process_does_not_end_a_fetch() {
    let mut plan = under_way();
    assert!(!plan.is_stalled(WATCH_EVERY, 1_000));
    assert!(!plan.is_stalled(WATCH_EVERY + STALLED_AFTER + STALLED_AFTER, 1_000));
}
