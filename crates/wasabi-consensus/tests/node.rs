//! What a single node hands out, and when.
#![allow(clippy::unwrap_used, missing_docs)]

use wasabi_consensus::{
    Action, Change, Config, Entry, Event, Message, Node, Persist, PersistentState, Position,
    RefusalReason, Role, Verdict,
};
use wasabi_protocol::{clock::Millis, id};

const LATER: Millis = Millis(10_000);

fn member(name: &str) -> id::Member {
    name.into()
}

fn node(voters: &[&str]) -> Node {
    let founding = PersistentState::bootstrap(voters.iter().map(|name| member(name)));
    Node::new(Config::new(member("a"), 1), founding, Millis::ZERO)
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
    node.step(LATER, Event::Persisted(persisted))
}

/// Returns a node that leads a group of three and has nothing to persist.
fn leader() -> Node {
    let mut node = node(&["a", "b", "c"]);
    node.step(LATER, Event::Tick);
    let promise = Message::PreVoteReply { term: 1, granted: true };
    let actions = node.step(LATER, Event::Receive(member("b"), promise));
    assert_eq!(sends(&actions), Vec::<&Message>::new(), "a vote request waits for the sync");
    let actions = stored(&mut node, persist(actions).unwrap());
    assert_eq!(sends(&actions).len(), 2);
    let vote = Message::VoteReply { term: 1, granted: true };
    let actions = node.step(LATER, Event::Receive(member("b"), vote));
    assert_eq!(node.role(), Role::Leader);
    stored(&mut node, persist(actions).unwrap());
    node
}

/// Guards against an answer that promises what a crash can still take away.
#[test]
fn an_answer_waits_for_the_sync() {
    let mut node = node(&["a", "b", "c"]);
    let prev = Position { term: 0, index: 1 };
    let entry =
        wasabi_consensus::Entry { term: 3, index: 2, data: wasabi_consensus::Payload::Empty };
    let message =
        Message::Append { term: 3, prev, entries: vec![entry], commit: 1, sent: Millis(7) };
    let actions = node.step(LATER, Event::Receive(member("b"), message.clone()));
    assert!(sends(&actions).is_empty());
    let batch = persist(actions).unwrap();
    assert_eq!(batch.batch().vote.as_ref().unwrap().term, 3);
    assert_eq!(batch.batch().entries.len(), 1);
    // A repetition changes nothing on disk, but its answer says the same and waits as well.
    let again = node.step(LATER, Event::Receive(member("b"), message));
    assert!(again.is_empty());
    let actions = stored(&mut node, batch);
    let answer = Message::AppendReply { term: 3, verdict: Verdict::Matched(2), sent: Millis(7) };
    assert_eq!(sends(&actions), [&answer, &answer]);
}

/// Guards against one sync for each proposal.
#[test]
fn proposals_that_arrive_during_a_sync_share_the_next_one() {
    let mut node = leader();
    let propose = |node: &mut Node, request| {
        node.step(LATER, Event::Propose { data: vec![1].into(), request })
    };
    let first = persist(propose(&mut node, 0)).unwrap();
    for request in 1..100 {
        assert_eq!(persist(propose(&mut node, request)), None);
    }
    let actions = stored(&mut node, first);
    assert_eq!(persist(actions).unwrap().batch().entries.len(), 99);
}

/// Guards against probes that multiply when a network doubles answers that bring no news.
#[test]
fn a_repeated_conflict_gets_one_probe() {
    let mut node = leader();
    let conflict = Message::AppendReply { term: 1, verdict: Verdict::Conflict(0), sent: LATER };
    let mut probes = 0;
    for _ in 0..20 {
        let actions = node.step(LATER, Event::Receive(member("b"), conflict.clone()));
        probes += sends(&actions).len();
    }
    assert_eq!(probes, 1);
}

/// Returns the bytes of entries that the messages to a member hold.
fn bytes_to(actions: &[Action], to: &str) -> usize {
    let bytes = |action: &Action| match action {
        Action::Send(receiver, Message::Append { entries, .. }) if *receiver == member(to) => {
            entries.iter().map(Entry::size).sum()
        }
        _ => 0,
    };
    actions.iter().map(bytes).sum()
}

