//! The network, the operator, and the invariants.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use wasabi_consensus::{
    Action, Change, Config, Event, Membership, Message, PersistentState, Position, Role, Rules,
};
use wasabi_protocol::id;

use super::replica::{Disk, Replica};

/// A broken invariant.
pub type Broken = String;

#[derive(Debug)]
enum Due {
    Tick(usize, u64),
    Deliver(usize, usize, Message),
    Stored(usize, u64),
}

/// A group of members and everything around it.
pub struct Sim {
    pub now: u64,
    pub replicas: Vec<Replica>,
    pub cuts: BTreeSet<(usize, usize)>,
    /// Lost and doubled messages, in thousandths.
    pub loss: u64,
    pub doubled: u64,
    /// Longest delay of a message and of a sync, in milliseconds.
    pub delay: u64,
    pub sync_delay: u64,
    /// The member whose disk was lost and the one that takes its place.
    pub repair: Option<(usize, usize)>,
    pub repairs: u64,
    /// Whether a wiped host keeps its id, against the rule.
    pub keep_id: bool,
    pub rng: fastrand::Rng,
    pub acknowledged: u64,
    pub terms: BTreeSet<u64>,
    rules: Rules,
    settings: fn(&mut Config),
    queue: BTreeMap<(u64, u64), Due>,
    sequence: u64,
    requests: u64,
    chosen: BTreeMap<u64, (Position, u64)>,
    max_acknowledged: u64,
}

impl Sim {
    pub fn new(size: usize, seed: u64, rules: Rules) -> Self {
        Self::with_settings(size, seed, rules, |_| {})
    }

    pub fn with_settings(size: usize, seed: u64, rules: Rules, settings: fn(&mut Config)) -> Self {
        let ids: Vec<_> = (0..size).map(name).collect();
        let disk = Disk(PersistentState::bootstrap(ids.iter().cloned()));
        let replicas = ids.into_iter().map(|id| Replica::new(id, disk.clone())).collect();
        let mut sim = Self {
            now: 0,
            replicas,
            cuts: BTreeSet::new(),
            loss: 0,
            doubled: 0,
            delay: 5,
            sync_delay: 4,
            repair: None,
            repairs: 0,
            keep_id: false,
            rng: fastrand::Rng::with_seed(seed),
            acknowledged: 0,
            terms: BTreeSet::new(),
            rules,
            settings,
            queue: BTreeMap::new(),
            sequence: 0,
            requests: 0,
            chosen: BTreeMap::new(),
            max_acknowledged: 0,
        };
        (0..size).for_each(|at| sim.start(at));
        sim
    }

    pub fn start(&mut self, at: usize) {
        if self.replicas[at].node.is_some() {
            return;
        }
        let (seed, rules, settings) = (self.rng.u64(..), self.rules, self.settings);
        self.replicas[at].start(self.now, seed, rules, settings);
        let life = self.replicas[at].life;
        self.push(0, Due::Tick(at, life));
    }

    /// Ends the process. A batch being written is lost or not, by chance.
    pub fn crash(&mut self, at: usize) {
        let replica = &mut self.replicas[at];
        if let Some(persist) = replica.outstanding.take().filter(|_| self.rng.bool()) {
            replica.disk.write(persist.batch());
        }
        replica.node = None;
    }

    /// Loses the disk; the host comes back as a new member, unless a repair is under way.
    pub fn wipe(&mut self, at: usize) {
        if self.repair.is_some()
            || self.leader_members().is_none_or(|members| !members.voters.contains(&name(at)))
        {
            return;
        }
        self.crash(at);
        if self.keep_id {
            let membership = self.replicas[at].disk.0.snapshot.membership.clone();
            let founders = membership.voters.into_iter();
            self.replicas[at].disk = Disk(PersistentState::bootstrap(founders));
            self.start(at);
            return;
        }
        let new = self.replicas.len();
        self.replicas.push(Replica::new(name(new), Disk::default()));
        self.start(new);
        self.repair = Some((at, new));
    }

    pub fn propose(&mut self, at: usize) -> Result<(), Broken> {
        self.requests += 1;
        let request = self.requests;
        let data = Bytes::from(request.to_le_bytes().to_vec());
        self.step(at, Event::Propose { data, request })
    }

