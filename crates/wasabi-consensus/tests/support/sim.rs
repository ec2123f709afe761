//! Simulation of the network and the operator, and checks of the invariants.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use wasabi_consensus::{
    Action, Change, Config, Event, Membership, Message, PersistentState, Position, Role, Rules,
};
use wasabi_protocol::id;

use super::replica::{Disk, Replica};

/// Description of a violated invariant.
pub type Violation = String;

#[derive(Debug)]
enum ScheduledEvent {
    Tick(usize, u64),
    Deliver(usize, usize, Message),
    Stored(usize, u64),
}

/// A simulated group with its network and operator.
pub struct Sim {
    pub now: u64,
    pub replicas: Vec<Replica>,
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Probability that a message is lost or duplicated, in thousandths.
    pub loss_permille: u64,
    pub duplication_permille: u64,
    /// Maximum delay of a message and of a sync, in milliseconds.
    pub delay_max_ms: u64,
    pub sync_delay_max_ms: u64,
    /// The member whose disk was lost and the one that replaces it, during a repair.
    pub repair: Option<(usize, usize)>,
    pub repairs: u64,
    /// Whether a host keeps its member id after its disk was lost, in violation of the protocol.
    pub reuse_member_id: bool,
    pub rng: fastrand::Rng,
    pub acknowledged: u64,
    pub terms: BTreeSet<u64>,
    rules: Rules,
    settings: fn(&mut Config),
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    sequence: u64,
    requests: u64,
    committed: BTreeMap<u64, (Position, u64)>,
    max_acknowledged_index: u64,
}

impl Sim {
    pub fn new(size: usize, seed: u64, rules: Rules) -> Self {
        Self::with_settings(size, seed, rules, |_| {})
    }

