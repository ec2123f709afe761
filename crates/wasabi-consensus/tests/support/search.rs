//! Breadth-first search over elections, replication and restarts of three members.

use std::{
    collections::{HashSet, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use wasabi_consensus::{Action, Config, Entry, Event, Message, Node, PersistentState, Role, Rules};
use wasabi_protocol::{clock::Millis, id};

use super::{
    replica::Disk,
    sim::{Broken, name},
};

const SIZE: usize = 3;

const ORDERS: [[usize; SIZE]; 6] =
    [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];

/// Longer than any timeout, so that the times in a node never matter to a later step.
const JUMP: Millis = Millis(10_000);

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub terms: u64,
    pub proposals: u64,
    pub states: usize,
}

/// What a search found.
#[derive(Debug)]
pub struct Found {
    pub states: usize,
    /// Whether every state within the bounds was visited.
    pub complete: bool,
    pub broken: Option<(Broken, Vec<Step>)>,
    pub took: Duration,
}

/// An atomic action.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// A member times out and exchanges messages with the members in the mask. The replies to its
    /// request for votes are lost on demand.
    Campaign { at: usize, voters: usize, replies_lost: bool },
    /// A leader takes a proposal.
    Propose(usize),
    /// A leader sends one entry; the reply is lost on demand.
    Append { from: usize, to: usize, reply_lost: bool },
    /// A member restarts from its disk.
    Restart(usize),
}

#[derive(Clone)]
struct Member {
    node: Node,
    disk: Disk,
    clock: Millis,
}

#[derive(Clone)]
struct World {
    members: Vec<Member>,
    chosen: Vec<Entry>,
    proposals: u64,
}

/// Visits all states within the bounds until an invariant breaks.
pub fn search(rules: Rules, bounds: Bounds) -> Found {
    let start = Instant::now();
    let world = World::new(rules);
    let mut seen = HashSet::from([world.key()]);
    // Parent and step of each state, for the trace to a broken invariant.
    let mut parents = vec![(0_usize, Step::Restart(0))];
    let mut queue = VecDeque::from([(0_usize, world)]);
    let mut complete = true;
    let mut broken = None;
    'search: while let Some((number, world)) = queue.pop_front() {
        for step in world.steps(bounds) {
            let mut next = world.clone();
            let result = next.take(step, rules);
            if result.is_ok() && !seen.insert(next.key()) {
                continue;
            }
            parents.push((number, step));
            if let Err(reason) = result {
                broken = Some((reason, trace(&parents, parents.len() - 1)));
                break 'search;
            }
            if seen.len() < bounds.states {
                queue.push_back((parents.len() - 1, next));
            } else {
                complete = false;
            }
        }
    }
    let complete = complete && broken.is_none();
    Found { states: seen.len(), complete, broken, took: start.elapsed() }
}

fn trace(parents: &[(usize, Step)], mut at: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    while at != 0 {
        steps.push(parents[at].1);
        at = parents[at].0;
    }
    steps.reverse();
    steps
}

impl World {
    fn new(rules: Rules) -> Self {
        let disk = Disk(PersistentState::bootstrap((0..SIZE).map(name)));
        let member = |at| {
            let (disk, clock) = (disk.clone(), JUMP);
            Member { node: start(at, &disk, clock, rules), disk, clock }
        };
        Self { members: (0..SIZE).map(member).collect(), chosen: Vec::new(), proposals: 0 }
    }

    /// Returns a digest that is equal for worlds that differ only in the names of the members.
    fn key(&self) -> u128 {
        let views: Vec<_> = self.members.iter().map(|member| member.node.inspect()).collect();
        let digest = |order: &[usize; SIZE]| {
            let renamed = |member: &id::Member| order.iter().position(|at| *at == place(member));
            let mut code: Vec<(u64, Option<usize>, Role, u64)> = Vec::new();
            let mut entries = Vec::new();
            for view in order.iter().map(|at| &views[*at]) {
                let voted_for = view.vote.voted_for.as_ref().and_then(renamed);
                code.push((view.vote.term, voted_for, view.role, view.commit));
                let mut matched: Vec<_> =
                    view.matched.iter().map(|(id, index)| (renamed(id), *index)).collect();
                matched.sort_unstable();
                entries.push((matched, &view.entries));
            }
            let half = |salt: u8| {
                let mut hasher = DefaultHasher::new();
                (salt, &code, &entries, &self.chosen, self.proposals).hash(&mut hasher);
                hasher.finish()
            };
            u128::from(half(0)) << 64 | u128::from(half(1))
        };
        ORDERS.iter().map(digest).min().unwrap()
    }

    fn steps(&self, bounds: Bounds) -> Vec<Step> {
        let mut steps = Vec::new();
        for at in 0..SIZE {
            let node = &self.members[at].node;
            let leads = node.role() == Role::Leader;
            steps.push(Step::Restart(at));
            if leads && self.proposals < bounds.proposals {
                steps.push(Step::Propose(at));
            }
            for voters in (1..1 << SIZE).filter(|mask| mask & (1 << at) == 0) {
                if !leads && node.term() < bounds.terms {
                    for replies_lost in [false, true] {
                        steps.push(Step::Campaign { at, voters, replies_lost });
                    }
                }
            }
            for to in (0..SIZE).filter(|to| leads && *to != at) {
                for reply_lost in [false, true] {
                    steps.push(Step::Append { from: at, to, reply_lost });
                }
            }
        }
        steps
    }

