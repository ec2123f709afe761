//! The simulated network, the processing of events, and invariants.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use wasabi_consensus::{Action, Event, Message, Payload, PersistentState};
use wasabi_protocol::{clock::Millis, id, rpc::Joined};

use super::host::{Disk, Host, Machine, Process, Waiter};

/// Description of a violated invariant.
pub type Violation = String;

/// Time within which a lost member must be replaced.
pub const CATCH_UP_MS: u64 = 4_000;

/// The current rules, or an earlier version of one rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    Current,
    PromoteBeforeRemove,
    RedirectOverwritten,
    JoinEndsAfterDiskError,
    SilentBeforeAdded,
}

/// A step of the repair, observed at the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RepairStep {
    JoinRequested,
    AddressAppended,
    AddressCommitted,
    AddAppended,
    ChunkSent,
    RemoveAppended,
    PromoteAppended,
    ChangeCommitted,
}

/// A fault that is injected at a repair step.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    KillLeader,
    FreezeLeader(u64),
    FillDisk(u64),
    CutLeader(u64),
    KillSubject,
    FreezeSubject(u64),
}

#[derive(Debug)]
pub enum Scheduled {
    Tick(usize, u64),
    Stored(usize, u64),
    Reopen(usize, u64),
    Deliver { to: usize, from: id::Member, address: String, name: id::Member, message: Message },
    JoinRound(usize, u64),
    Join { to: usize, name: id::Member, address: String, requester: Option<(usize, u64, u64)> },
    Answer { at: usize, incarnation: u64, number: u64, address: String, answer: Option<Joined> },
    Start(usize),
    Client,
}

#[derive(Debug)]
pub struct Sim {
    pub now: u64,
    pub hosts: Vec<Host>,
    pub variant: Variant,
    pub rng: fastrand::Rng,
    pub size: usize,
    pub seeds: Vec<String>,
    /// Directed links that are cut, with the end of the cut.
    pub cuts: BTreeMap<(usize, usize), u64>,
    /// Message loss in permille, and its end.
    pub loss: (u64, u64),
    pub sync_delay: (u64, u64),
    /// End of the last disturbance.
    pub disturbed_until: u64,
    /// Losses from which the group has not had time to recover.
    pub losses: usize,
    pub pending_fault: Option<(RepairStep, Fault)>,
    pub step_counts: HashMap<RepairStep, u64>,
    pub acknowledged: BTreeSet<u64>,
    queue: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    pub requests: u64,
    terms: BTreeSet<u64>,
    chosen: BTreeMap<u64, (u64, Payload)>,
    /// End of the last disturbance of each host.
    pub away_until: BTreeMap<usize, u64>,
}

impl Sim {
    pub fn new(size: usize, seed: u64, variant: Variant) -> Self {
        let mut hosts: Vec<_> = (0..size).map(|at| Host::new(format!("10.0.0.{at}:1"))).collect();
        let names: Vec<id::Member> = (0..size).map(|at| format!("m{at}").into()).collect();
        for (host, name) in hosts.iter_mut().zip(&names) {
            let restored = PersistentState::bootstrap(names.iter().cloned());
            host.disk = Some(Disk { name: name.clone(), restored });
        }
        let seeds = hosts.iter().take(3).map(|host| host.address.clone()).collect();
        for at in 0..3 {
            let observed = Some(BTreeMap::new());
            hosts.push(Host { observed, ..Host::new(format!("10.0.1.{at}:1")) });
        }
        let mut sim = Self {
            now: 0,
            hosts,
            variant,
            rng: fastrand::Rng::with_seed(seed),
            size,
            seeds,
            cuts: BTreeMap::new(),
            loss: (0, 0),
            sync_delay: (4, 0),
            disturbed_until: 0,
            losses: 0,
            pending_fault: None,
            step_counts: HashMap::new(),
            acknowledged: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            requests: 0,
            terms: BTreeSet::new(),
            chosen: BTreeMap::new(),
            away_until: BTreeMap::new(),
        };
        (0..size).for_each(|at| sim.start(at));
        // The settings name the addresses of the initial members.
        for at in 0..size {
            let addresses = (0..size).map(|at| (names[at].clone(), format!("10.0.0.{at}:1")));
            sim.hosts[at].process.as_mut().unwrap().learned = addresses.collect();
        }
        sim.push(50, Scheduled::Client);
        sim
    }

    pub fn contacts(&self) -> Vec<String> {
        self.seeds.clone()
    }

