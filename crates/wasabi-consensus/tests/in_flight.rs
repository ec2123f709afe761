//! Messages that a leader sends while entries or a snapshot are in flight to a member.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use bytes::Bytes;
use wasabi_consensus::{
    Action, AppendResult, Config, Event, Message, Node, Persist, PersistentState, Position, Role,
};
use wasabi_protocol::{clock::Millis, id};

/// Time at which the node under test is elected.
const ELECTED_AT: Millis = Millis(10_000);

/// Size of an entry that exceeds the backlog limit, in bytes.
const LARGE_ENTRY_BYTES: usize = 1024 * 1024;

const HEARTBEAT_INTERVAL: Millis = Millis(100);

fn member(name: &str) -> id::Member {
    name.into()
}

/// The leader of a group of three, whose writes are durable immediately.
struct Leader {
    node: Node,
    now: Millis,
}

impl Leader {
    /// Returns a leader whose log of two entries is fully replicated to `b`.
    fn elected() -> Self {
        let initial = PersistentState::bootstrap(["a", "b", "c"].map(member));
        let node = Node::new(Config::new(member("a"), 1), initial, Millis::ZERO);
        let mut leader = Self { node, now: ELECTED_AT };
        leader.step(Event::Tick);
        leader.receive("b", Message::PreVoteReply { term: 1, granted: true });
        leader.receive("b", Message::VoteReply { term: 1, granted: true });
        assert_eq!(leader.node.role(), Role::Leader);
        leader.matched("b", 2);
        leader
    }

    /// Handles the event and the resulting writes, and returns the messages sent.
    fn step(&mut self, event: Event) -> Vec<(id::Member, Message)> {
        let mut sent = Vec::new();
        let mut next = Some(event);
        while let Some(event) = next.take() {
            for action in self.node.step(self.now, event) {
                match action {
                    Action::Send(to, message) => sent.push((to, message)),
                    Action::Persist(persist) => next = Some(stored(persist)),
                    _ => {}
                }
            }
        }
        sent
    }

    fn receive(&mut self, from: &str, message: Message) -> Vec<(id::Member, Message)> {
        self.step(Event::Receive(member(from), message))
    }

    fn matched(&mut self, from: &str, index: u64) -> Vec<(id::Member, Message)> {
        let verdict = AppendResult::Matched(index);
        self.receive(from, Message::AppendReply { term: 1, verdict, sent: self.now })
    }

    fn conflict(&mut self, from: &str, index: u64, sent: Millis) -> Vec<(id::Member, Message)> {
        let verdict = AppendResult::Conflict(index);
        self.receive(from, Message::AppendReply { term: 1, verdict, sent })
    }

    fn propose(&mut self, bytes: usize) -> Vec<(id::Member, Message)> {
        self.step(Event::Propose { data: vec![1; bytes].into(), request: 1 })
    }

    /// Advances time by one heartbeat interval and returns the messages sent.
    fn heartbeat(&mut self) -> Vec<(id::Member, Message)> {
        self.now = self.now + HEARTBEAT_INTERVAL;
        self.step(Event::Tick)
    }
}

impl Leader {
    /// Returns the offsets of the chunks that the next heartbeat sends to `c`.
    fn heartbeat_chunks(&mut self) -> Vec<u64> {
        self.matched("b", 3);
        let sent = self.heartbeat();
        let chunks = chunks(&sent);
        let is_first = chunks == [0] && empty_append_indexes(&sent, "c").is_empty();
        assert!(
            is_first || empty_append_indexes(&sent, "c") == [0],
            "no heartbeat was sent besides the chunk: {chunks:?}"
        );
        chunks
    }
}

/// Returns the offsets of the chunks for `c`.
fn chunks(sent: &[(id::Member, Message)]) -> Vec<u64> {
    let offset = |(to, message): &(id::Member, Message)| match message {
        Message::Install { offset, .. } if *to == member("c") => Some(*offset),
        _ => None,
    };
    sent.iter().filter_map(offset).collect()
}

fn stored(persist: Persist) -> Event {
    Event::Persisted(persist.store(|_| Ok::<_, ()>(())).unwrap())
}

/// Returns the index of the preceding entry of each empty append for a member.
fn empty_append_indexes(sent: &[(id::Member, Message)], to: &str) -> Vec<u64> {
    let index = |(receiver, message): &(id::Member, Message)| match message {
        Message::Append { prev, entries, .. } if *receiver == member(to) && entries.is_empty() => {
            Some(prev.index)
        }
        _ => None,
    };
    sent.iter().filter_map(index).collect()
}

