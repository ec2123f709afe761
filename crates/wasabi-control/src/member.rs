//! The control thread of one member.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{
        PoisonError,
        mpsc::{Receiver, RecvTimeoutError},
    },
};

use bytes::Bytes;
use prometheus_client::metrics::gauge::Gauge;
use snafu::{ResultExt as _, Snafu};
use tokio::sync::oneshot::Sender;
use tracing::{debug, error, info, warn};
use wasabi_consensus::{Event, Message, Payload};
use wasabi_protocol::{
    clock::{Clock, Millis, unix_now},
    command::{self, Command, Outcome},
    id,
    rpc::{Answers, Drained, Operated, Proposed},
};
use wasabi_state::Machine;

use crate::{
    founding::Start,
    group::{Effect, Group},
    input::Input,
    lead::Duties,
    link::Parcel,
    liveness::Liveness,
    options::{Batching, Options},
    peers::{Peers, is_answer},
    record::{self, Addresses, Item, Record},
};

/// Time between two ticks of the consensus node, in milliseconds.
const TICK: Millis = Millis(20);

/// Most inputs that are taken in one turn, so that ticks come in time.
const INPUTS_MAX: usize = 4_096;

/// Time without a turn after which silence so far says nothing, in milliseconds.
const PAUSE: Millis = Millis(500);

/// Longest time that a planned stop waits for another leader, in milliseconds.
const STOP_BOUND: Millis = Millis(3_000);

/// Why the control thread ended.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// A write or sync failed. What reached the disk is unknown, so the process must end.
    #[snafu(display("the log cannot go on: {source}"))]
    Disk {
        /// Whether a planned stop was asked for.
        is_stopping: bool,
        /// The cause.
        source: wasabi_wal::Error,
    },
    /// The log or a snapshot holds bytes that this version cannot read.
    #[snafu(display("{source}"))]
    Record {
        /// The cause.
        source: record::Error,
    },
    /// The log contradicts what was committed. The disk must be kept for inspection.
    #[snafu(display("halted: {reason}; keep the data folder and replace this member"))]
    Halted {
        /// What was seen.
        reason: &'static str,
    },
}

/// One member of the control group.
pub(crate) struct Member {
    pub(crate) name: id::Member,
    pub(crate) options: Options,
    pub(crate) clock: Clock,
    pub(crate) group: Group,
    pub(crate) machine: Machine,
    /// Addresses of members, from the log.
    pub(crate) addresses: Addresses,
    /// Addresses that members stated in their messages, or that stand in the settings.
    pub(crate) learned: Addresses,
    pub(crate) liveness: Liveness,
    pub(crate) duties: Duties,
    /// Answers with the configuration of the present revision.
    pub(crate) answers: Answers,
    /// Answers that wait for the commit of their proposal, by its number.
    waiting: BTreeMap<u64, Waiting>,
    /// Numbers of the proposals that have a place in the log, by index, with their term.
    placed: BTreeMap<u64, (u64, u64)>,
    next_request: u64,
    snapshot_index: u64,
    /// The last index that the state machine has taken into account.
    applied: u64,
    pub(crate) peers: Peers,
    /// Inputs held back while a proposal is under way, without batching.
    held: VecDeque<Input>,
    stopping: Option<Millis>,
}

/// What waits for the commit of a proposal.
pub(crate) enum Waiting {
    /// An entry.
    Propose(Sender<Proposed>),
    /// An operator, with the time at which it is answered at the latest.
    Operate(Sender<Operated>, Millis),
    /// An operator that drains an entry.
    Drain(Sender<Drained>),
    /// The leader itself.
    Duty(Duty),
}

/// A proposal of the leader itself. At most one of each kind is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Duty {
    View,
    Expiry,
    Address,
    Members,
    Moves,
}

impl Member {
    pub(crate) fn new(options: Options, start: Start, peers: Peers) -> Self {
        let clock = Clock::start();
        let now = clock.now();
        let snapshot_index = start.restored.snapshot.last.index;
        let machine = Machine::new();
        let known = record::known_addresses(&start.restored).into_iter();
        let learned = known.chain(options.members.iter().cloned()).collect();
        Self {
            liveness: Liveness::new(now, machine.view(), machine.revision()),
            group: Group::new(start.name.clone(), start.log, start.restored, now),
            name: start.name,
            clock,
            machine,
            addresses: Addresses::new(),
            learned,
            duties: Duties::default(),
            answers: Answers::default(),
            waiting: BTreeMap::new(),
            placed: BTreeMap::new(),
            next_request: 0,
            snapshot_index,
            applied: 0,
            peers,
            held: VecDeque::new(),
            stopping: None,
            options,
        }
    }