    fn take(&mut self, step: Step, rules: Rules) -> Result<(), Broken> {
        match step {
            Step::Campaign { at, voters, replies_lost } => {
                for member in (0..SIZE).filter(|other| *other == at || voters & (1 << other) != 0) {
                    self.members[member].clock = self.members[member].clock + JUMP;
                }
                let sent = self.step(at, Event::Tick)?;
                let lost = |message: &Message| {
                    replies_lost && matches!(message, Message::VoteReply { .. })
                };
                self.exchange(at, sent, |to| voters & (1 << to) != 0, lost)?;
            }
            Step::Propose(at) => {
                self.proposals += 1;
                let data = vec![self.proposals as u8].into();
                self.step(at, Event::Propose { data, request: 0 })?;
            }
            Step::Append { from, to, reply_lost } => self.append(from, to, reply_lost)?,
            Step::Restart(at) => {
                let Member { disk, clock, .. } = &self.members[at];
                self.members[at].node = start(at, disk, *clock, rules);
            }
        }
        self.check()
    }

    /// Delivers messages between a member and those that `reaches` names until none is left.
    fn exchange(
        &mut self,
        at: usize,
        sent: Vec<(usize, Message)>,
        reaches: impl Fn(usize) -> bool,
        lost: impl Fn(&Message) -> bool,
    ) -> Result<(), Broken> {
        let mut queue = VecDeque::from(sent);
        while let Some((to, message)) = queue.pop_front() {
            // The election ends with the votes; what the new leader sends is a step of its own.
            if !reaches(to) || matches!(message, Message::Append { .. }) {
                continue;
            }
            for (back, reply) in self.step(to, Event::Receive(name(at), message))? {
                if back == at && !lost(&reply) {
                    queue.extend(self.step(at, Event::Receive(name(to), reply))?);
                }
            }
        }
        Ok(())
    }

    /// Delivers heartbeats until the logs are known to match, and then one entry.
    fn append(&mut self, from: usize, to: usize, reply_lost: bool) -> Result<(), Broken> {
        self.members[from].clock = self.members[from].clock + Millis(100);
        let mut queue = VecDeque::from(self.step(from, Event::Tick)?);
        while let Some((target, message)) = queue.pop_front() {
            if target != to {
                continue;
            }
            let is_entry =
                matches!(&message, Message::Append { entries, .. } if !entries.is_empty());
            for (back, reply) in self.step(to, Event::Receive(name(from), message))? {
                if back == from && !(is_entry && reply_lost) {
                    queue.extend(self.step(from, Event::Receive(name(to), reply))?);
                }
            }
            if is_entry {
                break;
            }
        }
        Ok(())
    }

    /// Steps one member, with a disk that stores at once, and returns what it sends.
    fn step(&mut self, at: usize, event: Event) -> Result<Vec<(usize, Message)>, Broken> {
        let Member { node, disk, clock } = &mut self.members[at];
        let mut sent = Vec::new();
        let mut actions = VecDeque::from(node.step(*clock, event));
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Send(to, message) => sent.push((place(&to), message)),
                Action::Persist(persist) => {
                    let persisted = persist.store(|batch| {
                        disk.write(batch);
                        Ok::<_, Broken>(())
                    })?;
                    actions.extend(node.step(*clock, Event::Persisted(persisted)));
                }
                Action::Halt(reason) => return Err(reason.to_owned()),
                _ => {}
            }
        }
        Ok(sent)
    }

    /// Checks that each index has one value, and that each leader of the highest term holds all
    /// values.
    fn check(&mut self) -> Result<(), Broken> {
        let views: Vec<_> = self.members.iter().map(|member| member.node.inspect()).collect();
        for view in &views {
            for entry in view.entries.iter().filter(|entry| entry.index <= view.commit) {
                match self.chosen.iter().find(|chosen| chosen.index == entry.index) {
                    Some(chosen) if chosen != entry => {
                        return Err(format!("index {} gets a second value", entry.index));
                    }
                    Some(_) => {}
                    None => self.chosen.push(entry.clone()),
                }
            }
        }
        let newest = views.iter().map(|view| view.vote.term).max();
        for view in views.iter().filter(|view| view.role == Role::Leader) {
            let lacks = |chosen: &&Entry| !view.entries.contains(chosen);
            if Some(view.vote.term) == newest && self.chosen.iter().any(|entry| lacks(&entry)) {
                return Err(format!("the leader of term {} lacks a value", view.vote.term));
            }
        }
        Ok(())
    }
}

fn start(at: usize, disk: &Disk, clock: Millis, rules: Rules) -> Node {
    let config = Config { entries_max: 1, ..Config::new(name(at), at as u64) };
    Node::with_rules(config, disk.0.clone(), clock, rules)
}

fn place(member: &id::Member) -> usize {
    (0..SIZE).find(|at| name(*at) == *member).unwrap()
}
