//! Tests of the clock.
#![allow(clippy::unwrap_used, reason = "errors fail the test")]

use std::{fs, thread, time::Duration};

use wasabi_protocol::clock::{Clock, Millis};

/// Returns the time since boot including suspensions, as reported by the kernel with a resolution of
/// 10 ms.
fn uptime() -> Millis {
    let text = fs::read_to_string("/proc/uptime").unwrap();
    let seconds: f64 = text.split(' ').next().unwrap().parse().unwrap();
    Millis((seconds * 1_000.0) as u64)
}

/// Guards against a clock that stops during suspensions: a resumed process would keep using leases
/// that have expired for all others. Unless the host is suspended during the test, only the origin
/// and the unit of the clock are checked.
#[test]
fn clock_follows_the_time_since_boot() {
    let (before, clock) = (uptime(), Clock::start());
    for _ in 0..20 {
        thread::sleep(Duration::from_millis(10));
        let first = uptime();
        let (now, last) = (clock.now(), uptime());
        assert!(first.since(before) <= now + Millis(20), "{before} {first} {now}");
        assert!(now <= last.since(before) + Millis(20), "{before} {now} {last}");
    }
}
