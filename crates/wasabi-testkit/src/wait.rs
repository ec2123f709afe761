//! Polls a condition until a timeout.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Calls `poll` until it returns a value.
///
/// # Panics
///
/// Panics with `what` if `bound` elapses first, so that a test never hangs.
pub fn until<T>(what: &str, bound: Duration, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(started.elapsed() < bound, "{what} did not happen within {bound:?}");
        thread::sleep(POLL_INTERVAL);
    }
}