    /// Runs until a planned stop.
    ///
    /// # Errors
    ///
    /// Returns why the process must end.
    pub(crate) fn run(mut self, inputs: &Receiver<Input>) -> Result<(), Error> {
        info!(member = %self.name, "control thread started");
        let (mut last_turn, mut last_tick) = (self.clock.now(), Millis::ZERO);
        loop {
            let now = self.clock.now();
            if PAUSE < now.since(last_turn) {
                warn!(pause = %now.since(last_turn), "this process did not run for a while");
                self.liveness.resume(now);
                // Nobody was sent a heartbeat for that time.
                self.peers.answers.paused(now.since(last_turn));
            }
            last_turn = now;
            if last_tick + TICK <= now {
                last_tick = now;
                self.group.step(now, Event::Tick);
                self.show();
            }
            let is_open = self.take_inputs(inputs)?;
            if !is_open || self.has_stopped() {
                return Ok(());
            }
            self.group.confirm(self.clock.now());
            self.use_effects()?;
            self.lead();
            self.use_effects()?;
            let is_stopping = self.stopping.is_some();
            self.group.sync().context(DiskSnafu { is_stopping })?;
        }
    }

    /// Handles what waits, or waits until the next tick when there is nothing to do. Returns
    /// whether more inputs may come.
    fn take_inputs(&mut self, inputs: &Receiver<Input>) -> Result<bool, Error> {
        let mut wait = if self.group.is_busy() { Millis::ZERO } else { TICK };
        for _ in 0..INPUTS_MAX {
            let single = self.options.batching == Batching::Single;
            if single
                && self.waiting.is_empty()
                && let Some(input) = self.held.pop_front()
            {
                self.handle(input);
                return Ok(true);
            }
            match inputs.recv_timeout(wait.duration()) {
                Ok(input @ (Input::Propose(..) | Input::Operate(..)))
                    if single && !self.waiting.is_empty() =>
                {
                    self.held.push_back(input);
                }
                Ok(Input::Step(step)) => self.receive(step),
                Ok(Input::Stop) => {
                    self.stopping.get_or_insert(self.clock.now());
                }
                Ok(input) => {
                    // The node may have handed out entries that the state machine lacks, so that
                    // an answer from its state would be old.
                    self.use_effects()?;
                    self.handle(input);
                }
                Err(RecvTimeoutError::Timeout) => return Ok(true),
                Err(RecvTimeoutError::Disconnected) => return Ok(false),
            }
            wait = Millis::ZERO;
        }
        Ok(true)
    }

    /// Hands leadership over once a stop is asked for. Returns whether the thread may end.
    fn has_stopped(&mut self) -> bool {
        let Some(since) = self.stopping else { return false };
        let now = self.clock.now();
        let is_alone = self.group.membership().voters.len() <= 1;
        if !self.group.is_leader() || is_alone || since + STOP_BOUND <= now {
            let settled = self.waiting.is_empty() || since + STOP_BOUND <= now;
            return settled && !self.group.is_busy();
        }
        self.group.step(now, Event::TransferLeadership);
        false
    }

    /// Takes messages of another member, once it is durable that this member was heard.
    fn receive(&mut self, step: crate::input::Step) {
        let mut heard = self.peers.heard.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = heard.add(&step.from) {
            error!(%error, from = %step.from, "cannot remember a member; its messages are dropped");
            return;
        }
        drop(heard);
        self.learned.insert(step.from.clone(), step.address);
        if step.messages.iter().any(is_answer) {
            self.peers.answers.answered(&step.from);
        }
        for message in step.messages {
            self.group.step(self.clock.now(), Event::Receive(step.from.clone(), message));
        }
    }

    /// Proposes an item; `waiting` is answered when it is committed or known not to be.
    pub(crate) fn propose(&mut self, item: Item, waiting: Waiting) {
        let request = self.wait(waiting);
        let now = unix_now().max(self.machine.now());
        match record::encode(&Record { now, item }) {
            Ok(bytes) => self.group.propose(self.clock.now(), Bytes::from(bytes), request),
            Err(error) => {
                error!(%error, "a command cannot be proposed");
                self.waiting.remove(&request);
            }
        }
    }

    /// Returns the number under which `waiting` is kept.
    pub(crate) fn wait(&mut self, waiting: Waiting) -> u64 {
        self.next_request += 1;
        self.waiting.insert(self.next_request, waiting);
        self.next_request
    }