    pub fn push(&mut self, delay: u64, due: Scheduled) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), due);
    }

    pub fn run(&mut self, span: u64) -> Result<(), Violation> {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), due) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle(due).map_err(|violation| format!("at {}: {violation}", self.now))?;
        }
        self.now = end;
        Ok(())
    }

    /// Starts the process of a host; one with an empty disk is a new member.
    pub fn start(&mut self, at: usize) {
        let (now, seed) = (self.now, self.rng.u64(..));
        let host = &mut self.hosts[at];
        if host.is_removed || host.process.is_some() || host.observed.is_some() {
            return;
        }
        host.starts += 1;
        let (starts, address) = (host.starts, host.address.clone());
        let fresh = || Disk {
            name: format!("{address}-{starts}").into(),
            restored: PersistentState::default(),
        };
        let disk = host.disk.get_or_insert_with(fresh);
        host.process = Some(Process::new(starts, disk, seed, now));
        self.push(0, Scheduled::Tick(at, starts));
        self.push(1, Scheduled::JoinRound(at, starts));
    }

    /// Stops a process. A write in progress reaches the disk at random.
    pub fn kill(&mut self, at: usize, down: u64) {
        let kept = self.rng.bool();
        let host = &mut self.hosts[at];
        if host.observed.is_some() || host.is_removed {
            return;
        }
        if let (Some(process), Some(disk)) = (&mut host.process, &mut host.disk)
            && let Some(persist) = process.outstanding.take().filter(|_| kept)
        {
            disk.write(persist.batch());
        }
        host.process = None;
        self.push(down, Scheduled::Start(at));
        self.disturb(&[at], down);
    }

    /// Records that hosts are disturbed for a time.
    pub fn disturb(&mut self, hosts: &[usize], span: u64) {
        let until = self.now + span;
        self.disturbed_until = self.disturbed_until.max(until);
        for at in hosts {
            let away = self.away_until.entry(*at).or_default();
            *away = until.max(*away);
        }
    }

    pub fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let is_cut = self.cuts.get(&(from, to)).is_some_and(|until| self.now < *until);
        let is_lost = self.now < self.loss.1 && self.rng.u64(0..1_000) < self.loss.0;
        !is_cut && !is_lost
    }

    pub fn leader(&self) -> Option<usize> {
        let term = |at: &usize| {
            let process = self.hosts[*at].process.as_ref().filter(|process| process.is_leader())?;
            process.node.as_ref().map(wasabi_consensus::Node::term)
        };
        (0..self.hosts.len()).filter(|at| term(at).is_some()).max_by_key(term)
    }

    pub fn step(&mut self, at: usize, event: Event) -> Result<(), Violation> {
        let now = Millis(self.now);
        let Some(process) = &mut self.hosts[at].process else { return Ok(()) };
        let Some(node) = &mut process.node else { return Ok(()) };
        for action in node.step(now, event) {
            self.act(at, action)?;
        }
        Ok(())
    }

    fn act(&mut self, at: usize, action: Action) -> Result<(), Violation> {
        let (now, full_until) = (self.now, self.hosts[at].full_until);
        let Some(process) = &mut self.hosts[at].process else { return Ok(()) };
        if process.node.is_none() {
            return Ok(());
        }
        match action {
            Action::Send(to, message) => {
                let Some(address) = process.address_of(&to) else { return Ok(()) };
                let from = process.name.clone();
                let is_chunk = matches!(message, Message::Install { .. });
                self.send(at, from, to, &address, message);
                if is_chunk {
                    self.step_reached(at, RepairStep::ChunkSent);
                }
            }
            Action::Persist(persist) => {
                let incarnation = process.incarnation;
                if now < full_until {
                    process.close();
                    self.push(300, Scheduled::Reopen(at, incarnation));
                    return Ok(());
                }
                process.outstanding = Some(persist);
                let most = if now < self.sync_delay.1 { self.sync_delay.0 } else { 4 };
                let delay = self.rng.u64(0..=most);
                self.push(delay, Scheduled::Stored(at, incarnation));
            }
            Action::Restore(snapshot) => {
                process.machine = Machine::restore(snapshot.last.index, &snapshot.data);
            }
            Action::Commit(entries) => {
                for entry in entries {
                    self.commit(at, &entry)?;
                }
            }
            Action::Accepted { request, position } => {
                if let Some(waiting) = process.requests.remove(&request) {
                    process.appended.insert((position.index, position.term), waiting);
                    if waiting == Waiter::Address {
                        self.step_reached(at, RepairStep::AddressAppended);
                    }
                }
            }
            Action::Refuse { request, .. } => {
                process.requests.remove(&request);
            }
            Action::BecomeLeader { term } => {
                process.led_since = now;
                if !self.terms.insert(term) {
                    return Err(format!("two members lead term {term}"));
                }
            }
            Action::StepDown => {
                process.appended.clear();
                process.requests.clear();
            }
            Action::Halt(reason) => return Err(reason.to_owned()),
        }
        Ok(())
    }

    fn commit(&mut self, at: usize, entry: &wasabi_consensus::Entry) -> Result<(), Violation> {
        let value = (entry.term, entry.data.clone());
        if *self.chosen.entry(entry.index).or_insert_with(|| value.clone()) != value {
            return Err(format!("index {} was committed with two values", entry.index));
        }
        let Some(process) = &mut self.hosts[at].process else { return Ok(()) };
        process.machine.apply(entry);
        let waiting = process.appended.remove(&(entry.index, entry.term));
        if entry.index.is_multiple_of(40) && process.node.is_some() {
            let (index, data) = (process.machine.index, process.machine.snapshot());
            self.step(at, Event::Compact { index, data })?;
        }
        match waiting {
            Some(Waiter::Write(write)) => {
                self.acknowledged.insert(write);
            }
            Some(Waiter::Address) => self.step_reached(at, RepairStep::AddressCommitted),
            Some(Waiter::Members) => self.step_reached(at, RepairStep::ChangeCommitted),
            None => {}
        }
        Ok(())
    }

    fn send(
        &mut self,
        at: usize,
        from: id::Member,
        name: id::Member,
        address: &str,
        message: Message,
    ) {
        let Some(to) = self.hosts.iter().position(|host| host.address == address) else { return };
        if self.is_delivered(at, to) {
            let delay = self.rng.u64(1..6);
            let address = self.hosts[at].address.clone();
            self.push(delay, Scheduled::Deliver { to, from, address, name, message });
        }
    }

    fn handle(&mut self, due: Scheduled) -> Result<(), Violation> {
        let (at, incarnation) = match &due {
            Scheduled::Tick(at, incarnation)
            | Scheduled::Stored(at, incarnation)
            | Scheduled::Reopen(at, incarnation)
            | Scheduled::JoinRound(at, incarnation)
            | Scheduled::Answer { at, incarnation, .. } => (*at, Some(*incarnation)),
            Scheduled::Deliver { to, .. } | Scheduled::Join { to, .. } => (*to, None),
            Scheduled::Start(at) => {
                self.start(*at);
                return Ok(());
            }
            Scheduled::Client => return self.write(),
        };
        let host = &mut self.hosts[at];
        let running = host.process.as_ref().map(|process| process.incarnation);
        if host.is_removed || incarnation.is_some_and(|incarnation| Some(incarnation) != running) {
            return Ok(());
        }
        if self.now < host.frozen_until {
            let wait = host.frozen_until - self.now;
            self.push(wait, due);
            return Ok(());
        }
        match due {
            Scheduled::Tick(_, incarnation) => {
                self.push(20, Scheduled::Tick(at, incarnation));
                self.step(at, Event::Tick)?;
                self.run_leader_tasks(at)
            }
            Scheduled::Stored(..) => self.stored(at),
            Scheduled::Reopen(_, incarnation) => {
                if self.now < host.full_until {
                    self.push(300, Scheduled::Reopen(at, incarnation));
                } else if let (Some(process), Some(disk)) = (&mut host.process, &host.disk) {
                    process.open(disk, self.rng.u64(..), self.now);
                }
                Ok(())
            }
            Scheduled::Deliver { from, address, name, message, .. } => {
                let Some(process) = &mut host.process else { return Ok(()) };
                if process.name != name || process.node.is_none() {
                    return Ok(());
                }
                process.learned.insert(from.clone(), address);
                self.step(at, Event::Receive(from, message))
            }
            Scheduled::JoinRound(..) => {
                self.start_join_round(at);
                Ok(())
            }
            Scheduled::Join { name, address, requester, .. } => {
                self.answer(at, &name, &address, requester)
            }
            Scheduled::Answer { number, address, answer, .. } => {
                self.answered(at, number, address, answer);
                Ok(())
            }
            Scheduled::Start(_) | Scheduled::Client => Ok(()),
        }
    }

    fn stored(&mut self, at: usize) -> Result<(), Violation> {
        let host = &mut self.hosts[at];
        let (Some(process), Some(disk)) = (&mut host.process, &mut host.disk) else {
            return Ok(());
        };
        let Some(persist) = process.outstanding.take() else { return Ok(()) };
        let proof = persist.store(|batch| {
            disk.write(batch);
            Ok::<_, Violation>(())
        })?;
        self.step(at, Event::Persisted(proof))
    }

    /// Returns the host on which a member runs.
    pub fn host_of(&self, name: &id::Member) -> Option<usize> {
        let runs = |host: &Host| host.process.as_ref().is_some_and(|it| it.name == *name);
        self.hosts.iter().position(|host| !host.is_removed && runs(host))
    }

    /// Counts a repair step, and injects the fault that is pending for it.
    pub fn step_reached(&mut self, at: usize, step: RepairStep) {
        *self.step_counts.entry(step).or_default() += 1;
        if self.pending_fault.is_some_and(|(awaited, _)| awaited == step) {
            let Some((_, fault)) = self.pending_fault.take() else { return };
            super::ops::inject(self, at, fault);
        }
    }
}
