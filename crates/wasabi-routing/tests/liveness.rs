//! Tests of failure detection between peers.

use wasabi_protocol::{clock::Millis, id};
use wasabi_routing::liveness::{
    HEARTBEAT_INTERVAL, SILENCE_TIMEOUT_MAX, SILENCE_TIMEOUT_MIN, Table,
};

fn names(count: usize) -> Vec<id::Entry> {
    (0..count).map(|number| format!("e{number}").as_str().into()).collect()
}

fn watching(names: &[id::Entry]) -> Table {
    let mut table = Table::default();
    for name in names {
        table.watch(Millis(0), name);
    }
    table
}

/// Guards against a slow peer that is considered lost: each answer is 900 ms late.
#[test]
fn a_peer_that_answers_late_is_live() {
    let names = names(3);
    let mut table = watching(&names);
    for step in 1..100 {
        let now = Millis(step * 100);
        table.record_answer(now, &names[1]);
        if step % 9 == 0 {
            table.record_answer(now, &names[0]);
        }
        table.record_answer(now, &names[2]);
        assert!(table.is_live(now, &names[0]), "at {now:?}");
    }
}

/// Guards against a frozen peer whose work is not taken over.
#[test]
fn a_silent_peer_is_lost_when_the_others_answer() {
    let names = names(4);
    let mut table = watching(&names);
    for name in &names[1..] {
        table.record_answer(Millis(900), name);
    }
    assert!(table.is_live(Millis(999), &names[0]));
    assert!(!table.is_live(SILENCE_TIMEOUT_MIN, &names[0]));
    table.record_answer(Millis(1_100), &names[0]);
    assert!(table.is_live(Millis(1_200), &names[0]));
}

/// Guards against an observer on a saturated link, or partitioned, that considers all watched peers
/// lost and moves their work to entries that it does not watch.
#[test]
fn an_observer_that_gets_few_answers_considers_no_peer_lost() {
    let names = names(6);
    let mut table = watching(&names);
    let late = Millis(5_000);
    table.record_answer(late, &names[5]);
    assert!(names.iter().all(|name| table.is_live(late, name)));
    table.record_answer(late, &names[4]);
    assert!(names.iter().all(|name| table.is_live(late, name)));
    table.record_answer(late, &names[3]);
    assert!(!table.is_live(late, &names[0]));
}

/// Guards against waiting for a killed process: a refused connection counts at once, and the silence
/// of that peer says nothing about the observer.
#[test]
fn a_refused_connection_proves_that_no_process_is_running() {
    let names = names(3);
    let mut table = watching(&names);
    table.record_refusal(&names[0]);
    table.record_refusal(&names[1]);
    assert!(!table.is_live(Millis(1), &names[0]));
    assert!(table.is_live(Millis(1), &names[2]));
    table.record_answer(Millis(10), &names[0]);
    assert!(table.is_live(Millis(11), &names[0]));
}

/// Guards against peers that are lost because of time in which the observer itself did not run.
#[test]
fn a_pause_of_the_observer_does_not_count_as_silence() {
    let names = names(3);
    let mut table = watching(&names);
    for name in &names {
        table.record_answer(Millis(500), name);
    }
    table.record_pause(Millis(3_500), Millis(3_000));
    table.record_answer(Millis(3_500), &names[1]);
    table.record_answer(Millis(3_500), &names[2]);
    assert!(table.is_live(Millis(3_500), &names[0]));
    table.record_answer(Millis(4_400), &names[1]);
    table.record_answer(Millis(4_400), &names[2]);
    assert!(!table.is_live(Millis(4_500), &names[0]));
}

/// Guards against a peer that is lost as soon as it is watched, because it has not answered yet.
#[test]
fn a_newly_watched_peer_is_live_until_its_timeout() {
    let names = names(2);
    let mut table = Table::default();
    assert!(table.is_live(Millis(10_000), &names[0]), "a peer that is not watched counts as live");
    table.watch(Millis(10_000), &names[0]);
    table.watch(Millis(10_900), &names[0]);
    assert!(table.is_live(Millis(10_999), &names[0]));
}

/// Guards against two entries of which one freezes and the other never takes over.
#[test]
fn one_of_two_entries_detects_the_loss_of_the_other() {
    let names = names(1);
    let table = watching(&names);
    assert!(!table.is_live(SILENCE_TIMEOUT_MIN, &names[0]));
}