/// Guards against a member that is sent all that it lacks at once: the messages that wait for its
/// answers then fit neither its link nor the memory of the leader.
#[test]
fn bytes_ahead_of_the_answers_are_bounded() {
    const ENTRY_BYTES: usize = 256 * 1_024;
    const ENTRIES: u64 = 40;
    const AHEAD_BYTES_MAX: usize = 1_024 * 1_024;
    let most = AHEAD_BYTES_MAX + ENTRY_BYTES + 1_024;
    let mut node = leader();
    answer(&mut node, "b", 2);
    let mut sent = 0;
    for request in 0..ENTRIES {
        let data = vec![1; ENTRY_BYTES].into();
        let actions = node.step(LATER, Event::Propose { data, request });
        sent += bytes_to(&actions, "b");
        let actions = stored(&mut node, persist(actions).unwrap());
        sent += bytes_to(&actions, "b");
    }
    assert!(ENTRY_BYTES < sent && sent <= most, "{sent} bytes without an answer");
    let mut matched = 2;
    while matched < 2 + ENTRIES {
        matched += 1;
        let actions = answer(&mut node, "b", matched);
        sent += bytes_to(&actions, "b");
        let open = sent - (matched as usize - 2) * ENTRY_BYTES;
        assert!(open <= most, "{open} bytes without an answer at {matched}");
    }
    assert!(ENTRIES as usize * ENTRY_BYTES <= sent, "the member got all entries");
}

/// Guards against a group of one that waits for others.
#[test]
fn a_single_member_commits_alone() {
    let mut node = node(&["a"]);
    let actions = node.step(LATER, Event::Tick);
    let actions = stored(&mut node, persist(actions).unwrap());
    assert_eq!(node.role(), Role::Leader);
    stored(&mut node, persist(actions).unwrap());
    assert!(node.can_read(LATER) && node.settled());
    assert_eq!(node.commit_index(), 2);
}

fn change(node: &mut Node, change: Change) -> Vec<Action> {
    node.step(LATER, Event::ChangeMembers { change, request: 9 })
}

fn answer(node: &mut Node, from: &str, index: u64) -> Vec<Action> {
    let verdict = Verdict::Matched(index);
    let message = Message::AppendReply { term: 1, verdict, sent: LATER };
    node.step(LATER, Event::Receive(member(from), message))
}

/// Guards against changes whose quorums do not overlap, and against a voter that holds too little
/// to form a quorum when another one is lost.
#[test]
fn a_membership_change_waits_for_what_it_rests_on() {
    let mut node = leader();
    let refused = |reason| vec![Action::Refuse { request: 9, reason }];
    let add = |name| Change::AddLearner(member(name));
    assert_eq!(change(&mut node, add("d")), refused(RefusalReason::TermNotCommitted));
    answer(&mut node, "b", 2);
    assert_eq!(
        change(&mut node, Change::Promote(member("b"))),
        refused(RefusalReason::NotApplicable)
    );
    let batch = persist(change(&mut node, add("d"))).unwrap();
    assert_eq!(change(&mut node, add("e")), refused(RefusalReason::ChangePending));
    stored(&mut node, batch);
    assert!(!node.settled());
    answer(&mut node, "b", 3);
    assert!(node.settled());
    let promote = || Change::Promote(member("d"));
    assert_eq!(change(&mut node, promote()), refused(RefusalReason::NotCaughtUp));
    answer(&mut node, "d", 3);
    let batch = persist(change(&mut node, promote())).unwrap();
    stored(&mut node, batch);
    answer(&mut node, "b", 4);
    assert!(!node.settled(), "two of four voters are no quorum");
    answer(&mut node, "d", 4);
    assert!(node.settled());
}

/// Guards against a member that is taken for one that is gone before it could answer at all, since
/// the leader has led for long.
#[test]
fn a_member_that_was_just_added_has_not_been_silent_before() {
    let mut node = leader();
    answer(&mut node, "b", 2);
    let late = LATER + Millis(1_000);
    let reply = Message::AppendReply { term: 1, verdict: Verdict::Matched(2), sent: late };
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
