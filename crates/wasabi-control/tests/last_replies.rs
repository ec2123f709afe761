//! Tests of how the silence of a member is measured.

use wasabi_control::last_replies::LastReplies;
use wasabi_protocol::{clock::Millis, id};

fn member() -> id::Member {
    "b".into()
}

/// Guards against the removal of members because the leader itself was paused and could not receive
/// their replies.
#[test]
fn a_pause_of_this_process_does_not_count_as_silence() {
    let mut table = LastReplies::default();
    table.record_reply(Millis(1_000), &member());
    assert_eq!(table.silence(Millis(1_400), &member()), Some(Millis(400)));
    table.record_pause(Millis(4_400), Millis(3_000));
    assert_eq!(table.silence(Millis(4_400), &member()), Some(Millis(400)));
    // Two threads of one process record the same pause.
    table.record_pause(Millis(4_400), Millis(3_000));
    assert_eq!(table.silence(Millis(4_400), &member()), Some(Millis(0)));
    assert_eq!(table.silence(Millis(5_900), &member()), Some(Millis(1_500)));
    assert_eq!(table.pause(Millis(4_500)), Some((Millis(100), Millis(3_000))));
}

/// Guards against a member that counts as silent before it was sent a request.
#[test]
fn a_member_that_never_answered_has_no_silence() {
    assert_eq!(LastReplies::default().silence(Millis(9_000), &member()), None);
}