    pub fn with_settings(size: usize, seed: u64, rules: Rules, settings: fn(&mut Config)) -> Self {
        let ids: Vec<_> = (0..size).map(member_id).collect();
        let disk = Disk(PersistentState::bootstrap(ids.iter().cloned()));
        let replicas = ids.into_iter().map(|id| Replica::new(id, disk.clone())).collect();
        let mut sim = Self {
            now: 0,
            replicas,
            cut_links: BTreeSet::new(),
            loss_permille: 0,
            duplication_permille: 0,
            delay_max_ms: 5,
            sync_delay_max_ms: 4,
            repair: None,
            repairs: 0,
            reuse_member_id: false,
            rng: fastrand::Rng::with_seed(seed),
            acknowledged: 0,
            terms: BTreeSet::new(),
            rules,
            settings,
            queue: BTreeMap::new(),
            sequence: 0,
            requests: 0,
            committed: BTreeMap::new(),
            max_acknowledged_index: 0,
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
        let incarnation = self.replicas[at].incarnation;
        self.push(0, ScheduledEvent::Tick(at, incarnation));
    }

    /// Terminates the process. A batch being written is lost or stored at random.
    pub fn crash(&mut self, at: usize) {
        let replica = &mut self.replicas[at];
        if let Some(persist) = replica.outstanding.take().filter(|_| self.rng.bool()) {
            replica.disk.write(persist.batch());
        }
        replica.node = None;
    }

    /// Crashes a voter and loses its disk. The host returns as a new member. Does nothing while a
    /// repair is in progress.
    pub fn lose_disk(&mut self, at: usize) {
        if self.repair.is_some()
            || self.leader_members().is_none_or(|members| !members.voters.contains(&member_id(at)))
        {
            return;
        }
        self.crash(at);
        if self.reuse_member_id {
            let membership = self.replicas[at].disk.0.snapshot.membership.clone();
            let voters = membership.voters.into_iter();
            self.replicas[at].disk = Disk(PersistentState::bootstrap(voters));
            self.start(at);
            return;
        }
        let new = self.replicas.len();
        self.replicas.push(Replica::new(member_id(new), Disk::default()));
        self.start(new);
        self.repair = Some((at, new));
    }

    pub fn propose(&mut self, at: usize) -> Result<(), Violation> {
        self.requests += 1;
        let request = self.requests;
        let data = Bytes::from(request.to_le_bytes().to_vec());
        self.step(at, Event::Propose { data, request })
    }

    pub fn compact(&mut self, at: usize) -> Result<(), Violation> {
        let (digest, index) = self.replicas[at].state_machine;
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

    /// Runs for the given virtual time, in milliseconds.
    pub fn run(&mut self, duration: u64) -> Result<(), Violation> {
        let end = self.now + duration;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), due) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle(due)?;
        }
        self.now = end;
        Ok(())
    }

    /// Ends all faults, restarts the members and checks that the group accepts a write, completes a
    /// pending repair and has lost no acknowledged write.
    pub fn heal_and_check(&mut self) -> Result<(), Violation> {
        self.cut_links.clear();
        (self.loss_permille, self.duplication_permille) = (0, 0);
        let lost = self.repair.map(|(old, _)| old);
        for at in 0..self.replicas.len() {
            self.replicas[at].paused_until = 0;
            let member =
                self.leader_members().is_none_or(|members| members.contains(&member_id(at)));
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
            return Err("no write succeeded after all faults ended".to_owned());
        }
        if self.repair.is_some() {
            return Err("the repair did not complete after all faults ended".to_owned());
        }
        let applied = self.replicas[leader].state_machine.1;
        if applied < self.max_acknowledged_index {
            return Err(format!(
                "the leader applied index {applied}, but index {} was acknowledged",
                self.max_acknowledged_index
            ));
        }
        Ok(())
    }

    /// Passes an event to a member, performs the resulting actions and checks the invariants.
    pub fn step(&mut self, at: usize, event: Event) -> Result<(), Violation> {
        let now = self.replicas[at].clock(self.now);
        let Some(node) = &mut self.replicas[at].node else { return Ok(()) };
        let actions = node.step(now, event);
        for action in actions {
            self.perform(at, action)?;
        }
        self.check(at)
    }

    fn perform(&mut self, at: usize, action: Action) -> Result<(), Violation> {
        match action {
            Action::Send(to, message) => self.send(at, &to, message),
            Action::Persist(persist) => {
                if self.replicas[at].outstanding.is_some() {
                    return Err("two batches are outstanding".to_owned());
                }
                self.replicas[at].outstanding = Some(persist);
                let delay = self.rng.u64(0..=self.sync_delay_max_ms);
                let incarnation = self.replicas[at].incarnation;
                self.push(delay, ScheduledEvent::Stored(at, incarnation));
            }
            Action::Restore(snapshot) => {
                let digest = u64::from_le_bytes(snapshot.data[..].try_into().unwrap());
                self.replicas[at].state_machine = (digest, snapshot.last.index);
                self.record_committed(at, snapshot.last, digest)?;
            }
            Action::Commit(entries) => {
                for entry in entries {
                    let digest = self.replicas[at].apply(&entry);
                    self.record_committed(at, entry.position(), digest)?;
                    let key = (entry.index, entry.term);
                    if let Some(request) = self.replicas[at].accepted.remove(&key) {
                        // Request id 0 denotes a membership change by the operator.
                        self.acknowledged += u64::from(request != 0);
                        self.max_acknowledged_index = self.max_acknowledged_index.max(entry.index);
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

    fn record_committed(
        &mut self,
        at: usize,
        position: Position,
        digest: u64,
    ) -> Result<(), Violation> {
        let committed = *self.committed.entry(position.index).or_insert((position, digest));
        if committed == (position, digest) {
            return Ok(());
        }
        Err(format!(
            "member {at} commits {position:?}, but {:?} is already committed at that index",
            committed.0
        ))
    }

    fn check(&mut self, at: usize) -> Result<(), Violation> {
        let replica = &mut self.replicas[at];
        if let Some(node) = &replica.node {
            if node.commit_index() < replica.last_commit_index {
                return Err(format!("the commit index of member {at} decreased"));
            }
            replica.last_commit_index = node.commit_index();
        }
        let readers: Vec<_> =
            (0..self.replicas.len()).filter(|at| self.replicas[*at].can_read(self.now)).collect();
        if 1 < readers.len() {
            return Err(format!("members {readers:?} hold a read lease at {}", self.now));
        }
        match readers.first() {
            Some(at) if self.replicas[*at].state_machine.1 < self.max_acknowledged_index => {
                Err(format!("a leased read at member {at} misses an acknowledged write"))
            }
            _ => Ok(()),
        }
    }

    fn handle(&mut self, due: ScheduledEvent) -> Result<(), Violation> {
        let (at, incarnation) = match &due {
            ScheduledEvent::Tick(at, incarnation) | ScheduledEvent::Stored(at, incarnation) => {
                (*at, Some(*incarnation))
            }
            ScheduledEvent::Deliver(_, to, _) => (*to, None),
        };
        let replica = &mut self.replicas[at];
        if incarnation.is_some_and(|incarnation| incarnation != replica.incarnation)
            || replica.node.is_none()
        {
            return Ok(());
        }
        if self.now < replica.paused_until {
            // Sockets and disks buffer events for a paused process.
            let wait = replica.paused_until - self.now;
            self.push(wait, due);
            return Ok(());
        }
        match due {
            ScheduledEvent::Tick(_, incarnation) => {
                self.push(20, ScheduledEvent::Tick(at, incarnation));
                if self.leader() == Some(at) {
                    self.advance_repair(at)?;
                }
                self.step(at, Event::Tick)
            }
            ScheduledEvent::Deliver(from, _, message) => {
                self.step(at, Event::Receive(member_id(from), message))
            }
            ScheduledEvent::Stored(..) => {
                let Some(persist) = replica.outstanding.take() else { return Ok(()) };
                let disk = &mut replica.disk;
                let persisted = persist.store(|batch| {
                    disk.write(batch);
                    Ok::<_, Violation>(())
                })?;
                self.step(at, Event::Persisted(persisted))
            }
        }
    }

    /// Performs the next step of the repair in progress.
    fn advance_repair(&mut self, leader: usize) -> Result<(), Violation> {
        let Some((old, new)) = self.repair else { return Ok(()) };
        let Some(node) = &self.replicas[leader].node else { return Ok(()) };
        let members = node.membership();
        let change = if !members.contains(&member_id(new)) {
            Change::AddLearner(member_id(new))
        } else if members.learners.contains(&member_id(new)) {
            Change::Promote(member_id(new))
        } else if members.contains(&member_id(old)) {
            Change::Remove(member_id(old))
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
        if self.cut_links.contains(&(from, to)) || self.rng.u64(0..1_000) < self.loss_permille {
            return;
        }
        if self.rng.u64(0..1_000) < self.duplication_permille {
            let delay = self.rng.u64(0..=self.delay_max_ms * 20);
            self.push(delay, ScheduledEvent::Deliver(from, to, message.clone()));
        }
        let delay = self.rng.u64(1..=self.delay_max_ms);
        self.push(delay, ScheduledEvent::Deliver(from, to, message));
    }

    fn leader_members(&self) -> Option<Membership> {
        let leader = self.leader()?;
        self.replicas[leader].node.as_ref().map(|node| node.membership().clone())
    }

    fn push(&mut self, delay: u64, due: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), due);
    }
}

/// Returns the id of the member with the given index.
pub fn member_id(at: usize) -> id::Member {
    format!("m{at}").into()
}