    pub fn compact(&mut self, at: usize) -> Result<(), Broken> {
        let (digest, index) = self.replicas[at].machine;
        let data = Bytes::from(digest.to_le_bytes().to_vec());
        self.step(at, Event::Compact { index, data })
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |replica: &Replica| {
            replica.node.as_ref().filter(|node| node.role() == Role::Leader).map(|node| node.term())
        };
        (0..self.replicas.len())
            .filter(|at| leads(&self.replicas[*at]).is_some())
            .max_by_key(|at| leads(&self.replicas[*at]))
    }

    /// Runs for a span of virtual time, in milliseconds.
    pub fn run(&mut self, span: u64) -> Result<(), Broken> {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), due) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle(due)?;
        }
        self.now = end;
        Ok(())
    }

    /// Ends all faults, restarts everything and checks that the group works and forgot nothing.
    pub fn settle(&mut self) -> Result<(), Broken> {
        self.cuts.clear();
        (self.loss, self.doubled) = (0, 0);
        let lost = self.repair.map(|(old, _)| old);
        for at in 0..self.replicas.len() {
            self.replicas[at].frozen_until = 0;
            let member = self.leader_members().is_none_or(|members| members.contains(&name(at)));
            if Some(at) != lost && (member || self.repair.is_some_and(|(_, new)| new == at)) {
                self.start(at);
            }
        }
        self.run(15_000)?;
        let leader = self.leader().ok_or("no leader after all faults ended")?;
        let before = self.acknowledged;
        self.propose(leader)?;
        self.run(2_000)?;
        if self.acknowledged == before {
            return Err("no write succeeds after all faults ended".to_owned());
        }
        if self.repair.is_some() {
            return Err("a repair does not end after all faults ended".to_owned());
        }
        let applied = self.replicas[leader].machine.1;
        if applied < self.max_acknowledged {
            return Err(format!("leader applied {applied} of {}", self.max_acknowledged));
        }
        Ok(())
    }

    /// Gives a member one event and carries out what it asks for.
    pub fn step(&mut self, at: usize, event: Event) -> Result<(), Broken> {
        let now = self.replicas[at].clock(self.now);
        let Some(node) = &mut self.replicas[at].node else { return Ok(()) };
        let actions = node.step(now, event);
        for action in actions {
            self.act(at, action)?;
        }
        self.check(at)
    }

    fn act(&mut self, at: usize, action: Action) -> Result<(), Broken> {
        match action {
            Action::Send(to, message) => self.send(at, &to, message),
            Action::Persist(persist) => {
                if self.replicas[at].outstanding.is_some() {
                    return Err("two batches are outstanding".to_owned());
                }
                self.replicas[at].outstanding = Some(persist);
                let delay = self.rng.u64(0..=self.sync_delay);
                let life = self.replicas[at].life;
                self.push(delay, Due::Stored(at, life));
            }
            Action::Restore(snapshot) => {
                let digest = u64::from_le_bytes(snapshot.data[..].try_into().unwrap());
                self.replicas[at].machine = (digest, snapshot.last.index);
                self.choose(at, snapshot.last, digest)?;
            }
            Action::Commit(entries) => {
                for entry in entries {
                    let digest = self.replicas[at].apply(&entry);
                    self.choose(at, entry.position(), digest)?;
                    let key = (entry.index, entry.term);
                    if let Some(request) = self.replicas[at].accepted.remove(&key) {
                        // Request 0 stands for the operator's membership changes.
                        self.acknowledged += u64::from(request != 0);
                        self.max_acknowledged = self.max_acknowledged.max(entry.index);
                    }
                }
            }
            Action::Accepted { request, position } => {
                let key = (position.index, position.term);
                self.replicas[at].accepted.insert(key, request);
            }
            Action::BecomeLeader { term } => {
                if !self.terms.insert(term) {
                    return Err(format!("two members were elected in term {term}"));
                }
            }
            Action::Refuse { .. } | Action::StepDown => {}
            Action::Halt(reason) => return Err(reason.to_owned()),
        }
        Ok(())
    }

    fn choose(&mut self, at: usize, position: Position, digest: u64) -> Result<(), Broken> {
        let chosen = *self.chosen.entry(position.index).or_insert((position, digest));
        if chosen == (position, digest) {
            return Ok(());
        }
        Err(format!("member {at} commits {position:?}, chosen was {:?}", chosen.0))
    }

    fn check(&mut self, at: usize) -> Result<(), Broken> {
        let replica = &mut self.replicas[at];
        if let Some(node) = &replica.node {
            if node.commit_index() < replica.commit_seen {
                return Err(format!("commit index of member {at} falls"));
            }
            replica.commit_seen = node.commit_index();
        }
        let readers: Vec<_> =
            (0..self.replicas.len()).filter(|at| self.replicas[*at].can_read(self.now)).collect();
        if 1 < readers.len() {
            return Err(format!("members {readers:?} hold a read lease at {}", self.now));
        }
        match readers.first() {
            Some(at) if self.replicas[*at].machine.1 < self.max_acknowledged => {
                Err(format!("leased read at member {at} misses an acknowledged write"))
            }
            _ => Ok(()),
        }
    }

    fn handle(&mut self, due: Due) -> Result<(), Broken> {
        let (at, life) = match &due {
            Due::Tick(at, life) | Due::Stored(at, life) => (*at, Some(*life)),
            Due::Deliver(_, to, _) => (*to, None),
        };
        let replica = &mut self.replicas[at];
        if life.is_some_and(|life| life != replica.life) || replica.node.is_none() {
            return Ok(());
        }
        if self.now < replica.frozen_until {
            // Sockets and disks keep what arrives for a frozen process.
            let wait = replica.frozen_until - self.now;
            self.push(wait, due);
            return Ok(());
        }
        match due {
            Due::Tick(_, life) => {
                self.push(20, Due::Tick(at, life));
                if self.leader() == Some(at) {
                    self.operate(at)?;
                }
                self.step(at, Event::Tick)
            }
            Due::Deliver(from, _, message) => self.step(at, Event::Receive(name(from), message)),
            Due::Stored(..) => {
                let Some(persist) = replica.outstanding.take() else { return Ok(()) };
                let disk = &mut replica.disk;
                let persisted = persist.store(|batch| {
                    disk.write(batch);
                    Ok::<_, Broken>(())
                })?;
                self.step(at, Event::Persisted(persisted))
            }
        }
    }

    /// Takes the next step of the repair under way.
    fn operate(&mut self, leader: usize) -> Result<(), Broken> {
        let Some((old, new)) = self.repair else { return Ok(()) };
        let Some(node) = &self.replicas[leader].node else { return Ok(()) };
        let members = node.membership();
        let change = if !members.contains(&name(new)) {
            Change::AddLearner(name(new))
        } else if members.learners.contains(&name(new)) {
            Change::Promote(name(new))
        } else if members.contains(&name(old)) {
            Change::Remove(name(old))
        } else {
            if node.settled() {
                self.repair = None;
                self.repairs += 1;
            }
            return Ok(());
        };
        self.step(leader, Event::ChangeMembers { change, request: 0 })
    }

    fn send(&mut self, from: usize, to: &id::Member, message: Message) {
        let Some(to) = self.replicas.iter().position(|replica| replica.id == *to) else { return };
        if self.cuts.contains(&(from, to)) || self.rng.u64(0..1_000) < self.loss {
            return;
        }
        if self.rng.u64(0..1_000) < self.doubled {
            let delay = self.rng.u64(0..=self.delay * 20);
            self.push(delay, Due::Deliver(from, to, message.clone()));
        }
        let delay = self.rng.u64(1..=self.delay);
        self.push(delay, Due::Deliver(from, to, message));
    }

    fn leader_members(&self) -> Option<Membership> {
        let leader = self.leader()?;
        self.replicas[leader].node.as_ref().map(|node| node.membership().clone())
    }

    fn push(&mut self, delay: u64, due: Due) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), due);
    }
}

/// Returns the name of a member by its place.
pub fn name(at: usize) -> id::Member {
    format!("m{at}").into()
}
