//! Which live entries may own pools and budgets.
//!
//! An entry that has just restarted, or that was paused for so long that others took over, waits before
//! it becomes an owner again: a change of owner has a cost at every entry, and the entry may not have
//! the current configuration yet. Entries report to each other how long they have been ready, so that
//! all of them see the end of the wait at the same time.

use wasabi_protocol::clock::Millis;

/// Time for which an entry must have been ready before it may own, while others have been ready for
/// longer.
pub const READY_TIME_MIN: Millis = Millis::from_secs(2);

/// Difference in ready time up to which entries count as started together. They do not wait for each
/// other, since after a restart of all entries there is no previous owner.
pub const START_TOLERANCE: Millis = Millis::from_secs(1);

/// Returns whether an entry that has been ready for `own` may own pools and budgets. `longest` is the
/// longest ready time of all live entries.
pub fn may_own(own: Millis, longest: Millis) -> bool {
    READY_TIME_MIN <= own || longest < own + START_TOLERANCE
}
