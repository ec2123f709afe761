//! Waits on a condition, with a bound.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Time between two looks at a condition.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Waits until `look` returns a value.
///
/// # Panics
///
/// Panics with `what` when the bound passes first, so that a test never hangs.
pub fn until<T>(what: &str, bound: Duration, mut look: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = look() {
            return value;
        }
        assert!(started.elapsed() < bound, "{what} did not happen within {bound:?}");
        thread::sleep(LOOK_EVERY);
    }
}
