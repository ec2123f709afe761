//! Tests of what is under way on a connection to another member.

use wasabi_control::{
    parts::PART_BYTES,
    window::{BYTES_MAX, Size, Window},
};
use wasabi_protocol::clock::Millis;

/// The longest time for which a heartbeat may wait behind bulk, in milliseconds: half of the shortest
/// election timeout.
const HEARTBEAT_WAITS: u64 = 300;

/// Sends parts over a link of so many bytes a second for a time, and returns the longest time of an
/// answer in its second half, in milliseconds, with the bytes that passed.
fn play(bytes_per_s: u64, time: u64) -> (u64, u64) {
    let mut window = Window::new(Size::Adaptive, Millis(0));
    let mut on_the_link: Vec<(u64, u64)> = Vec::new();
    let (mut free, mut longest, mut passed) = (0, 0, 0);
    let part = PART_BYTES as u64;
    for now in 0..time {
        while let Some((sent, answered)) = on_the_link.first().copied()
            && answered <= now
        {
            on_the_link.remove(0);
            window.answer(Millis(now), PART_BYTES, Millis(sent));
            passed += part;
            if time / 2 < now {
                longest = longest.max(now - sent);
            }
        }
        while window.has_room(PART_BYTES) {
            window.send(Millis(now), PART_BYTES);
            free = free.max(now) + part * 1_000 / bytes_per_s;
            on_the_link.push((now, free + 2));
        }
    }
    (longest, passed)
}

/// Guards against heartbeats that wait behind bulk for as long as an election timeout, since a slow
/// link holds as much as a quick one, and against a link that is left unused.
#[test]
fn a_slow_link_holds_little_and_is_used() {
    for bytes_per_s in [100_000, 200_000, 1_000_000] {
        let (longest, passed) = play(bytes_per_s, 20_000);
        assert!(longest <= HEARTBEAT_WAITS, "{longest} ms at {bytes_per_s} bytes a second");
        let most = bytes_per_s * 20;
        assert!(most * 8 / 10 <= passed, "{passed} of {most} bytes passed");
    }
}

/// Guards against a quick link that is held back by the bounds of slow ones.
#[test]
fn a_quick_link_gets_the_whole_window() {
    let mut window = Window::new(Size::Adaptive, Millis(0));
    for now in 1..100 {
        window.send(Millis(now), PART_BYTES);
        window.answer(Millis(now + 1), PART_BYTES, Millis(now));
    }
    assert_eq!(window.bytes_max(), BYTES_MAX);
}

/// Guards against a message that is larger than the window and is never sent.
#[test]
fn an_empty_window_takes_any_request() {
    let window = Window::new(Size::Adaptive, Millis(0));
    assert!(window.has_room(10 * BYTES_MAX));
}

/// Guards against a connection that counts as silent because each single answer is late, or because
/// there was nothing to answer.
#[test]
fn late_answers_are_progress() {
    let mut window = Window::new(Size::Fixed, Millis(0));
    assert_eq!(window.silent(Millis(60_000)), Millis(0));
    // A request every 100 ms, each answered after 900 ms.
    for now in (60_000..70_000).step_by(100) {
        window.send(Millis(now), 300);
        if 60_900 <= now {
            window.answer(Millis(now), 300, Millis(now - 900));
            assert!(window.silent(Millis(now + 99)) < Millis(100));
        }
    }
    assert_eq!(window.silent(Millis(70_900)), Millis(1_000));
}

/// Guards against parts that are sent again and again on a link that needs long for one: the handshake
/// of another connection is small and would always answer first.
#[test]
fn a_slow_link_gets_time_for_a_part() {
    let mut window = Window::new(Size::Adaptive, Millis(0));
    let mut now = 0;
    let mut replaced = 0;
    // A part takes 3 s.
    for _ in 0..10 {
        window.send(Millis(now), PART_BYTES);
        let patience = window.candidate_in(Millis(now)).0;
        if patience < 3_000 {
            now += patience;
            window.reset(Millis(now));
            replaced += 1;
        } else {
            now += 3_000;
            window.answer(Millis(now), PART_BYTES, Millis(now - 3_000));
        }
    }
    assert_eq!(replaced, 4, "0.3, 0.6, 1.2 and 2.4 s; from then on parts pass");
}
