//! Tests of who may own pools.

use wasabi_protocol::clock::Millis;
use wasabi_routing::readiness::{READY_TIME_MIN, START_TOLERANCE, may_own};

const LONG: Millis = Millis::from_secs(3_600);

/// Guards against an owner that has restarted and takes its pools back before it knows what is in
/// force, and against one that never gets them back.
#[test]
fn a_restarted_entry_owns_once_it_was_ready_for_a_while() {
    assert!(!may_own(Millis::ZERO, LONG));
    assert!(!may_own(READY_TIME_MIN - Millis(1), LONG));
    assert!(may_own(READY_TIME_MIN, LONG));
    assert!(may_own(LONG, LONG));
}

/// Guards against pools that nobody owns, or that go round, when all entries restart at one time and
/// are confirmed one after another.
#[test]
fn entries_that_restart_together_do_not_wait_for_each_other() {
    for first in (0..10_000).step_by(10).map(Millis) {
        for late in (0..START_TOLERANCE.0).step_by(10).map(Millis) {
            assert!(may_own(first - late, first), "{first} and {late} later");
        }
    }
}

/// Guards against an entry that is never confirmed and holds its pools.
#[test]
fn an_entry_that_is_not_ready_is_left_out_when_others_are() {
    assert!(may_own(Millis::ZERO, Millis::ZERO), "nobody is ready");
    assert!(may_own(Millis::ZERO, START_TOLERANCE - Millis(1)));
    assert!(!may_own(Millis::ZERO, START_TOLERANCE));
}
