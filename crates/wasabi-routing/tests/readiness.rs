//! Tests of which entries may own pools.

use wasabi_protocol::clock::Millis;
use wasabi_routing::readiness::{READY_TIME_MIN, START_TOLERANCE, may_own};

const LONG: Millis = Millis::from_secs(3_600);

/// Guards against a restarted owner that takes its pools back before it has the current
/// configuration, and against one that never gets them back.
#[test]
fn a_restarted_entry_owns_after_the_minimum_ready_time() {
    assert!(!may_own(Millis::ZERO, LONG));
    assert!(!may_own(READY_TIME_MIN - Millis(1), LONG));
    assert!(may_own(READY_TIME_MIN, LONG));
    assert!(may_own(LONG, LONG));
}

/// Guards against pools without an owner, or with changing owners, when all entries restart together
/// and are confirmed one after another.
#[test]
fn entries_that_restart_together_do_not_wait_for_each_other() {
    for first in (0..10_000).step_by(10).map(Millis) {
        for late in (0..START_TOLERANCE.0).step_by(10).map(Millis) {
            assert!(may_own(first - late, first), "{late} behind {first}");
        }
    }
}

/// Guards against an entry that is never confirmed and keeps its pools.
#[test]
fn an_entry_that_is_not_ready_is_excluded_when_others_are_ready() {
    assert!(may_own(Millis::ZERO, Millis::ZERO), "no entry is ready");
    assert!(may_own(Millis::ZERO, START_TOLERANCE - Millis(1)));
    assert!(!may_own(Millis::ZERO, START_TOLERANCE));
}
