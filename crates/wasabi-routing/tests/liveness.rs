//! Tests of verdicts on peers.

use wasabi_protocol::{clock::Millis, id};
use wasabi_routing::liveness::{LIVE_FOR, Table};

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
        table.answered(now, &names[1]);
        if step % 9 == 0 {
            table.answered(now, &names[0]);
        }
        table.answered(now, &names[2]);
        assert!(table.is_live(now, &names[0]), "at {now:?}");
    }
}

/// Guards against a frozen peer whose work goes to nobody.
#[test]
fn a_silent_peer_is_lost_when_the_others_answer() {
    let names = names(4);
    let mut table = watching(&names);
    for name in &names[1..] {
        table.answered(Millis(900), name);
    }
    assert!(table.is_live(Millis(999), &names[0]));
    assert!(!table.is_live(LIVE_FOR, &names[0]));
    table.answered(Millis(1_100), &names[0]);
    assert!(table.is_live(Millis(1_200), &names[0]));
}

/// Guards against a judge behind a full link, or cut off, that takes all others for dead and gives
/// their work to whoever it does not watch.
#[test]
fn a_judge_that_hears_few_gives_no_verdict() {
    let names = names(6);
    let mut table = watching(&names);
    let late = Millis(5_000);
    table.answered(late, &names[5]);
    assert!(names.iter().all(|name| table.is_live(late, name)));
    table.answered(late, &names[4]);
    assert!(names.iter().all(|name| table.is_live(late, name)));
    table.answered(late, &names[3]);
    assert!(!table.is_live(late, &names[0]));
}

/// Guards against a killed process that is waited for: a refused connection needs no time, and its
/// silence says nothing about the judge.
#[test]
fn a_refused_connection_proves_that_no_process_is_there() {
    let names = names(3);
    let mut table = watching(&names);
    table.refused(&names[0]);
    table.refused(&names[1]);
    assert!(!table.is_live(Millis(1), &names[0]));
    assert!(table.is_live(Millis(1), &names[2]));
    table.answered(Millis(10), &names[0]);
    assert!(table.is_live(Millis(11), &names[0]));
}

/// Guards against peers that are judged by the time in which the judge itself did not run.
#[test]
fn the_judges_own_pause_is_no_silence() {
    let names = names(3);
    let mut table = watching(&names);
    for name in &names {
        table.answered(Millis(500), name);
    }
    table.paused(Millis(3_500), Millis(3_000));
    table.answered(Millis(3_500), &names[1]);
    table.answered(Millis(3_500), &names[2]);
    assert!(table.is_live(Millis(3_500), &names[0]));
    table.answered(Millis(4_400), &names[1]);
    table.answered(Millis(4_400), &names[2]);
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
    assert!(!table.is_live(LIVE_FOR, &names[0]));
}
