//! What the leader's answers confirm about the configuration in force.

use wasabi_entry::control::confirmation::Confirmation;
use wasabi_protocol::{clock::Millis, id::Revision};

/// Guards against an entry that serves with an outdated configuration for as long as a leader
/// answers it.
#[test]
fn an_answer_that_names_a_newer_revision_confirms_nothing() {
    let mut confirmation = Confirmation::default();
    assert_eq!(
        confirmation.record_answer(Revision(2), Millis(100), Revision(2)),
        Some(Millis(100))
    );
    for sent in 1..100 {
        assert_eq!(
            confirmation.record_answer(Revision(3), Millis(100 + sent * 500), Revision(2)),
            None
        );
    }
    assert!(confirmation.is_confirmed());
}

/// Guards against an entry that stops serving under frequent changes, when each answer names a
/// revision that it fetches only later.
#[test]
fn an_answer_counts_from_its_request_once_the_revision_is_held() {
    let mut confirmation = Confirmation::default();
    assert_eq!(confirmation.record_answer(Revision(5), Millis(500), Revision(4)), None);
    assert_eq!(confirmation.record_answer(Revision(9), Millis(1_000), Revision(4)), None);
    assert!(!confirmation.is_confirmed());
    assert_eq!(confirmation.record_held(Revision(7)), Some(Millis(500)));
    assert!(confirmation.is_confirmed());
    assert_eq!(confirmation.record_answer(Revision(12), Millis(1_500), Revision(8)), None);
    assert_eq!(confirmation.record_held(Revision(11)), Some(Millis(1_000)));
    assert_eq!(confirmation.record_held(Revision(11)), None);
}

/// Guards against unbounded memory for answers while none of their revisions arrives.
#[test]
fn only_the_newest_answers_are_kept() {
    let mut confirmation = Confirmation::default();
    for number in 1..1_000 {
        assert_eq!(confirmation.record_answer(Revision(number), Millis(number), Revision(0)), None);
    }
    assert_eq!(confirmation.record_held(Revision(900)), None);
    assert_eq!(confirmation.record_held(Revision(999)), Some(Millis(999)));
}
