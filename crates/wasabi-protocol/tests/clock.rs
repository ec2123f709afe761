//! Tests of the clock.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{fs, thread, time::Duration};

use wasabi_protocol::clock::{Clock, Millis};

/// Returns the time since the host started with its suspensions, as the kernel shows it, in
/// milliseconds and with an accuracy of 10 ms.
fn uptime() -> Millis {
    let text = fs::read_to_string("/proc/uptime").unwrap();
    let seconds: f64 = text.split(' ').next().unwrap().parse().unwrap();
    Millis((seconds * 1_000.0) as u64)
}

/// Guards against a clock that runs otherwise than the one of the kernel that counts suspensions: a
/// process that wakes would hold leases that have ended for all others. On a host that was not suspended
/// meanwhile it shows only that origin and unit are right.
#[test]
fn the_clock_follows_the_time_since_the_host_started() {
    let (before, clock) = (uptime(), Clock::start());
    for _ in 0..20 {
        thread::sleep(Duration::from_millis(10));
        let first = uptime();
        let (now, last) = (clock.now(), uptime());
        assert!(first.since(before) <= now + Millis(20), "{before} {first} {now}");
        assert!(now <= last.since(before) + Millis(20), "{before} {now} {last}");
    }
}