    fn use_effects(&mut self) -> Result<(), Error> {
        let mut parcels: BTreeMap<id::Member, Vec<Message>> = BTreeMap::new();
        while let Some(effect) = self.group.next_effect() {
            match effect {
                Effect::Send(to, message) => parcels.entry(to).or_default().push(message),
                Effect::Placed { request, term, index } => {
                    self.placed.insert(index, (term, request));
                }
                Effect::Refused { request, reason } => {
                    let waiting = self.waiting.remove(&request);
                    debug!(?reason, "a proposal was refused");
                    self.answer_lost(waiting, Lost::NotProposed);
                }
                Effect::Commit(entries) => {
                    for entry in entries {
                        self.commit(entry.index, entry.term, &entry.data)?;
                    }
                    self.compact()?;
                }
                Effect::Restore(snapshot) => {
                    self.snapshot_index = snapshot.last.index;
                    self.applied = snapshot.last.index;
                    (self.addresses, self.machine) =
                        record::restore(&snapshot.data).context(RecordSnafu)?;
                }
                Effect::Lead { term } => {
                    info!(term, "leading");
                    let (view, revision) = (self.machine.view(), self.machine.revision());
                    self.liveness = Liveness::new(self.clock.now(), view, revision);
                    self.duties = Duties::default();
                    // Entries hold what the leader before had in force last.
                    self.answers.hold(&self.machine.config());
                }
                Effect::StepDown => self.step_down(),
                Effect::Halt(reason) => return HaltedSnafu { reason }.fail(),
            }
        }
        for (to, messages) in parcels {
            let address = self.addresses.get(&to).or_else(|| self.learned.get(&to)).cloned();
            let Some(address) = address else { continue };
            let matched = self.group.matched(&to);
            let _ = self.peers.parcels.send(Parcel { to, address, matched, messages });
        }
        Ok(())
    }

    /// Brings the metrics up to date.
    fn show(&self) {
        let metrics = &self.options.metrics;
        let set = |gauge: &Gauge, value: u64| {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        let size = self.machine.size();
        let view = self.machine.view();
        let serving =
            view.entries.iter().filter(|entry| entry.duty == command::Duty::Serving).count();
        set(&metrics.leading, u64::from(self.group.is_leader()));
        set(&metrics.revision, self.machine.revision().0);
        set(&metrics.applied_index, self.applied);
        set(&metrics.log_bytes, self.group.log_bytes());
        set(&metrics.keys, size.keys as u64);
        set(&metrics.key_bytes, size.key_bytes as u64);
        set(&metrics.serving_entries, serving as u64);
        let short = self.duties.short.as_ref();
        let short_for = short.map_or(Millis::ZERO, |short| self.clock.now().since(short.since));
        metrics.short_seconds.set(short_for.seconds());
        set(&metrics.voters, self.group.membership().voters.len() as u64);
    }

    fn commit(&mut self, index: u64, term: u64, data: &Payload) -> Result<(), Error> {
        self.applied = index;
        self.options.metrics.commits.inc();
        let placed = self.placed.remove(&index).filter(|(placed, _)| *placed == term);
        let outcome = match data {
            Payload::Command(bytes) => {
                let record = record::decode(bytes).context(RecordSnafu)?;
                self.apply(index, record)
            }
            Payload::Empty | Payload::Members(_) => Outcome::Done,
        };
        if let Some(waiting) = placed.and_then(|(_, request)| self.waiting.remove(&request)) {
            self.answer_committed(waiting, outcome);
        }
        Ok(())
    }

    fn apply(&mut self, index: u64, record: Record) -> Outcome {
        let command = match record.item {
            Item::Command(command) => command,
            Item::Address { member, address } => {
                self.addresses.insert(member, address);
                return Outcome::Done;
            }
        };
        let outcome = self.machine.apply(index, record.now, &command);
        if matches!(command, Command::SetView { .. }) {
            self.liveness.set_view(self.machine.view(), self.machine.revision());
        }
        outcome
    }

    /// Has a snapshot taken once enough entries are committed.
    fn compact(&mut self) -> Result<(), Error> {
        let index = self.applied;
        if index < self.snapshot_index + self.options.snapshot_every {
            return Ok(());
        }
        let data = record::snapshot(&self.addresses, &self.machine).context(RecordSnafu)?;
        info!(index, bytes = data.len(), log_bytes = self.group.log_bytes(), "taking a snapshot");
        self.snapshot_index = index;
        let data = Bytes::from(data);
        self.group.step(self.clock.now(), Event::Compact { index, data });
        Ok(())
    }

    /// Answers everything that waits: its outcome is unknown to this member from now on.
    fn step_down(&mut self) {
        info!("no longer leading");
        self.placed.clear();
        for waiting in std::mem::take(&mut self.waiting).into_values() {
            self.answer_lost(Some(waiting), Lost::Unknown);
        }
        self.lose_forces();
        self.duties = Duties::default();
    }
}

/// Why a proposal has no outcome here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lost {
    /// It never takes effect.
    NotProposed,
    /// It may be committed by another leader.
    Unknown,
}