/// Returns the times at which a peer changes between live and lost. Its answers to heartbeats are late
/// by each of `delays` in turn; two other peers answer at once.
fn changes_of_state(delays: &[u64], until: u64) -> Vec<u64> {
    let names = names(3);
    let mut table = watching(&names);
    let sent = (0..).map(|number| number * HEARTBEAT_INTERVAL.0);
    let answers: Vec<_> =
        sent.zip(delays.iter().cycle()).take((until / HEARTBEAT_INTERVAL.0) as usize).collect();
    let (mut changes, mut is_live) = (Vec::new(), true);
    for now in (0..until).step_by(10) {
        for (sent, _) in answers.iter().filter(|(sent, delay)| sent + **delay == now) {
            table.record_answer(Millis(now), &names[0]);
            table.record_delay(&names[0], Millis(now - sent));
        }
        table.record_answer(Millis(now), &names[1]);
        table.record_answer(Millis(now), &names[2]);
        if is_live != table.is_live(Millis(now), &names[0]) {
            is_live = !is_live;
            changes.push(now);
        }
    }
    changes
}

/// Guards against a peer behind a slow link that alternates between lost and live with each answer.
#[test]
fn a_peer_whose_answers_are_always_late_stays_live() {
    assert_eq!(changes_of_state(&[550, 800, 600, 700], 60_000), Vec::<u64>::new());
    assert_eq!(changes_of_state(&[300, 500, 700, 900], 60_000), Vec::<u64>::new());
    // The first answers arrive when a fast peer would already be lost.
    assert!(changes_of_state(&[1_000, 1_200, 1_100], 60_000).len() <= 2);
    assert!(changes_of_state(&[1_250, 1_300], 60_000).len() <= 2);
}

/// Guards against a timeout that stays at its largest value after the answers have become fast again,
/// and against a timeout without an upper limit.
#[test]
fn the_timeout_falls_when_answers_become_fast_again() {
    let names = names(3);
    let mut table = watching(&names);
    let timeout = |table: &Table, now| table.evidence(now, &names[0]).unwrap().timeout;
    for _ in 0..20 {
        table.record_delay(&names[0], Millis::from_secs(30));
    }
    assert_eq!(timeout(&table, Millis(0)), SILENCE_TIMEOUT_MAX);
    for _ in 0..40 {
        table.record_delay(&names[0], Millis(5));
    }
    assert_eq!(timeout(&table, Millis(0)), SILENCE_TIMEOUT_MIN);
    let fast = watching(&names);
    assert_eq!(timeout(&fast, Millis(0)), SILENCE_TIMEOUT_MIN);
}

/// Guards against a frozen owner whose requests wait until their deadlines: most peers of the observer
/// are silent, but the control leader answers it, so its own link is not the cause.
#[test]
fn an_observer_that_reaches_control_is_not_partitioned() {
    let names = names(12);
    let mut table = watching(&names);
    for now in (100..=1_000).step_by(100) {
        for name in &names[7..] {
            table.record_answer(Millis(now), name);
        }
    }
    assert!(table.is_live(Millis(1_000), &names[0]), "5 of 12 peers answer, and no control leader");
    table.record_control_answer(Millis(1_000));
    assert!(!table.is_live(Millis(1_000), &names[0]));
    assert!(table.is_live(Millis(1_000), &names[7]));
}

/// Guards against an observer that loses all connections at once and considers all peers lost because
/// the control leader was the last one to answer.
#[test]
fn a_control_answer_before_the_timeout_of_a_peer_proves_nothing() {
    let names = names(12);
    let mut table = watching(&names);
    for name in &names {
        table.record_answer(Millis(5_000), name);
    }
    table.record_control_answer(Millis(5_400));
    for now in (5_000..9_000).step_by(50) {
        assert!(names.iter().all(|name| table.is_live(Millis(now), name)), "at {now}");
    }
}

/// Guards against an observer that is always slow, excuses each of its pauses and never detects a
/// frozen peer.
#[test]
fn an_observer_that_is_always_slow_detects_a_frozen_peer() {
    let names = names(4);
    for tick in [300, 500, 1_500] {
        let mut table = watching(&names);
        let lost = (tick..10_000).step_by(tick as usize).find(|now| {
            table.record_pause(Millis(*now), Millis(tick - 50));
            for name in &names[1..] {
                table.record_answer(Millis(*now), name);
            }
            !table.is_live(Millis(*now), &names[0])
        });
        // The timeout, at most one second excused for later pauses, the first pause, and a tick.
        let bound = SILENCE_TIMEOUT_MIN.0 + 1_000 + 2 * tick;
        assert!(lost.is_some_and(|lost| lost <= bound), "lost at {lost:?} with {tick} ms");
    }
}
