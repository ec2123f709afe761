//! Actions that a single node returns, and when it returns them.
#![allow(clippy::unwrap_used, missing_docs)]

use wasabi_consensus::{
    Action, AppendResult, Change, Config, Entry, Event, Message, Node, Persist, PersistentState,
    Position, RefusalReason, Role,
};
use wasabi_protocol::{clock::Millis, id};

const NOW: Millis = Millis(10_000);

fn member(name: &str) -> id::Member {
    name.into()
}

fn node(voters: &[&str]) -> Node {
    let initial = PersistentState::bootstrap(voters.iter().map(|name| member(name)));
    Node::new(Config::new(member("a"), 1), initial, Millis::ZERO)
}

fn persist(actions: Vec<Action>) -> Option<Persist> {
    actions.into_iter().find_map(|action| match action {
        Action::Persist(persist) => Some(persist),
        _ => None,
    })
}

fn sends<'a>(actions: &'a [Action]) -> Vec<&'a Message> {
    let message = |action: &'a Action| match action {
        Action::Send(_, message) => Some(message),
        _ => None,
    };
    actions.iter().filter_map(message).collect()
}

fn stored(node: &mut Node, persist: Persist) -> Vec<Action> {
    let persisted = persist.store(|_| Ok::<_, ()>(())).unwrap();
    node.step(NOW, Event::Persisted(persisted))
}

/// Returns a node that leads a group of three and has no batch to persist.
fn leader() -> Node {
    let mut node = node(&["a", "b", "c"]);
    node.step(NOW, Event::Tick);
    let pre_vote = Message::PreVoteReply { term: 1, granted: true };
    let actions = node.step(NOW, Event::Receive(member("b"), pre_vote));
    assert_eq!(sends(&actions), Vec::<&Message>::new(), "a vote request waits for the sync");
    let actions = stored(&mut node, persist(actions).unwrap());
    assert_eq!(sends(&actions).len(), 2);
    let vote = Message::VoteReply { term: 1, granted: true };
    let actions = node.step(NOW, Event::Receive(member("b"), vote));
    assert_eq!(node.role(), Role::Leader);
    stored(&mut node, persist(actions).unwrap());
    node
}

/// Guards against a reply that acknowledges state which a crash can still lose.
#[test]
fn a_reply_waits_for_the_sync() {
    let mut node = node(&["a", "b", "c"]);
    let prev = Position { term: 0, index: 1 };
    let entry =
        wasabi_consensus::Entry { term: 3, index: 2, data: wasabi_consensus::Payload::Empty };
    let message =
        Message::Append { term: 3, prev, entries: vec![entry], commit: 1, sent: Millis(7) };
    let actions = node.step(NOW, Event::Receive(member("b"), message.clone()));
    assert!(sends(&actions).is_empty());
    let batch = persist(actions).unwrap();
    assert_eq!(batch.batch().vote.as_ref().unwrap().term, 3);
    assert_eq!(batch.batch().entries.len(), 1);
    // A duplicate changes nothing on disk, but its reply acknowledges the same state and must wait
    // too.
    let duplicate = node.step(NOW, Event::Receive(member("b"), message));
    assert!(duplicate.is_empty());
    let actions = stored(&mut node, batch);
    let reply =
        Message::AppendReply { term: 3, verdict: AppendResult::Matched(2), sent: Millis(7) };
    assert_eq!(sends(&actions), [&reply, &reply]);
}

/// Guards against a separate sync for each proposal.
#[test]
fn proposals_that_arrive_during_a_sync_share_the_next_one() {
    let mut node = leader();
    let propose =
        |node: &mut Node, request| node.step(NOW, Event::Propose { data: vec![1].into(), request });
    let first = persist(propose(&mut node, 0)).unwrap();
    for request in 1..100 {
        assert_eq!(persist(propose(&mut node, request)), None);
    }
    let actions = stored(&mut node, first);
    assert_eq!(persist(actions).unwrap().batch().entries.len(), 99);
}

/// Guards against probes that multiply when the network duplicates replies without new
/// information.
#[test]
fn a_repeated_conflict_triggers_one_probe() {
    let mut node = leader();
    let conflict = Message::AppendReply { term: 1, verdict: AppendResult::Conflict(0), sent: NOW };
    let mut probes = 0;
    for _ in 0..20 {
        let actions = node.step(NOW, Event::Receive(member("b"), conflict.clone()));
        probes += sends(&actions).len();
    }
    assert_eq!(probes, 1);
}

/// Returns the total size of the entries in the messages to a member, in bytes.
fn bytes_to(actions: &[Action], to: &str) -> usize {
    let bytes = |action: &Action| match action {
        Action::Send(receiver, Message::Append { entries, .. }) if *receiver == member(to) => {
            entries.iter().map(Entry::size).sum()
        }
        _ => 0,
    };
    actions.iter().map(bytes).sum()
}

