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
    rpc::{CommandReply, Drained, Proposed, UpdateCache},
};
use wasabi_state::Machine;

use crate::{
    bootstrap::InitialState,
    group::{Effect, Group},
    input::Input,
    leader::LeaderState,
    leader_load::LeaderLoad,
    link::OutboundBatch,
    liveness::Liveness,
    options::{Batching, Options},
    peers::{Peers, is_answer},
    record::{self, Addresses, Item, Record},
};

/// Time between two ticks of the consensus node.
const TICK_INTERVAL: Millis = Millis(20);

/// Most inputs handled in one turn, so that ticks are not delayed.
const INPUTS_PER_TURN_MAX: usize = 4_096;

/// Time without a turn that counts as a pause of the process, after which silences restart.
const PAUSE_MIN: Millis = Millis(500);

/// Size of the entries since a snapshot after which the next one is taken, in bytes. They stay in
/// memory and on the disk until then, and one configuration may take megabytes.
const SNAPSHOT_LOG_BYTES: usize = 8 * 1024 * 1024;

/// Longest time that a graceful stop waits for another leader.
const STOP_TIMEOUT: Millis = Millis(3_000);

/// Error that ended the control thread.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// A write or sync failed. The state on disk is unknown, so the process must end.
    #[snafu(display("cannot write the log: {source}"))]
    Disk {
        /// Whether a graceful stop had been requested.
        is_stopping: bool,
        /// The cause.
        source: wasabi_wal::Error,
    },
    /// The log or a snapshot cannot be decoded by this version.
    #[snafu(display("{source}"))]
    Record {
        /// The cause.
        source: record::Error,
    },
    /// The log contradicts committed entries. The disk must be kept for inspection.
    #[snafu(display("halted: {reason}; keep the data directory and replace this member"))]
    Halted {
        /// The contradiction.
        reason: &'static str,
    },
}

/// A member of the control group.
pub(crate) struct Member {
    pub(crate) name: id::Member,
    pub(crate) options: Options,
    pub(crate) clock: Clock,
    pub(crate) group: Group,
    pub(crate) machine: Machine,
    /// Addresses of members, from the log.
    pub(crate) addresses: Addresses,
    /// Addresses from messages of members or from the settings.
    pub(crate) learned: Addresses,
    pub(crate) liveness: Liveness,
    pub(crate) leader_state: LeaderState,
    pub(crate) load: LeaderLoad,
    /// Cached configuration answers of the current revision.
    pub(crate) answers: UpdateCache,
    /// Callers waiting for the commit of a proposal, by request number.
    waiters: BTreeMap<u64, Waiter>,
    /// Term and request number of proposals that were appended to the log, by index.
    appended: BTreeMap<u64, (u64, u64)>,
    next_request: u64,
    snapshot_index: u64,
    /// Size of the committed entries since that snapshot, in bytes.
    bytes_since_snapshot: usize,
    /// The last index applied to the state machine.
    applied: u64,
    pub(crate) peers: Peers,
    /// Inputs deferred until the current proposal is committed, when batching is disabled.
    deferred: VecDeque<Input>,
    stopping: Option<Millis>,
}

/// Who waits for the commit of a proposal.
pub(crate) enum Waiter {
    /// An entry.
    Propose(Sender<Proposed>),
    /// An operator, with the deadline of the answer.
    Operate(Sender<CommandReply>, Millis),
    /// An operator that drains an entry.
    Drain(Sender<Drained>),
    /// A task of the leader.
    LeaderTask(LeaderTask),
}

/// Kind of a leader task. At most one proposal of each kind is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaderTask {
    View,
    Expiry,
    Address,
    Members,
    Moves,
}

