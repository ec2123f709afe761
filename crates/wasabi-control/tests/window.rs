//! Tests of the flow control of connections to other members.

use wasabi_control::{
    parts::PART_BYTES,
    window::{BYTES_MAX, Size, Window},
};
use wasabi_protocol::clock::Millis;

/// The longest delay of a heartbeat behind bulk: half of the shortest election timeout.
const HEARTBEAT_DELAY_MAX_MS: u64 = 300;

/// Simulates a link with the given bandwidth for a time in milliseconds. Returns the longest answer
/// time in its second half, in milliseconds, and the bytes transferred.
fn simulate(bytes_per_s: u64, time: u64) -> (u64, u64) {
    let mut window = Window::new(Size::Adaptive, Millis(0));
    let mut in_flight: Vec<(u64, u64)> = Vec::new();
    let (mut link_free_at, mut longest, mut transferred) = (0, 0, 0);
    let part = PART_BYTES as u64;
    for now in 0..time {
        while let Some((sent, answered)) = in_flight.first().copied()
            && answered <= now
        {
            in_flight.remove(0);
            window.answer(Millis(now), PART_BYTES, Millis(sent));
            transferred += part;
            if time / 2 < now {
                longest = longest.max(now - sent);
            }
        }
        while window.has_room(PART_BYTES) {
            window.send(Millis(now), PART_BYTES);
            link_free_at = link_free_at.max(now) + part * 1_000 / bytes_per_s;
            in_flight.push((now, link_free_at + 2));
        }
    }
    (longest, transferred)
}

/// Guards against heartbeats that are delayed by an election timeout because a slow link queues as
/// much bulk as a fast one, and against a link that is underused.
#[test]
fn a_slow_link_is_used_with_a_short_queue() {
    for bytes_per_s in [100_000, 200_000, 1_000_000] {
        let (longest, transferred) = simulate(bytes_per_s, 20_000);
        assert!(longest <= HEARTBEAT_DELAY_MAX_MS, "{longest} ms at {bytes_per_s} bytes a second");
        let most = bytes_per_s * 20;
        assert!(most * 8 / 10 <= transferred, "{transferred} of {most} bytes transferred");
    }
}

/// Guards against a fast link that is throttled like a slow one.
#[test]
fn a_fast_link_gets_the_largest_window() {
    let mut window = Window::new(Size::Adaptive, Millis(0));
    for now in 1..100 {
        window.send(Millis(now), PART_BYTES);
        window.answer(Millis(now + 1), PART_BYTES, Millis(now));
    }
    assert_eq!(window.bytes_max(), BYTES_MAX);
}

/// Guards against a message that is larger than the window and therefore never sent.
#[test]
fn an_empty_window_accepts_any_request() {
    let window = Window::new(Size::Adaptive, Millis(0));
    assert!(window.has_room(10 * BYTES_MAX));
}

/// Guards against a connection that counts as silent although answers arrive, each of them late, or
/// although no request is in flight.
#[test]
fn late_answers_count_as_progress() {
    let mut window = Window::new(Size::Fixed, Millis(0));
    assert_eq!(window.silent(Millis(60_000)), Millis(0));
    // One request every 100 ms, each answered after 900 ms.
    for now in (60_000..70_000).step_by(100) {
        window.send(Millis(now), 300);
        if 60_900 <= now {
            window.answer(Millis(now), 300, Millis(now - 900));
            assert!(window.silent(Millis(now + 99)) < Millis(100));
        }
    }
    assert_eq!(window.silent(Millis(70_900)), Millis(1_000));
}

/// Guards against parts that are retransmitted forever on a link that needs long for each: the
/// small handshake of a candidate connection would always complete first.
#[test]
fn candidates_are_delayed_on_a_slow_link() {
    let mut window = Window::new(Size::Adaptive, Millis(0));
    let mut now = 0;
    let mut replaced = 0;
    // The transfer of a part takes 3 s.
    for _ in 0..10 {
        window.send(Millis(now), PART_BYTES);
        let candidate_in = window.candidate_in(Millis(now)).0;
        if candidate_in < 3_000 {
            now += candidate_in;
            window.reset(Millis(now));
            replaced += 1;
        } else {
            now += 3_000;
            window.answer(Millis(now), PART_BYTES, Millis(now - 3_000));
        }
    }
    assert_eq!(replaced, 4, "after 0.3, 0.6, 1.2 and 2.4 s; later parts are answered in time");
}
