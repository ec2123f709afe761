//! Measures what a group of three costs in memory: proposals per second through three nodes with
//! messages that take no time and disks that finish once no message is left, by the number of
//! proposals that arrive together.

use std::{
    collections::{BTreeMap, VecDeque},
    thread,
    time::{Duration, Instant},
};

use wasabi_consensus::{Action, Config, Event, Message, Node, Persist, PersistentState, Role};
use wasabi_protocol::{clock::Millis, id};

/// Time that each measurement runs.
const RUN: Duration = Duration::from_secs(2);

const PAYLOAD_BYTES: usize = 200;

/// Entries after which each member compacts its log.
const COMPACT_EVERY: u64 = 10_000;

struct Group {
    nodes: BTreeMap<id::Member, Node>,
    queue: VecDeque<(id::Member, id::Member, Message)>,
    writing: VecDeque<(id::Member, Persist)>,
    now: Millis,
    committed: u64,
    messages: u64,
    batches: u64,
}

fn main() {
    println!("cores: {:?}, payload: {PAYLOAD_BYTES} B", thread::available_parallelism());
    println!("together, proposals/s, messages per proposal, batches per proposal");
    for together in [1, 8, 64, 512] {
        let mut group = Group::new();
        let leader = group.elect();
        let (messages, batches) = (group.messages, group.batches);
        let start = Instant::now();
        let mut proposals = 0;
        while start.elapsed() < RUN {
            for request in 0..together {
                let data = vec![7; PAYLOAD_BYTES].into();
                group.step(&leader, Event::Propose { data, request });
            }
            group.drain();
            proposals += together;
            group.compact();
        }
        let each = proposals as f64;
        println!(
            "{together}, {:.0}, {:.3}, {:.3}",
            each / start.elapsed().as_secs_f64(),
            (group.messages - messages) as f64 / each,
            (group.batches - batches) as f64 / each,
        );
    }
}

impl Group {
    fn new() -> Self {
        let ids = ["a", "b", "c"].map(id::Member::from);
        let founding = PersistentState::bootstrap(ids.clone());
        let node = |(seed, id): (u64, id::Member)| {
            let config = Config::new(id.clone(), seed);
            (id, Node::new(config, founding.clone(), Millis::ZERO))
        };
        Self {
            nodes: (0..).zip(ids).map(node).collect(),
            queue: VecDeque::new(),
            writing: VecDeque::new(),
            now: Millis::ZERO,
            committed: 0,
            messages: 0,
            batches: 0,
        }
    }

    fn elect(&mut self) -> id::Member {
        loop {
            self.now = self.now + Millis(20);
            let ids: Vec<_> = self.nodes.keys().cloned().collect();
            ids.iter().for_each(|id| self.step(id, Event::Tick));
            self.drain();
            let leader = self.nodes.iter().find(|(_, node)| node.role() == Role::Leader);
            if let Some((id, _)) = leader.filter(|(_, node)| node.can_read(self.now)) {
                return id.clone();
            }
        }
    }

    fn compact(&mut self) {
        let due = |(id, node): (&id::Member, &Node)| {
            let index = node.applied_index();
            (COMPACT_EVERY <= index % (2 * COMPACT_EVERY)).then(|| (id.clone(), index))
        };
        let due: Vec<_> = self.nodes.iter().filter_map(due).collect();
        for (id, index) in due {
            // At the half of each round only; a repetition at the same index does nothing.
            let index = index / COMPACT_EVERY * COMPACT_EVERY;
            self.step(&id, Event::Compact { index, data: vec![1].into() });
        }
    }

    fn drain(&mut self) {
        loop {
            while let Some((from, to, message)) = self.queue.pop_front() {
                self.messages += 1;
                self.step(&to, Event::Receive(from, message));
            }
            let Some((id, persist)) = self.writing.pop_front() else { return };
            self.batches += 1;
            if let Ok(persisted) = persist.store(|_| Ok::<_, ()>(())) {
                self.step(&id, Event::Persisted(persisted));
            }
        }
    }

    fn step(&mut self, id: &id::Member, event: Event) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        for action in node.step(self.now, event) {
            match action {
                Action::Send(to, message) => self.queue.push_back((id.clone(), to, message)),
                Action::Persist(persist) => self.writing.push_back((id.clone(), persist)),
                Action::Commit(entries) => self.committed += entries.len() as u64,
                _ => {}
            }
        }
    }
}