/// Guards against sending a lagging member all missing entries at once: the unacknowledged messages
/// would exceed the capacity of its link and the memory of the leader.
#[test]
fn bytes_in_flight_are_bounded() {
    const ENTRY_BYTES: usize = 256 * 1_024;
    const ENTRIES: u64 = 40;
    const INFLIGHT_BYTES_MAX: usize = 1_024 * 1_024;
    let limit = INFLIGHT_BYTES_MAX + ENTRY_BYTES + 1_024;
    let mut node = leader();
    acknowledge(&mut node, "b", 2);
    let mut sent = 0;
    for request in 0..ENTRIES {
        let data = vec![1; ENTRY_BYTES].into();
        let actions = node.step(NOW, Event::Propose { data, request });
        sent += bytes_to(&actions, "b");
        let actions = stored(&mut node, persist(actions).unwrap());
        sent += bytes_to(&actions, "b");
    }
    assert!(ENTRY_BYTES < sent && sent <= limit, "{sent} bytes in flight");
    let mut matched = 2;
    while matched < 2 + ENTRIES {
        matched += 1;
        let actions = acknowledge(&mut node, "b", matched);
        sent += bytes_to(&actions, "b");
        let in_flight = sent - (matched as usize - 2) * ENTRY_BYTES;
        assert!(in_flight <= limit, "{in_flight} bytes in flight at index {matched}");
    }
    assert!(ENTRIES as usize * ENTRY_BYTES <= sent, "not all entries were sent");
}

/// Guards against a single-member group that waits for replies from other members.
#[test]
fn a_single_member_commits_alone() {
    let mut node = node(&["a"]);
    let actions = node.step(NOW, Event::Tick);
    let actions = stored(&mut node, persist(actions).unwrap());
    assert_eq!(node.role(), Role::Leader);
    stored(&mut node, persist(actions).unwrap());
    assert!(node.can_read(NOW) && node.settled());
    assert_eq!(node.commit_index(), 2);
}

fn change(node: &mut Node, change: Change) -> Vec<Action> {
    node.step(NOW, Event::ChangeMembers { change, request: 9 })
}

fn acknowledge(node: &mut Node, from: &str, index: u64) -> Vec<Action> {
    let verdict = AppendResult::Matched(index);
    let message = Message::AppendReply { term: 1, verdict, sent: NOW };
    node.step(NOW, Event::Receive(member(from), message))
}

/// Guards against changes whose quorums do not overlap, and against the promotion of a member that
/// lacks committed entries, so that the group has no up-to-date quorum when another voter is lost.
#[test]
fn a_membership_change_waits_for_its_preconditions() {
    let mut node = leader();
    let refused = |reason| vec![Action::Refuse { request: 9, reason }];
    let add = |name| Change::AddLearner(member(name));
    assert_eq!(change(&mut node, add("d")), refused(RefusalReason::TermNotCommitted));
    acknowledge(&mut node, "b", 2);
    assert_eq!(
        change(&mut node, Change::Promote(member("b"))),
        refused(RefusalReason::NotApplicable)
    );
    let batch = persist(change(&mut node, add("d"))).unwrap();
    assert_eq!(change(&mut node, add("e")), refused(RefusalReason::ChangePending));
    stored(&mut node, batch);
    assert!(!node.settled());
    acknowledge(&mut node, "b", 3);
    assert!(node.settled());
    let promote = || Change::Promote(member("d"));
    assert_eq!(change(&mut node, promote()), refused(RefusalReason::NotCaughtUp));
    acknowledge(&mut node, "d", 3);
    let batch = persist(change(&mut node, promote())).unwrap();
    stored(&mut node, batch);
    acknowledge(&mut node, "b", 4);
    assert!(!node.settled(), "two of four voters are not a quorum");
    acknowledge(&mut node, "d", 4);
    assert!(node.settled());
}

/// Guards against a newly added member that counts as failed before it can reply, because the time
/// that the leader has led is taken as its time without a reply.
#[test]
fn time_before_a_member_was_added_does_not_count_as_unanswered() {
    let mut node = leader();
    acknowledge(&mut node, "b", 2);
    let late = NOW + Millis(1_000);
    let reply = Message::AppendReply { term: 1, verdict: AppendResult::Matched(2), sent: late };
    node.step(late, Event::Receive(member("b"), reply));
    let change = Change::AddLearner(member("d"));
    node.step(late, Event::ChangeMembers { change, request: 1 });
    let unanswered = |node: &Node, now| {
        let members = node.members(now);
        let learner = members.iter().find(|status| status.member == member("d")).unwrap();
        assert_eq!(learner.since_contact, None);
        learner.unanswered()
    };
    assert_eq!(unanswered(&node, late), Millis::ZERO);
    assert_eq!(unanswered(&node, late + Millis(300)), Millis(300));
}
