//! Measures the CPU cost of consensus in a group of three nodes: proposals per second, by the
//! number of proposals that arrive together. Messages are delivered without delay, and a disk write
//! completes once no message is queued.

use std::{
    collections::{BTreeMap, VecDeque},
    thread,
    time::{Duration, Instant},
};

use wasabi_consensus::{Action, Config, Event, Message, Node, Persist, PersistentState, Role};
use wasabi_protocol::{clock::Millis, id};

/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(2);

const PAYLOAD_BYTES: usize = 200;

/// Number of entries after which each member compacts its log.
const COMPACT_EVERY: u64 = 10_000;

struct Group {
    nodes: BTreeMap<id::Member, Node>,
    queue: VecDeque<(id::Member, id::Member, Message)>,
    writing: VecDeque<(id::Member, Persist)>,
    now: Millis,
    committed: u64,
    messages: u64,
    writes: u64,
}

fn main() {
    println!("cores: {:?}, payload: {PAYLOAD_BYTES} B", thread::available_parallelism());
    println!("batch, proposals/s, messages per proposal, writes per proposal");
    for batch in [1, 8, 64, 512] {
        let mut group = Group::new();
        let leader = group.elect();
        let (messages, writes) = (group.messages, group.writes);
        let start = Instant::now();
        let mut proposals = 0;
        while start.elapsed() < MEASUREMENT_DURATION {
            for request in 0..batch {
                let data = vec![7; PAYLOAD_BYTES].into();
                group.step(&leader, Event::Propose { data, request });
            }
            group.drain();
            proposals += batch;
            group.compact();
        }
        let proposals = proposals as f64;
        println!(
            "{batch}, {:.0}, {:.3}, {:.3}",
            proposals / start.elapsed().as_secs_f64(),
            (group.messages - messages) as f64 / proposals,
            (group.writes - writes) as f64 / proposals,
        );
    }
}

impl Group {
    fn new() -> Self {
        let ids = ["a", "b", "c"].map(id::Member::from);
        let initial = PersistentState::bootstrap(ids.clone());
        let node = |(seed, id): (u64, id::Member)| {
            let config = Config::new(id.clone(), seed);
            (id, Node::new(config, initial.clone(), Millis::ZERO))
        };
        Self {
            nodes: (0..).zip(ids).map(node).collect(),
            queue: VecDeque::new(),
            writing: VecDeque::new(),
            now: Millis::ZERO,
            committed: 0,
            messages: 0,
            writes: 0,
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
            // Rounded down to a multiple of the interval; compacting again at the same index has no
            // effect.
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
            self.writes += 1;
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