impl Member {
    pub(crate) fn new(options: Options, start: InitialState, peers: Peers) -> Self {
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
            leader_state: LeaderState::default(),
            load: LeaderLoad::default(),
            answers: UpdateCache::default(),
            waiters: BTreeMap::new(),
            appended: BTreeMap::new(),
            next_request: 0,
            snapshot_index,
            bytes_since_snapshot: 0,
            applied: 0,
            peers,
            deferred: VecDeque::new(),
            stopping: None,
            options,
        }
    }

    /// Runs until a graceful stop.
    ///
    /// # Errors
    ///
    /// Returns an error when the process must end.
    pub(crate) fn run(mut self, inputs: &Receiver<Input>) -> Result<(), Error> {
        info!(member = %self.name, "control thread started");
        let (mut last_turn, mut last_tick) = (self.clock.now(), Millis::ZERO);
        loop {
            let now = self.clock.now();
            if PAUSE_MIN < now.since(last_turn) {
                warn!(pause = %now.since(last_turn), "this process did not run for a while");
                self.liveness.resume(now);
                // No heartbeats were sent during that time.
                self.peers.last_replies.record_pause(now.since(last_turn));
            }
            self.load.record_turn(now.since(last_turn));
            last_turn = now;
            if last_tick + TICK_INTERVAL <= now {
                last_tick = now;
                self.group.step(now, Event::Tick);
                self.update_metrics();
            }
            let is_open = self.handle_inputs(inputs)?;
            if !is_open || self.can_stop() {
                return Ok(());
            }
            self.group.confirm(self.clock.now());
            self.apply_effects()?;
            self.run_leader_tasks();
            self.apply_effects()?;
            let is_stopping = self.stopping.is_some();
            self.group.sync().context(DiskSnafu { is_stopping })?;
        }
    }

    /// Handles pending inputs, or waits for one until the next tick when idle. Returns whether more
    /// inputs may arrive.
    fn handle_inputs(&mut self, inputs: &Receiver<Input>) -> Result<bool, Error> {
        let mut wait = if self.group.is_busy() { Millis::ZERO } else { TICK_INTERVAL };
        for _ in 0..INPUTS_PER_TURN_MAX {
            let single = self.options.batching == Batching::Single;
            if single
                && self.waiters.is_empty()
                && let Some(input) = self.deferred.pop_front()
            {
                self.handle(input);
                return Ok(true);
            }
            match inputs.recv_timeout(wait.duration()) {
                Ok(input @ (Input::Propose(..) | Input::Operate(..)))
                    if single && !self.waiters.is_empty() =>
                {
                    self.deferred.push_back(input);
                }
                Ok(Input::Step(step)) => self.receive(step),
                Ok(Input::Stop) => {
                    self.stopping.get_or_insert(self.clock.now());
                }
                Ok(input) => {
                    // The node may have committed entries that are not yet applied, and an answer
                    // from the state machine would be stale.
                    self.apply_effects()?;
                    self.handle(input);
                }
                Err(RecvTimeoutError::Timeout) => return Ok(true),
                Err(RecvTimeoutError::Disconnected) => return Ok(false),
            }
            wait = Millis::ZERO;
        }
        Ok(true)
    }

    /// Transfers leadership once a stop was requested. Returns whether the thread may end.
    fn can_stop(&mut self) -> bool {
        let Some(since) = self.stopping else { return false };
        let now = self.clock.now();
        let is_alone = self.group.membership().voters.len() <= 1;
        if !self.group.is_leader() || is_alone || since + STOP_TIMEOUT <= now {
            let settled = self.waiters.is_empty() || since + STOP_TIMEOUT <= now;
            return settled && !self.group.is_busy();
        }
        self.group.step(now, Event::TransferLeadership);
        false
    }

    /// Handles messages of another member, once it is durably recorded that the member was seen.
    fn receive(&mut self, step: crate::input::Step) {
        let mut seen_members =
            self.peers.seen_members.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = seen_members.add(&step.from) {
            error!(%error, from = %step.from, "cannot record a member as seen; dropping its messages");
            return;
        }
        drop(seen_members);
        self.learned.insert(step.from.clone(), step.address);
        if step.messages.iter().any(is_answer) {
            self.peers.last_replies.record_reply(&step.from);
        }
        for message in step.messages {
            self.group.step(self.clock.now(), Event::Receive(step.from.clone(), message));
        }
    }

    /// Proposes an item; `waiter` is answered when the item is committed or known not to be.
    pub(crate) fn propose(&mut self, item: Item, waiter: Waiter) {
        let request = self.register_waiter(waiter);
        let now = unix_now().max(self.machine.now());
        match record::encode(&Record { now, item }) {
            Ok(bytes) => self.group.propose(self.clock.now(), Bytes::from(bytes), request),
            Err(error) => {
                error!(%error, "cannot encode a proposal");
                self.waiters.remove(&request);
            }
        }
    }

    /// Registers a waiter and returns its request number.
    pub(crate) fn register_waiter(&mut self, waiter: Waiter) -> u64 {
        self.next_request += 1;
        self.waiters.insert(self.next_request, waiter);
        self.next_request
    }

    fn apply_effects(&mut self) -> Result<(), Error> {
        let mut outbound: BTreeMap<id::Member, Vec<Message>> = BTreeMap::new();
        while let Some(effect) = self.group.next_effect() {
            match effect {
                Effect::Send(to, message) => outbound.entry(to).or_default().push(message),
                Effect::Appended { request, term, index } => {
                    self.appended.insert(index, (term, request));
                }
                Effect::Refused { request, reason } => {
                    let waiter = self.waiters.remove(&request);
                    debug!(?reason, "a proposal was refused");
                    self.answer_unresolved(waiter, Unresolved::NotProposed);
                }
                Effect::Commit(entries) => {
                    for entry in entries {
                        self.commit(entry.index, entry.term, &entry.data)?;
                    }
                    self.compact()?;
                }
                Effect::Restore(snapshot) => {
                    self.snapshot_index = snapshot.last.index;
                    self.bytes_since_snapshot = 0;
                    self.applied = snapshot.last.index;
                    (self.addresses, self.machine) =
                        record::restore(&snapshot.data).context(RecordSnafu)?;
                }
                Effect::Lead { term } => {
                    info!(term, "leading");
                    let (view, revision) = (self.machine.view(), self.machine.revision());
                    self.liveness = Liveness::new(self.clock.now(), view, revision);
                    self.leader_state = LeaderState::default();
                    // Entries hold the last configuration that the previous leader had in force.
                    self.answers.record(&self.machine.config());
                }
                Effect::StepDown => self.step_down(),
                Effect::Halt(reason) => return HaltedSnafu { reason }.fail(),
            }
        }
        for (to, messages) in outbound {
            let address = self.addresses.get(&to).or_else(|| self.learned.get(&to)).cloned();
            let Some(address) = address else { continue };
            let matched = self.group.matched(&to);
            let _ = self.peers.outbound.send(OutboundBatch { to, address, matched, messages });
        }
        Ok(())
    }

    /// Updates the metrics.
    fn update_metrics(&self) {
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
        let short = self.leader_state.shortage.as_ref();
        let short_for = short.map_or(Millis::ZERO, |short| self.clock.now().since(short.since));
        metrics.short_seconds.set(short_for.seconds());
        set(&metrics.voters, self.group.membership().voters.len() as u64);
    }

    fn commit(&mut self, index: u64, term: u64, data: &Payload) -> Result<(), Error> {
        self.applied = index;
        self.options.metrics.commits.inc();
        let appended = self.appended.remove(&index).filter(|(appended, _)| *appended == term);
        let outcome = match data {
            Payload::Command(bytes) => {
                self.bytes_since_snapshot += bytes.len();
                let record = record::decode(bytes).context(RecordSnafu)?;
                self.apply(index, record)
            }
            Payload::Empty | Payload::Members(_) => Outcome::Done,
        };
        if let Some(waiter) = appended.and_then(|(_, request)| self.waiters.remove(&request)) {
            self.answer_committed(waiter, outcome);
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

    /// Takes a snapshot once enough entries, or entries of enough bytes, are committed.
    fn compact(&mut self) -> Result<(), Error> {
        let index = self.applied;
        let is_long = self.snapshot_index + self.options.snapshot_every <= index;
        let is_large = SNAPSHOT_LOG_BYTES <= self.bytes_since_snapshot;
        if !is_long && !is_large {
            return Ok(());
        }
        let data = record::snapshot(&self.addresses, &self.machine).context(RecordSnafu)?;
        info!(index, bytes = data.len(), log_bytes = self.group.log_bytes(), "taking a snapshot");
        self.snapshot_index = index;
        self.bytes_since_snapshot = 0;
        let data = Bytes::from(data);
        self.group.step(self.clock.now(), Event::Compact { index, data });
        Ok(())
    }

    /// Answers all waiters, since this member cannot tell the outcome of their proposals any more.
    fn step_down(&mut self) {
        info!("no longer leading");
        self.appended.clear();
        for waiter in std::mem::take(&mut self.waiters).into_values() {
            self.answer_unresolved(Some(waiter), Unresolved::Unknown);
        }
        self.cancel_activations();
        self.leader_state = LeaderState::default();
    }
}

/// Why the outcome of a proposal is not known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unresolved {
    /// The proposal never takes effect.
    NotProposed,
    /// The proposal may be committed by another leader.
    Unknown,
}
