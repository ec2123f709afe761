//! Tests of verdicts on peers.

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

/// Guards against a slow peer that is taken for a dead one: each answer is 900 ms late.
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

/// Guards against a frozen peer whose work goes to nobody.
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

/// Guards against a judge behind a full link, or cut off, that takes all others for dead and gives
/// their work to whoever it does not watch.
#[test]
fn a_judge_that_hears_few_gives_no_verdict() {
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

/// Guards against a killed process that is waited for: a refused connection needs no time, and its
/// silence says nothing about the judge.
#[test]
fn a_refused_connection_proves_that_no_process_is_there() {
    let names = names(3);
    let mut table = watching(&names);
    table.record_refusal(&names[0]);
    table.record_refusal(&names[1]);
    assert!(!table.is_live(Millis(1), &names[0]));
    assert!(table.is_live(Millis(1), &names[2]));
    table.record_answer(Millis(10), &names[0]);
    assert!(table.is_live(Millis(11), &names[0]));
}

/// Guards against peers that are judged by the time in which the judge itself did not run.
#[test]
fn the_judges_own_pause_is_no_silence() {
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

/// Guards against a peer that was never heard and is lost in its first moment.
#[test]
fn a_peer_is_live_for_a_while_from_its_first_moment() {
    let names = names(2);
    let mut table = Table::default();
    assert!(table.is_live(Millis(10_000), &names[0]), "only the view tells of it");
    table.watch(Millis(10_000), &names[0]);
    table.watch(Millis(10_900), &names[0]);
    assert!(table.is_live(Millis(10_999), &names[0]));
}

/// Guards against two entries of which one dies silently and the other never takes over.
#[test]
fn one_of_two_judges_the_other() {
    let names = names(1);
    let table = watching(&names);
    assert!(!table.is_live(SILENCE_TIMEOUT_MIN, &names[0]));
}

/// Returns when a peer was lost and back, with heartbeats whose answers take the times of `delays` in
/// turn, and two quick peers beside it.
fn verdicts(delays: &[u64], until: u64) -> Vec<u64> {
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

/// Guards against a peer behind a slow link that is lost and back at each of its answers.
#[test]
fn a_peer_whose_answers_are_always_late_stays_live() {
    assert_eq!(verdicts(&[550, 800, 600, 700], 60_000), Vec::<u64>::new());
    assert_eq!(verdicts(&[300, 500, 700, 900], 60_000), Vec::<u64>::new());
    // The first answers come when a quick peer would be lost already.
    assert!(verdicts(&[1_000, 1_200, 1_100], 60_000).len() <= 2);
    assert!(verdicts(&[1_250, 1_300], 60_000).len() <= 2);
}

/// Guards against a dead peer that is waited for as long as its answers once were late, and against
/// a bound that grows without end.
#[test]
fn a_peer_that_is_quick_again_is_lost_as_soon_as_any() {
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
    let quick = watching(&names);
    assert_eq!(timeout(&quick, Millis(0)), SILENCE_TIMEOUT_MIN);
}

/// Guards against a frozen owner whose requests wait to their deadlines: most peers of the judge are
/// silent, but the control leader answers it, so that its own link is not at fault.
#[test]
fn a_judge_that_control_answers_is_not_cut_off() {
    let names = names(12);
    let mut table = watching(&names);
    for now in (100..=1_000).step_by(100) {
        for name in &names[7..] {
            table.record_answer(Millis(now), name);
        }
    }
    assert!(table.is_live(Millis(1_000), &names[0]), "5 of 12 answer, and nobody else");
    table.record_control_answer(Millis(1_000));
    assert!(!table.is_live(Millis(1_000), &names[0]));
    assert!(table.is_live(Millis(1_000), &names[7]));
}

/// Guards against a judge that is cut off from everybody at one moment, and takes all others for dead
/// since the control leader was the last one that it heard.
#[test]
fn an_answer_of_control_before_a_peers_time_had_passed_proves_nothing() {
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

/// Guards against a judge that is slow all the time, forgives itself each of its pauses and never finds
/// a frozen peer.
#[test]
fn a_judge_that_is_always_slow_finds_a_frozen_peer() {
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
        // Its silence, the first pause, the second that is forgiven at most, and a tick.
        let bound = SILENCE_TIMEOUT_MIN.0 + 1_000 + 2 * tick;
        assert!(lost.is_some_and(|lost| lost <= bound), "lost at {lost:?} with {tick} ms");
    }
}
