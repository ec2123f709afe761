//! Which of the live entries may own pools and budgets.
//!
//! An entry that has just restarted, or paused for so long that others took over, waits before it owns
//! again: a change of owner costs every entry, and it may not know yet what is in force. Each entry
//! tells the others for how long it has been ready, so that all of them see the end of the wait at the
//! same time.

use wasabi_protocol::clock::Millis;

/// Time for which an entry must have been ready before it owns, while others have been for longer.
pub const READY_TIME_MIN: Millis = Millis::from_secs(2);

/// Difference in readiness of entries that started together. None of them waits for the others, since
/// after a restart of everything nobody owned before.
pub const START_TOLERANCE: Millis = Millis::from_secs(1);

/// Returns whether an entry that has been ready for `own` may own, when the live entry that has been
/// ready for the longest time has been for `longest`.
pub fn may_own(own: Millis, longest: Millis) -> bool {
    READY_TIME_MIN <= own || longest < own + START_TOLERANCE
}
