//! Tests of what control concludes about silent entries.

use rstest::rstest;
use wasabi_control::{Liveness, SILENT_AFTER, ViewPacer};
use wasabi_protocol::{
    clock::Millis,
    command::{Duty, Entry, View},
    id,
    rpc::Checkin,
};

fn entry(name: &str) -> Entry {
    Entry {
        name: name.into(),
        caller_address: "127.0.0.1:1".to_owned(),
        peer_address: "127.0.0.1:2".to_owned(),
        data_centre: "a".into(),
        region: "r".into(),
        capacity: 1_000,
        started: Millis::ZERO,
        duty: Duty::Serving,
    }
}

fn view(number: u64, names: &str) -> View {
    let entries = names.chars().map(|name| entry(&name.to_string())).collect();
    View { number: id::View(number), entries }
}

fn checkin(name: &str, revision: u64, known: &[(&str, u64)]) -> Checkin {
    let known = known.iter().map(|(peer, held)| ((*peer).into(), id::Revision(*held)));
    Checkin {
        entry: entry(name),
        revision: id::Revision(revision),
        site: None,
        known: known.collect(),
        evidence: Vec::new(),
        endpoints: Vec::new(),
        suspects: Vec::new(),
        degraded: Vec::new(),
        fetches: false,
    }
}

/// Returns the state of a leader that heard all of `names` at time 0 with revision 1.
fn leader_that_heard(names: &str) -> Liveness {
    let mut liveness = Liveness::new(Millis::ZERO, &view(1, names), id::Revision(1));
    for name in names.chars() {
        liveness.check_in(Millis::ZERO, checkin(&name.to_string(), 1, &[]));
    }
    liveness
}

fn check_in_all(liveness: &mut Liveness, now: u64, names: &str, revision: u64) {
    for name in names.chars() {
        liveness.check_in(Millis(now), checkin(&name.to_string(), revision, &[]));
    }
}

fn names(entries: Option<Vec<Entry>>) -> Option<String> {
    entries.map(|entries| entries.iter().map(|entry| entry.name.as_str()).collect())
}

/// Guards against an entry that leaves the view while it may still serve, or that never leaves it.
#[rstest]
#[case::still_serving(SILENT_AFTER.0 - 1, None)]
#[case::stopped(SILENT_AFTER.0, Some("bc"))]
fn silent_entry_leaves_the_view(#[case] now: u64, #[case] expected: Option<&str>) {
    let mut liveness = leader_that_heard("abc");
    check_in_all(&mut liveness, now, "bc", 1);
    let next = liveness.next_view(Millis(now), &view(1, "abc"));
    assert_eq!(names(next).as_deref(), expected);
}

/// Guards against an entry that counts as stopped although a peer hears it.
#[test]
fn entry_that_a_peer_hears_stays_in_the_view() {
    let mut liveness = leader_that_heard("abc");
    let now = SILENT_AFTER + Millis(100);
    check_in_all(&mut liveness, now.0, "b", 1);
    liveness.check_in(now, checkin("c", 1, &[("a", 1)]));
    assert_eq!(names(liveness.next_view(now, &view(1, "abc"))), None);
    let force = liveness.force(now, &view(1, "abc"), id::Revision(2));
    assert_eq!(force.behind.len(), 3, "{force:?}");
}

/// Guards against a change that is reported as in force while a silent majority of the view may
/// keep each other serving, and against a group that stays blocked after an operator's
/// confirmation.
#[test]
fn silent_majority_is_not_known_to_have_stopped() {
    let mut liveness = leader_that_heard("abc");
    check_in_all(&mut liveness, 9_000, "c", 2);
    let force = liveness.force(Millis(9_000), &view(1, "abc"), id::Revision(2));
    assert_eq!((force.behind.len(), force.stopped.len()), (2, 0), "{force:?}");
    assert_eq!(names(liveness.next_view(Millis(9_000), &view(1, "abc"))), None);
    liveness.drain(Millis(9_000), &"a".into());
    let force = liveness.force(Millis(9_000), &view(1, "abc"), id::Revision(2));
    assert_eq!(
        (force.behind.len(), force.stopped.len()),
        (0, 2),
        "one of three entries cannot keep the others serving"
    );
    check_in_all(&mut liveness, 9_100, "a", 1);
    let force = liveness.force(Millis(9_100), &view(1, "abc"), id::Revision(2));
    assert_eq!(force.behind, ["a".into()], "an entry that checks in again is live");
}