/// Returns the number of messages with entries for a member.
fn entry_message_count(sent: &[(id::Member, Message)], to: &str) -> usize {
    let holds = |(receiver, message): &&(id::Member, Message)| {
        let Message::Append { entries, .. } = message else { return false };
        *receiver == member(to) && !entries.is_empty()
    };
    sent.iter().filter(holds).count()
}

/// Guards against resending a large entry with each heartbeat: a heartbeat that refers to the entry
/// and arrives before it would be answered with a conflict.
#[test]
fn a_heartbeat_does_not_refer_to_entries_in_flight() {
    let mut leader = Leader::elected();
    assert_eq!(entry_message_count(&leader.propose(LARGE_ENTRY_BYTES), "b"), 1);
    assert_eq!(
        empty_append_indexes(&leader.heartbeat(), "b"),
        [2, 3],
        "expected a heartbeat and a delivery check"
    );
    assert_eq!(
        empty_append_indexes(&leader.heartbeat(), "b"),
        [2],
        "the delivery check was resent too early"
    );
    let sent = leader.matched("b", 2);
    assert_eq!(entry_message_count(&sent, "b"), 0, "the reply to a heartbeat caused a resend");
    leader.matched("b", 3);
    assert_eq!(empty_append_indexes(&leader.heartbeat(), "b"), [3]);
}

/// Guards against entries that were lost with a connection and are never resent, because heartbeats
/// do not refer to them.
#[test]
fn a_delivery_check_detects_lost_entries() {
    let mut leader = Leader::elected();
    leader.propose(LARGE_ENTRY_BYTES);
    let checked = empty_append_indexes(&leader.heartbeat(), "b");
    assert_eq!(checked, [2, 3]);
    let sent = leader.now;
    let probe = leader.conflict("b", 2, sent);
    assert_eq!(empty_append_indexes(&probe, "b"), [2]);
    let resent = leader.matched("b", 2);
    assert_eq!(entry_message_count(&resent, "b"), 1);
}

/// Guards against a stalled stream after the delivery check itself is lost.
#[test]
fn a_delivery_check_is_resent() {
    let mut leader = Leader::elected();
    leader.propose(LARGE_ENTRY_BYTES);
    let rounds: Vec<_> =
        (0..5).map(|_| empty_append_indexes(&leader.heartbeat(), "b").len()).collect();
    assert_eq!(rounds, [2, 1, 1, 2, 1]);
}

/// Guards against resending a large entry twice. When the first delivery check detects the loss, a
/// second one may be in flight, and its conflict says nothing about the stream started since.
#[test]
fn a_conflict_from_before_the_stream_causes_no_resend() {
    let mut leader = Leader::elected();
    leader.propose(LARGE_ENTRY_BYTES);
    leader.heartbeat();
    let first = leader.now;
    for _ in 0..3 {
        leader.heartbeat();
    }
    let second = leader.now;
    leader.now = leader.now + Millis(10);
    leader.conflict("b", 2, first);
    assert_eq!(entry_message_count(&leader.matched("b", 2), "b"), 1);
    let sent = leader.conflict("b", 2, second);
    assert_eq!(sent, Vec::new());
    let third = leader.now + Millis(10);
    leader.now = third;
    assert_eq!(
        empty_append_indexes(&leader.conflict("b", 2, third), "b"),
        [2],
        "a conflict of the current stream was ignored"
    );
}

/// Guards against filling a slow link with copies of one chunk, and against a member that receives
/// no heartbeats while a chunk is in flight.
#[test]
fn a_chunk_is_resent_after_twice_the_previous_round_trip() {
    let mut leader = Leader::elected();
    leader.propose(LARGE_ENTRY_BYTES);
    leader.matched("b", 3);
    leader.step(Event::Compact { index: 3, data: Bytes::from(vec![1; 256 * 1024]) });
    let sent = leader.now + HEARTBEAT_INTERVAL;
    let first: Vec<_> = (0..5).map(|_| leader.heartbeat_chunks()).collect();
    assert_eq!(first, [vec![0], vec![], vec![], vec![0], vec![]]);
    let last = Position { term: 1, index: 3 };
    let reply = Message::InstallReply { term: 1, last, next: 64 * 1024, sent };
    let sent = leader.receive("c", reply);
    assert_eq!(chunks(&sent), [64 * 1024], "a reply did not trigger the next chunk");
    // The round trip of the first chunk took 400 ms.
    let second: Vec<_> = (0..8).map(|_| leader.heartbeat_chunks()).collect();
    assert_eq!(second, [&vec![vec![]; 7][..], &[vec![64 * 1024]]].concat());
}
