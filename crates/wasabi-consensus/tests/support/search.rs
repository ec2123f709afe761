//! Breadth-first state-space search over elections, replication and restarts of three members.

use std::{
    collections::{HashSet, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use wasabi_consensus::{Action, Config, Entry, Event, Message, Node, PersistentState, Role, Rules};
use wasabi_protocol::{clock::Millis, id};

use super::{
    replica::Disk,
    sim::{Violation, member_id},
};

const MEMBER_COUNT: usize = 3;

const PERMUTATIONS: [[usize; MEMBER_COUNT]; 6] =
    [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];

/// Clock advance longer than any timeout, so that times stored in a node do not affect later steps.
const CLOCK_JUMP: Millis = Millis(10_000);

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub terms: u64,
    pub proposals: u64,
    pub states: usize,
}

/// The outcome of a search.
#[derive(Debug)]
pub struct SearchOutcome {
    pub states: usize,
    /// Whether every state within the bounds was visited.
    pub complete: bool,
    pub violation: Option<(Violation, Vec<Step>)>,
    pub elapsed: Duration,
}

/// An atomic action.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// A member times out and exchanges messages with the members in the mask. The replies to its
    /// vote requests are lost if `replies_lost` is set.
    Campaign { at: usize, voters: usize, replies_lost: bool },
    /// A leader accepts a proposal.
    Propose(usize),
    /// A leader sends one entry. The reply is lost if `reply_lost` is set.
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
struct Cluster {
    members: Vec<Member>,
    committed: Vec<Entry>,
    proposals: u64,
}

/// Visits all states within the bounds until one violates an invariant.
pub fn search(rules: Rules, bounds: Bounds) -> SearchOutcome {
    let start = Instant::now();
    let cluster = Cluster::new(rules);
    let mut visited = HashSet::from([cluster.canonical_digest()]);
    // Parent and step of each state, from which the trace to a violation is built.
    let mut parents = vec![(0_usize, Step::Restart(0))];
    let mut queue = VecDeque::from([(0_usize, cluster)]);
    let mut complete = true;
    let mut violation = None;
    'search: while let Some((number, cluster)) = queue.pop_front() {
        for step in cluster.steps(bounds) {
            let mut next = cluster.clone();
            let result = next.apply(step, rules);
            if result.is_ok() && !visited.insert(next.canonical_digest()) {
                continue;
            }
            parents.push((number, step));
            if let Err(reason) = result {
                violation = Some((reason, trace(&parents, parents.len() - 1)));
                break 'search;
            }
            if visited.len() < bounds.states {
                queue.push_back((parents.len() - 1, next));
            } else {
                complete = false;
            }
        }
    }
    let complete = complete && violation.is_none();
    SearchOutcome { states: visited.len(), complete, violation, elapsed: start.elapsed() }
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

impl Cluster {
    fn new(rules: Rules) -> Self {
        let disk = Disk(PersistentState::bootstrap((0..MEMBER_COUNT).map(member_id)));
        let member = |at| {
            let (disk, clock) = (disk.clone(), CLOCK_JUMP);
            Member { node: start(at, &disk, clock, rules), disk, clock }
        };
        Self {
            members: (0..MEMBER_COUNT).map(member).collect(),
            committed: Vec::new(),
            proposals: 0,
        }
    }

    /// Returns a digest that is equal for clusters that differ only by a permutation of the
    /// members.
    fn canonical_digest(&self) -> u128 {
        let views: Vec<_> = self.members.iter().map(|member| member.node.inspect()).collect();
        let digest = |order: &[usize; MEMBER_COUNT]| {
            let renamed =
                |member: &id::Member| order.iter().position(|at| *at == member_index(member));
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
                (salt, &code, &entries, &self.committed, self.proposals).hash(&mut hasher);
                hasher.finish()
            };
            u128::from(half(0)) << 64 | u128::from(half(1))
        };
        PERMUTATIONS.iter().map(digest).min().unwrap()
    }

    fn steps(&self, bounds: Bounds) -> Vec<Step> {
        let mut steps = Vec::new();
        for at in 0..MEMBER_COUNT {
            let node = &self.members[at].node;
            let leads = node.role() == Role::Leader;
            steps.push(Step::Restart(at));
            if leads && self.proposals < bounds.proposals {
                steps.push(Step::Propose(at));
            }
            for voters in (1..1 << MEMBER_COUNT).filter(|mask| mask & (1 << at) == 0) {
                if !leads && node.term() < bounds.terms {
                    for replies_lost in [false, true] {
                        steps.push(Step::Campaign { at, voters, replies_lost });
                    }
                }
            }
            for to in (0..MEMBER_COUNT).filter(|to| leads && *to != at) {
                for reply_lost in [false, true] {
                    steps.push(Step::Append { from: at, to, reply_lost });
                }
            }
        }
        steps
    }

    fn apply(&mut self, step: Step, rules: Rules) -> Result<(), Violation> {
        match step {
            Step::Campaign { at, voters, replies_lost } => {
                for member in
                    (0..MEMBER_COUNT).filter(|other| *other == at || voters & (1 << other) != 0)
                {
                    self.members[member].clock = self.members[member].clock + CLOCK_JUMP;
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

    /// Delivers messages between a member and those that `reaches` accepts until none is left.
    fn exchange(
        &mut self,
        at: usize,
        sent: Vec<(usize, Message)>,
        reaches: impl Fn(usize) -> bool,
        lost: impl Fn(&Message) -> bool,
    ) -> Result<(), Violation> {
        let mut queue = VecDeque::from(sent);
        while let Some((to, message)) = queue.pop_front() {
            // The step ends with the votes; appends of the new leader are separate steps.
            if !reaches(to) || matches!(message, Message::Append { .. }) {
                continue;
            }
            for (back, reply) in self.step(to, Event::Receive(member_id(at), message))? {
                if back == at && !lost(&reply) {
                    queue.extend(self.step(at, Event::Receive(member_id(to), reply))?);
                }
            }
        }
        Ok(())
    }

    /// Delivers heartbeats until the last matching entry is known, and then one entry.
    fn append(&mut self, from: usize, to: usize, reply_lost: bool) -> Result<(), Violation> {
        self.members[from].clock = self.members[from].clock + Millis(100);
        let mut queue = VecDeque::from(self.step(from, Event::Tick)?);
        while let Some((target, message)) = queue.pop_front() {
            if target != to {
                continue;
            }
            let is_entry =
                matches!(&message, Message::Append { entries, .. } if !entries.is_empty());
            for (back, reply) in self.step(to, Event::Receive(member_id(from), message))? {
                if back == from && !(is_entry && reply_lost) {
                    queue.extend(self.step(from, Event::Receive(member_id(to), reply))?);
                }
            }
            if is_entry {
                break;
            }
        }
        Ok(())
    }

    /// Handles an event at one member, persisting immediately, and returns the messages sent.
    fn step(&mut self, at: usize, event: Event) -> Result<Vec<(usize, Message)>, Violation> {
        let Member { node, disk, clock } = &mut self.members[at];
        let mut sent = Vec::new();
        let mut actions = VecDeque::from(node.step(*clock, event));
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Send(to, message) => sent.push((member_index(&to), message)),
                Action::Persist(persist) => {
                    let persisted = persist.store(|batch| {
                        disk.write(batch);
                        Ok::<_, Violation>(())
                    })?;
                    actions.extend(node.step(*clock, Event::Persisted(persisted)));
                }
                Action::Halt(reason) => return Err(reason.to_owned()),
                _ => {}
            }
        }
        Ok(sent)
    }

    /// Checks that one value is committed per index, and that each leader of the highest term has
    /// all committed values.
    fn check(&mut self) -> Result<(), Violation> {
        let views: Vec<_> = self.members.iter().map(|member| member.node.inspect()).collect();
        for view in &views {
            for entry in view.entries.iter().filter(|entry| entry.index <= view.commit) {
                match self.committed.iter().find(|committed| committed.index == entry.index) {
                    Some(committed) if committed != entry => {
                        return Err(format!(
                            "a second value is committed at index {}",
                            entry.index
                        ));
                    }
                    Some(_) => {}
                    None => self.committed.push(entry.clone()),
                }
            }
        }
        let newest = views.iter().map(|view| view.vote.term).max();
        for view in views.iter().filter(|view| view.role == Role::Leader) {
            let lacks = |committed: &&Entry| !view.entries.contains(committed);
            if Some(view.vote.term) == newest && self.committed.iter().any(|entry| lacks(&entry)) {
                return Err(format!(
                    "the leader of term {} lacks a committed value",
                    view.vote.term
                ));
            }
        }
        Ok(())
    }
}

fn start(at: usize, disk: &Disk, clock: Millis, rules: Rules) -> Node {
    let config = Config { message_entries_max: 1, ..Config::new(member_id(at), at as u64) };
    Node::with_rules(config, disk.0.clone(), clock, rules)
}

fn member_index(member: &id::Member) -> usize {
    (0..MEMBER_COUNT).find(|at| member_id(*at) == *member).unwrap()
}