/// Guards against ignoring entries that left one after another and are together a majority of an
/// earlier view that all of them may still use.
#[rstest]
#[case::confirmed_the_later_view(2, 0)]
#[case::may_hold_the_earlier_view(1, 3)]
fn entries_that_left_earlier_count(#[case] confirmed: u64, #[case] behind: usize) {
    let mut liveness = leader_that_heard("abcde");
    check_in_all(&mut liveness, 3_000, "cde", 1);
    assert_eq!(names(liveness.next_view(Millis(3_000), &view(1, "abcde"))).as_deref(), Some("cde"));
    liveness.set_view(&view(2, "cde"), id::Revision(2));
    check_in_all(&mut liveness, 3_000, "c", confirmed);
    check_in_all(&mut liveness, 6_000, "de", 3);
    let force = liveness.force(Millis(6_000), &view(2, "cde"), id::Revision(3));
    assert_eq!(force.behind.len(), behind, "{force:?}");
}

/// Guards against a new leader, or one that was frozen, that counts the time in which it did not
/// listen as silence of the entries.
#[test]
fn silence_before_the_start_of_the_leader_is_ignored() {
    let mut liveness = Liveness::new(Millis(50_000), &view(1, "abc"), id::Revision(1));
    check_in_all(&mut liveness, 52_499, "bc", 1);
    assert!(!liveness.is_stopped(Millis(52_499), &"a".into()));
    assert!(liveness.is_stopped(Millis(52_500), &"a".into()));
    liveness.resume(Millis(60_000));
    assert!(!liveness.is_stopped(Millis(60_000), &"a".into()));
    assert_eq!(names(liveness.next_view(Millis(60_000), &view(1, "abc"))), None);
}

/// Guards against an entry that was ordered to drain and stays in the view as serving, and against
/// a restarted one that is drained for an order to its earlier process.
#[test]
fn drain_order_holds_until_the_entry_restarts() {
    let mut liveness = leader_that_heard("ab");
    liveness.drain(Millis(10), &"a".into());
    let duty = |liveness: &Liveness| {
        let next = liveness.next_view(Millis(20), &view(1, "ab"));
        next.map(|entries| entries[0].duty)
    };
    assert_eq!(duty(&liveness), Some(Duty::Draining));
    check_in_all(&mut liveness, 15, "a", 1);
    assert_eq!(duty(&liveness), Some(Duty::Draining), "before the entry has seen the order");
    check_in_all(&mut liveness, 16, "a", 0);
    assert_eq!(duty(&liveness), None, "the restarted process serves");
}

/// Guards against a separate view for each of many restarting entries: each view is sent to every
/// entry and loads the links of the hosts.
#[test]
fn entries_that_restart_together_share_a_view() {
    let names = ('a'..='n').collect::<String>();
    let mut liveness = leader_that_heard(&names);
    let mut held = view(1, &names);
    let mut pacer = ViewPacer::default();
    let mut changes = Vec::new();
    for now in (0..2_000).step_by(50) {
        if now % 100 == 50
            && let Some(name) = names.chars().nth(now as usize / 100)
        {
            let mut restarted = checkin(&name.to_string(), 1, &[]);
            restarted.entry.started = Millis(now);
            liveness.check_in(Millis(now), restarted);
        }
        let Some(next) = liveness.next_view(Millis(now), &held) else { continue };
        if pacer.is_due(Millis(now), &held, &next) {
            pacer.proposed(Millis(now));
            held = View { number: id::View(held.number.0 + 1), entries: next };
            liveness.set_view(&held, id::Revision(held.number.0));
            changes.push(now);
        }
    }
    // 14 restarts within 1.35 s: the first view is immediate, then two per second.
    assert!(changes.len() <= 4, "{changes:?}");
    assert_eq!(changes[0], 50, "a change after a quiet period is immediate");
    assert_eq!(
        liveness.next_view(Millis(2_000), &held),
        None,
        "the last view includes all restarts"
    );
}

/// Guards against callers that are sent to a draining entry while the next view is delayed.
#[test]
fn a_drain_is_not_delayed() {
    let mut liveness = leader_that_heard("abc");
    let mut pacer = ViewPacer::default();
    pacer.proposed(Millis(100));
    let held = view(1, "abc");
    let mut restarted = checkin("b", 1, &[]);
    restarted.entry.started = Millis(110);
    liveness.check_in(Millis(110), restarted);
    let next = liveness.next_view(Millis(120), &held).unwrap_or_default();
    assert!(!pacer.is_due(Millis(120), &held, &next), "a restart is delayed");
    liveness.drain(Millis(130), &"a".into());
    let next = liveness.next_view(Millis(130), &held).unwrap_or_default();
    assert!(pacer.is_due(Millis(130), &held, &next));
}
