//! What a leader sends while entries or a snapshot are on their way to a member.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use bytes::Bytes;
use wasabi_consensus::{
    Action, Config, Event, Message, Node, Persist, PersistentState, Position, Role, Verdict,
};
use wasabi_protocol::{clock::Millis, id};

/// When the node under test was elected.
const ELECTED: Millis = Millis(10_000);

/// Length of an entry that takes a while on a slow link, in bytes.
const LARGE: usize = 1024 * 1024;

/// Time between two heartbeats.
const HEARTBEAT: Millis = Millis(100);

fn member(name: &str) -> id::Member {
    name.into()
}

/// A leader of three members whose disk writes at once.
struct Leader {
    node: Node,
    now: Millis,
}

impl Leader {
    /// Returns a leader whose member `b` holds its whole log of two entries.
    fn elected() -> Self {
        let founding = PersistentState::bootstrap(["a", "b", "c"].map(member));
        let node = Node::new(Config::new(member("a"), 1), founding, Millis::ZERO);
        let mut leader = Self { node, now: ELECTED };
        leader.step(Event::Tick);
        leader.receive("b", Message::PreVoteReply { term: 1, granted: true });
        leader.receive("b", Message::VoteReply { term: 1, granted: true });
        assert_eq!(leader.node.role(), Role::Leader);
        leader.matched("b", 2);
        leader
    }

    /// Returns the messages for `b` and `c` that the event and the writes after it lead to.
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
        let verdict = Verdict::Matched(index);
        self.receive(from, Message::AppendReply { term: 1, verdict, sent: self.now })
    }

    fn conflict(&mut self, from: &str, index: u64, sent: Millis) -> Vec<(id::Member, Message)> {
        let verdict = Verdict::Conflict(index);
        self.receive(from, Message::AppendReply { term: 1, verdict, sent })
    }

    fn propose(&mut self, bytes: usize) -> Vec<(id::Member, Message)> {
        self.step(Event::Propose { data: vec![1; bytes].into(), request: 1 })
    }

    /// Returns the heartbeats of the next round.
    fn heartbeat(&mut self) -> Vec<(id::Member, Message)> {
        self.now = self.now + HEARTBEAT;
        self.step(Event::Tick)
    }
}

impl Leader {
    /// Returns the offsets of the chunks that the next round of heartbeats sends to `c`.
    fn round(&mut self) -> Vec<u64> {
        self.matched("b", 3);
        let sent = self.heartbeat();
        let chunks = chunks(&sent);
        let is_first = chunks == [0] && rests_on(&sent, "c").is_empty();
        assert!(
            is_first || rests_on(&sent, "c") == [0],
            "a heartbeat beside the chunk: {chunks:?}"
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

/// Returns the entries on which the empty messages for a member rest.
fn rests_on(sent: &[(id::Member, Message)], to: &str) -> Vec<u64> {
    let index = |(receiver, message): &(id::Member, Message)| match message {
        Message::Append { prev, entries, .. } if *receiver == member(to) && entries.is_empty() => {
            Some(prev.index)
        }
        _ => None,
    };
    sent.iter().filter_map(index).collect()
}

/// Returns the number of messages with entries for a member.
fn with_entries(sent: &[(id::Member, Message)], to: &str) -> usize {
    let holds = |(receiver, message): &&(id::Member, Message)| {
        let Message::Append { entries, .. } = message else { return false };
        *receiver == member(to) && !entries.is_empty()
    };
    sent.iter().filter(holds).count()
}

/// Guards against a heartbeat that a member answers with a conflict, since it came before the large
/// entry that is on its way: the entry would be sent again with each heartbeat.
#[test]
fn a_heartbeat_does_not_rest_on_what_is_under_way() {
    let mut leader = Leader::elected();
    assert_eq!(with_entries(&leader.propose(LARGE), "b"), 1);
    assert_eq!(rests_on(&leader.heartbeat(), "b"), [2, 3], "a heartbeat, then a check");
    assert_eq!(rests_on(&leader.heartbeat(), "b"), [2], "the check is on its way");
    let sent = leader.matched("b", 2);
    assert_eq!(with_entries(&sent, "b"), 0, "the answer to a heartbeat sends nothing again");
    leader.matched("b", 3);
    assert_eq!(rests_on(&leader.heartbeat(), "b"), [3]);
}

/// Guards against entries that were lost with a connection and are never sent again, since heartbeats
/// do not rest on them.
#[test]
fn a_check_shows_that_entries_were_lost() {
    let mut leader = Leader::elected();
    leader.propose(LARGE);
    let checked = rests_on(&leader.heartbeat(), "b");
    assert_eq!(checked, [2, 3]);
    let sent = leader.now;
    let probe = leader.conflict("b", 2, sent);
    assert_eq!(rests_on(&probe, "b"), [2]);
    let again = leader.matched("b", 2);
    assert_eq!(with_entries(&again, "b"), 1);
}

/// Guards against a check that is lost itself.
#[test]
fn a_check_is_sent_again() {
    let mut leader = Leader::elected();
    leader.propose(LARGE);
    let rounds: Vec<_> = (0..5).map(|_| rests_on(&leader.heartbeat(), "b").len()).collect();
    assert_eq!(rounds, [2, 1, 1, 2, 1]);
}

/// Guards against a large entry that is sent twice: a second check was on its way when the first one
/// showed the loss, and its conflict tells nothing of the stream that began since.
#[test]
fn a_conflict_from_before_the_stream_sends_nothing_again() {
    let mut leader = Leader::elected();
    leader.propose(LARGE);
    leader.heartbeat();
    let first = leader.now;
    for _ in 0..3 {
        leader.heartbeat();
    }
    let second = leader.now;
    leader.now = leader.now + Millis(10);
    leader.conflict("b", 2, first);
    assert_eq!(with_entries(&leader.matched("b", 2), "b"), 1);
    let sent = leader.conflict("b", 2, second);
    assert_eq!(sent, Vec::new());
    let third = leader.now + Millis(10);
    leader.now = third;
    assert_eq!(rests_on(&leader.conflict("b", 2, third), "b"), [2], "a later one counts");
}

/// Guards against a slow link that is filled with copies of one chunk, and against a member that hears
/// nothing from its leader while a chunk is on its way.
#[test]
fn a_chunk_gets_twice_the_time_of_the_one_before() {
    let mut leader = Leader::elected();
    leader.propose(LARGE);
    leader.matched("b", 3);
    leader.step(Event::Compact { index: 3, data: Bytes::from(vec![1; 256 * 1024]) });
    let sent = leader.now + HEARTBEAT;
    let first: Vec<_> = (0..5).map(|_| leader.round()).collect();
    assert_eq!(first, [vec![0], vec![], vec![], vec![0], vec![]]);
    let last = Position { term: 1, index: 3 };
    let reply = Message::InstallReply { term: 1, last, next: 64 * 1024, sent };
    let sent = leader.receive("c", reply);
    assert_eq!(chunks(&sent), [64 * 1024], "the next chunk follows an answer");
    // The first one took 400 ms.
    let second: Vec<_> = (0..8).map(|_| leader.round()).collect();
    assert_eq!(second, [&vec![vec![]; 7][..], &[vec![64 * 1024]]].concat());
}
