//! The choice of when and from whom an entry fetches a newer configuration.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

use rstest::rstest;
use wasabi_entry::fetch::plan::{
    CONTROL_DELAY, ControlAccess, End, Locality, PROGRESS_CHECK_INTERVAL, Plan, RETRY_DELAY,
    STALL_TIMEOUT, Source,
};
use wasabi_protocol::{clock::Millis, id::Revision};

fn peer(number: u64) -> Source {
    Source::Peer(format!("p{number:02}").as_str().into())
}

/// Names a revision of a peer in another data centre.
fn name(plan: &mut Plan, now: u64, number: u64, revision: u64) {
    plan.add_available(Millis(now), peer(number), Locality::Remote, Revision(revision));
}

fn hold(plan: &mut Plan, now: u64, revision: u64) -> Option<Millis> {
    plan.set_held_revision(Millis(now), Revision(revision), ControlAccess::Immediate)
}

/// A plan that holds revision 1 and asks the first of 83 peers that named revision 2.
fn under_way() -> Plan {
    let mut plan = Plan::default();
    hold(&mut plan, 0, 1);
    name(&mut plan, 0, 0, 2);
    assert_eq!(plan.start_fetch(Millis(0)), Some(peer(0)));
    for number in 1..83 {
        name(&mut plan, number, number, 2);
        assert_eq!(plan.start_fetch(Millis(number)), None);
    }
    plan
}

/// Guards against further fetches of what has come, from peers that named it as well.
#[test]
fn a_fetch_that_brought_all_is_the_only_one() {
    let mut plan = under_way();
    hold(&mut plan, 300, 2);
    plan.end_fetch(Millis(300), End::Taken);
    assert_eq!(plan.start_fetch(Millis(300)), None);
    name(&mut plan, 400, 7, 2);
    assert_eq!(plan.start_fetch(Millis(400)), None);
}

/// Guards against a revision named during a fetch that is fetched never, or more than once.
#[test]
fn a_revision_named_meanwhile_is_fetched_once() {
    let mut plan = under_way();
    for number in 0..83 {
        name(&mut plan, 100, number, 3);
        assert_eq!(plan.start_fetch(Millis(100)), None);
    }
    hold(&mut plan, 300, 2);
    plan.end_fetch(Millis(300), End::Taken);
    assert_eq!(plan.start_fetch(Millis(300)), Some(peer(0)));
    assert_eq!(plan.start_fetch(Millis(300)), None);
    hold(&mut plan, 600, 3);
    plan.end_fetch(Millis(600), End::Taken);
    assert_eq!(plan.start_fetch(Millis(600)), None);
}

/// Guards against an entry that stays with a source that gives nothing, and against one that asks
/// it without a pause when there is no other.
#[test]
fn the_next_source_is_asked_after_a_failure() {
    let mut plan = Plan::default();
    name(&mut plan, 0, 0, 2);
    name(&mut plan, 0, 1, 2);
    assert_eq!(plan.start_fetch(Millis(0)), Some(peer(0)));
    plan.end_fetch(Millis(10), End::Failed);
    assert_eq!(plan.start_fetch(Millis(10)), Some(peer(1)));
    plan.end_fetch(Millis(20), End::Failed);
    name(&mut plan, 0, 0, 2);
    assert_eq!(plan.start_fetch(Millis(20)), None);
    assert_eq!(plan.start_fetch(Millis(10) + RETRY_DELAY), Some(peer(0)));
}

/// Guards against questions to an entry that has left the view.
#[test]
fn a_source_that_is_gone_is_not_asked_again() {
    let mut plan = Plan::default();
    name(&mut plan, 0, 0, 2);
    assert_eq!(plan.start_fetch(Millis(0)), Some(peer(0)));
    plan.end_fetch(Millis(1), End::Gone);
    assert_eq!(plan.start_fetch(Millis(5_000)), None);
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
        now = now + PROGRESS_CHECK_INTERVAL;
        stalls += u32::from(plan.is_stalled(now, 1_000 + look * bytes));
    }
    assert_eq!(0 < stalls, is_stalled);
}

/// Guards against a source that is taken for silent since this process itself did not run.
#[test]
fn a_pause_of_this_process_does_not_end_a_fetch() {
    let mut plan = under_way();
    assert!(!plan.is_stalled(PROGRESS_CHECK_INTERVAL, 1_000));
    assert!(!plan.is_stalled(PROGRESS_CHECK_INTERVAL + STALL_TIMEOUT + STALL_TIMEOUT, 1_000));
}

fn control() -> Source {
    Source::Member("10.0.0.1:7070".to_owned())
}

/// Guards against a leader that sends a change to every entry although peers hold it.
#[test]
fn control_is_asked_after_the_peers() {
    let mut plan = Plan::default();
    plan.set_held_revision(Millis(0), Revision(1), ControlAccess::AfterPeers);
    plan.add_available(Millis(0), control(), Locality::Remote, Revision(3));
    assert_eq!(plan.start_fetch(Millis(0)), None);
    name(&mut plan, 100, 0, 2);
    assert_eq!(plan.start_fetch(Millis(100)), Some(peer(0)));
    plan.set_held_revision(Millis(150), Revision(2), ControlAccess::AfterPeers);
    plan.end_fetch(Millis(150), End::Taken);
    // What came meanwhile shows that the peers are on their way to the rest.
    assert_eq!(plan.start_fetch(CONTROL_DELAY), None);
}

/// Guards against an entry that stays behind when no peer holds what control named.
#[rstest]
#[case::coordinator(ControlAccess::Immediate, Millis(0))]
#[case::other(ControlAccess::AfterPeers, CONTROL_DELAY)]
fn control_is_asked_when_no_peer_has_the_revision(
    #[case] turn: ControlAccess,
    #[case] due: Millis,
) {
    let mut plan = Plan::default();
    plan.set_held_revision(Millis(0), Revision(1), turn);
    plan.add_available(Millis(0), control(), Locality::Remote, Revision(2));
    let mut asked = None;
    let mut now = Millis(0);
    while asked.is_none() {
        asked = plan.start_fetch(now).map(|source| (source, now));
        now = now + Millis(1);
    }
    assert_eq!(asked, Some((control(), due)));
}

/// Guards against copies that cross data centres although a peer beside the entry has the same one,
/// and against a near peer that goes before a newer revision.
#[test]
fn a_peer_of_the_data_centre_goes_first() {
    let mut plan = Plan::default();
    name(&mut plan, 0, 0, 2);
    plan.add_available(Millis(0), peer(1), Locality::Local, Revision(2));
    assert_eq!(plan.start_fetch(Millis(0)), Some(peer(1)));
    plan.end_fetch(Millis(1), End::Gone);
    plan.add_available(Millis(1), peer(2), Locality::Local, Revision(2));
    name(&mut plan, 1, 3, 3);
    assert_eq!(plan.start_fetch(Millis(1)), Some(peer(3)));
}

/// Guards against a time behind that is counted from a later naming, or not at all.
#[test]
fn the_time_behind_counts_from_the_first_naming() {
    let mut plan = Plan::default();
    assert_eq!(hold(&mut plan, 0, 1), None);
    name(&mut plan, 100, 0, 2);
    name(&mut plan, 200, 1, 3);
    assert_eq!(hold(&mut plan, 250, 1), None);
    assert_eq!(hold(&mut plan, 300, 2), Some(Millis(200)));
    assert_eq!(hold(&mut plan, 350, 3), Some(Millis(50)));
    assert_eq!(hold(&mut plan, 400, 4), None);
}
