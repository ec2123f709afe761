//! The control thread: owns the view, the configuration and the pools, and performs the effects that
//! these request.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use jsonrpsee::rpc_params;
use tokio::sync::mpsc;
use wasabi_admission::lender::Lender;
use wasabi_protocol::{
    clock::Millis,
    command::{Config, Duty, Entry},
    id,
    rpc::{Acquired, Evidence, Heartbeat, Lend, Preempt, UpdateCache, method},
};
use wasabi_routing::liveness;
use wasabi_scheduler::pool::Event;

use crate::{
    control::{checkin, client::ControlClient, confirmation::Confirmation},
    drain,
    fetch::run::Fetcher,
    message::{Message, Peer},
    peers::{heartbeat, readiness::Readiness, suspects, table},
    pools::{
        acquire, breakers,
        holder::Holder,
        notes,
        owner::{self, Effect},
        shards, standby,
    },
    shared::{Mode, Shared},
};

/// Interval between two ticks of the pools.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time since the last tick from which this thread counts as paused.
const PAUSE_THRESHOLD: Millis = Millis(300);

/// State of the control thread.
pub(crate) struct Shell {
    pub(crate) shared: Arc<Shared>,
    pub(crate) pools: RefCell<owner::Table>,
    pub(crate) holder: RefCell<Holder>,
    pub(crate) peers: RefCell<table::Table>,
    /// The suspects of all pools.
    pub(crate) suspects: RefCell<suspects::Table>,
    /// The endpoints of pools that other entries own.
    pub(crate) standby: RefCell<standby::Table>,
    /// The budgets of the organisations that this entry owns.
    pub(crate) lender: RefCell<Lender>,
    pub(crate) control: ControlClient,
    pub(crate) fetcher: Fetcher,
    /// Answers to fetches of the configuration in force.
    pub(crate) answers: RefCell<UpdateCache>,
    /// When the last check-in was sent that the control leader answered.
    pub(crate) answered_checkin: Cell<Option<Millis>>,
    /// Whether the leader's answers confirm the configuration in force.
    pub(crate) confirmation: RefCell<Confirmation>,
    /// How long this process has been ready to own pools.
    pub(crate) readiness: Readiness,
    /// Evidence that control has not accepted yet.
    pub(crate) unsent_evidence: RefCell<Vec<Evidence>>,
    /// The ranked owners of the pools.
    pub(crate) rankings: RefCell<shards::Rankings>,
    /// The last known owner of each pool, to detect changes.
    pub(crate) owners: RefCell<HashMap<id::Pool, id::Entry>>,
    /// The processes that get the announcements of endpoints, with their start.
    pub(crate) registries: RefCell<HashSet<(id::Entry, Millis)>>,
    /// Circuit breakers for calls to pools of other entries.
    pub(crate) breakers: RefCell<breakers::Table>,
    shutdown: RefCell<Option<drain::Shutdown>>,
}

impl Shell {
    /// Returns the state of a control thread.
    pub(crate) fn new(
        shared: Arc<Shared>,
        control: ControlClient,
        shutdown: drain::Shutdown,
    ) -> Rc<Self> {
        let now = shared.clock.now();
        let lender = Lender::restarted(now);
        Rc::new(Self {
            shared,
            pools: RefCell::default(),
            holder: RefCell::default(),
            peers: RefCell::default(),
            suspects: RefCell::default(),
            standby: RefCell::default(),
            lender: RefCell::new(lender),
            control,
            fetcher: Fetcher::default(),
            answers: RefCell::default(),
            answered_checkin: Cell::new(None),
            confirmation: RefCell::default(),
            readiness: Readiness::new(now),
            unsent_evidence: RefCell::default(),
            rankings: RefCell::default(),
            owners: RefCell::default(),
            registries: RefCell::default(),
            breakers: RefCell::default(),
            shutdown: RefCell::new(Some(shutdown)),
        })
    }

    /// Handles messages until every sender is dropped.
    pub(crate) async fn run(self: Rc<Self>, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick() => {
                    let now = self.now();
                    self.record_pause(now, self.record_tick(now));
                    self.tick();
                }
            }
        }
    }

    /// Records a pause of this thread when the last tick was too long ago: answers of peers may be
    /// waiting unread, so that their silence during the pause proves nothing.
    fn record_pause(&self, now: Millis, since: Millis) {
        if PAUSE_THRESHOLD <= since {
            self.peers.borrow_mut().record_pause(now, since - Millis::from(TICK_INTERVAL));
            tracing::info!(paused_ms = since.0, "control thread was paused");
        }
    }

    /// Logs each peer that was lost or is back, with the evidence.
    fn log_verdicts(&self, now: Millis) {
        for (peer, evidence) in self.peers.borrow_mut().verdicts(now) {
            let liveness::Evidence { silence, timeout, is_refused, watched, answering, .. } =
                evidence;
            let (silent_ms, live_for_ms) = (silence.0, timeout.0);
            let is_control_heard = evidence.is_control_reachable;
            let message = if evidence.is_live { "peer is back" } else { "peer is lost" };
            tracing::info!(
                %peer, silent_ms, live_for_ms, is_refused, answering, watched, is_control_heard,
                message
            );
        }
    }

    /// Returns the time on the process's clock.
    pub(crate) fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    /// Returns the entry that owns a pool: the first one in rendezvous order that may own it.
    pub(crate) fn owner_of(&self, pool: &id::Pool) -> Option<Entry> {
        self.owners_of(pool, 1).pop()
    }

    /// Returns the owner of a pool and the entries after it in rendezvous order that may own it.
    pub(crate) fn owners_of(&self, pool: &id::Pool, count: usize) -> Vec<Entry> {
        let own = &self.shared.entry.name;
        let able = self.ranked(pool).filter(|entry| self.may_own(&entry.name));
        let mut owners: Vec<_> = able.take(count).collect();
        if owners.is_empty() {
            // The last entry still finishes its requests while it drains.
            let in_force = self.shared.in_force();
            let view = &in_force.config.view;
            owners.extend(view.entries.iter().find(|entry| entry.name == *own).cloned());
        }
        owners
    }

    /// Makes this entry the owner of a pool, with the endpoints that it already knows.
    pub(crate) fn own(self: &Rc<Self>, pool: &id::Pool, backend: &id::Backend) {
        if self.pools.borrow().owns(pool) {
            return;
        }
        let in_force = self.shared.in_force();
        let own = &self.shared.entry.name;
        let now = self.now();
        self.pools.borrow_mut().own(now, pool, backend, own, &in_force.config);
        let suspects = self.suspects.borrow().all(now);
        let event = Event::Suspects(&suspects);
        let effects = self.pools.borrow_mut().step(now, pool, event);
        self.perform(effects);
        let (crashes, poisons) = self.suspects.borrow_mut().all_poison(now);
        let event = Event::Poisons { crashes: &crashes, poisons: &poisons, answered: &[] };
        let effects = self.pools.borrow_mut().step(now, pool, event);
        self.perform(effects);
        let known = self.standby.borrow_mut().take(now, pool);
        let left = self.standby.borrow().departed(now);
        tracing::info!(
            %pool,
            endpoints = known.len(),
            left = left.len(),
            "taking the pool over with the known endpoints"
        );
        let effects = self.pools.borrow_mut().step(now, pool, Event::Departed(&left));
        self.perform(effects);
        for announcement in known {
            let effects = self.pools.borrow_mut().step(now, pool, Event::Announce(announcement));
            self.perform(effects);
        }
    }

    /// Performs the effects that the pools request.
    pub(crate) fn perform(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Preempt { holder, attempt, .. } if holder == self.shared.entry.name => {
                    self.holder.borrow_mut().preempt(attempt);
                }
                Effect::Preempt { pool, holder, attempt } => {
                    let preempt = Preempt { pool, attempt };
                    self.notify(holder, method::PREEMPT, rpc_params![preempt]);
                }
                Effect::Note { pool, note } => notes::record(&self.shared.metrics, &pool, note),
                Effect::RequestSlice { pool, organisation, used } => {
                    let owner = self.shared.entry.name.clone();
                    self.request_slice(Lend { organisation, pool, owner, used });
                }
            }
        }
    }

    /// Puts a configuration in force unless a newer one is.
    pub(crate) fn apply(self: &Rc<Self>, config: &Config) {
        if !self.shared.put_in_force(config) {
            return;
        }
        tracing::info!(revision = %config.revision, view = %config.view.number, "configuration in force");
        self.answers.borrow_mut().record(config);
        checkin::config_applied(self, config.revision);
        let now = self.now();
        let own = &self.shared.entry.name;
        let pools = self.configured_pools();
        let removed = self.peers.borrow_mut().set_view(now, &config.view, own, pools.keys());
        let mut effects = self.pools.borrow_mut().step_all(now, || Event::Config(config));
        for name in removed {
            effects.extend(self.pools.borrow_mut().release_held_by(now, &name));
        }
        self.perform(effects);
        // The view may still name the previous process of this entry, which drained; only a match of
        // the start time applies to this one.
        let started = self.shared.entry.started;
        let mut entries = config.view.entries.iter();
        let is_drained = entries.any(|entry| {
            entry.name == *own && entry.started == started && entry.duty == Duty::Draining
        });
        if is_drained {
            self.drain();
        }
        self.reconcile_owners();
    }

    /// Returns this entry's heartbeat to a peer. Only peers that may own pools or lend budgets get
    /// more than the proof that this entry runs.
    pub(crate) fn heartbeat(&self, to: &id::Entry) -> Heartbeat {
        let in_force = self.shared.in_force();
        let mut heartbeat = Heartbeat {
            from: self.shared.entry.name.clone(),
            view: in_force.config.view.number,
            revision: in_force.config.revision,
            is_confirmed: self.confirmation.borrow().is_confirmed(),
            ready_for: self.ready_for(),
            suspects: Vec::new(),
            crashes: Vec::new(),
            answered: Vec::new(),
            poisons: Vec::new(),
            lent: Vec::new(),
        };
        if self.peers.borrow().is_tracked(to) {
            heartbeat.suspects = self.suspects.borrow().heartbeat_part().to_vec();
            heartbeat.lent = self.lender.borrow_mut().report(self.now());
        }
        let suspects = self.suspects.borrow();
        (heartbeat.crashes, heartbeat.poisons) = suspects.poison_report().clone();
        let answers = self.shared.answers();
        heartbeat.answered = answers.of(self.now(), suspects.suspected_parts());
        heartbeat
    }

    /// Extends the serving time of a process that a leader confirmed, when a majority of the
    /// coordinators of the view is confirmed too and no peer has a newer configuration.
    ///
    /// That the entries agree is not enough: all of them may have an old configuration from the last
    /// snapshot of one member.
    pub(crate) fn extend_by_majority(&self) {
        if !self.confirmation.borrow().is_confirmed() {
            return;
        }
        let in_force = self.shared.in_force();
        let own = &self.shared.entry.name;
        if !in_force.config.view.entries.iter().any(|entry| entry.name == *own) {
            return;
        }
        let majority = self.peers.borrow().majority_heard(self.now());
        if let Some((heard, revision)) = majority
            && revision <= in_force.config.revision
        {
            self.shared.extend_serving(heard);
        }
    }

    /// Returns descriptions of the degraded parts, for the operator.
    pub(crate) fn degraded(&self) -> Vec<String> {
        let now = self.now();
        let is_control_heard = self
            .answered_checkin
            .get()
            .is_some_and(|heard| now.since(heard) < crate::shared::SERVING_DURATION);
        if is_control_heard || self.shared.mode == Mode::StandAlone {
            return Vec::new();
        }
        vec![format!("entry {}: no answer from the control leader", self.shared.entry.name)]
    }

    pub(crate) fn is_owner(&self, pool: &id::Pool) -> bool {
        self.owner_of(pool).is_some_and(|entry| entry.name == self.shared.entry.name)
    }

    fn handle(self: &Rc<Self>, message: Message) {
        match message {
            Message::Acquire { request, reply } => {
                actix_rt::spawn(acquire::acquire(Rc::clone(self), *request, reply));
            }
            Message::Release(release) => self.release(*release),
            Message::Announce(announcement) => self.announce(&announcement),
            Message::Leave(endpoint) => drop(actix_rt::spawn(self.leave(endpoint))),
            Message::Departed { pool, departure } => self.report_departure(&pool, departure),
            Message::Rates(report) => self.report_rates(report),
            Message::Propose { command, reply } => {
                let shell = Rc::clone(self);
                actix_rt::spawn(async move {
                    if reply.send(shell.control.propose(*command).await).is_err() {
                        tracing::debug!("proposal was dropped before its answer");
                    }
                });
            }
            Message::Peer(peer) => self.handle_peer(peer),
            Message::Drain => self.drain(),
            Message::Kill => self.kill(),
        }
    }

    fn handle_peer(self: &Rc<Self>, peer: Peer) {
        let now = self.now();
        match peer {
            Peer::Acquire(acquire, reply) => {
                if !self.is_pool_of(&acquire.request.backend, &acquire.pool) {
                    drop(reply.send(Acquired::Refused(shards::not_a_pool())));
                    return;
                }
                let is_owner = self.is_owner(&acquire.pool);
                if !is_owner || !self.has_confirmed_config() {
                    let view = self.shared.in_force().config.view.number;
                    let owner = self.owner_of(&acquire.pool).filter(|_| !is_owner);
                    let owner = owner.map(|entry| entry.name);
                    tracing::debug!(
                        pool = %acquire.pool,
                        holder = %acquire.holder,
                        ?owner,
                        "rejecting a call: not the pool owner, or configuration not confirmed"
                    );
                    drop(reply.send(Acquired::NotOwner { view, owner }));
                    return;
                }
                self.own(&acquire.pool, &acquire.request.backend);
                let (_, effects) = self.pools.borrow_mut().acquire(
                    now,
                    &acquire.pool,
                    acquire.holder,
                    acquire.request,
                    reply,
                );
                self.perform(effects);
            }
            Peer::Release(release) => self.release_local(*release),
            Peer::Report(holdings) => {
                let pool = holdings.pool.clone();
                let effects = self.pools.borrow_mut().step(now, &pool, Event::Holdings(*holdings));
                self.perform(effects);
            }
            Peer::Preempt(preempt) => self.holder.borrow_mut().preempt(preempt.attempt),
            Peer::Announce(announcement) => self.announce_local(*announcement),
            Peer::Leave(endpoint) => self.leave_local(&endpoint),
            Peer::Rates(report) => self.record_rates(&report),
            Peer::Left(left) => self.merge_departed(&left),
            Peer::AnnounceThrough(announcement) => self.announce_to_owners(&announcement),
            Peer::LeaveThrough(endpoint) => {
                drop(actix_rt::spawn(self.leave_to_owners(endpoint)));
            }
            Peer::Retire(endpoint, reply) => {
                let left = self.leave(endpoint);
                actix_rt::spawn(async move {
                    let _ = reply.send(left.await);
                });
            }
            Peer::Heartbeat(beat, reply) => {
                heartbeat::apply(self, &beat);
                drop(reply.send(self.heartbeat(&beat.from)));
            }
            Peer::Config(held, reply) => {
                let in_force = self.shared.in_force();
                let config = || in_force.config.clone();
                let mut answers = self.answers.borrow_mut();
                match answers.answer(in_force.config.revision, held, config) {
                    Ok(answer) => drop(reply.send(answer)),
                    Err(error) => tracing::error!(%error, "cannot encode the configuration"),
                }
            }
            Peer::Lend(lend, reply) => {
                if let Some(slice) = self.lend(&lend) {
                    let _ = reply.send(slice);
                }
            }
        }
    }

    fn tick(self: &Rc<Self>) {
        let now = self.now();
        let effects = self.pools.borrow_mut().step_all(now, || Event::Tick);
        self.perform(effects);
        self.record_control_answer(now);
        self.log_verdicts(now);
        self.peers.borrow().notify_lost(now);
        self.update_live();
        self.lender.borrow_mut().expire(now);
        self.standby.borrow_mut().expire(now);
        let open = i64::try_from(self.shared.open_count()).unwrap_or(i64::MAX);
        self.shared.metrics.open.set(open);
        self.reconcile_owners();
        if self.shared.mode == Mode::StandAlone {
            self.shared.extend_serving(now);
        }
    }

    /// Updates the list of live serving entries, for callers that ask where to connect.
    fn update_live(&self) {
        let now = self.now();
        let peers = self.peers.borrow();
        let mut live = self.shared.others();
        live.retain(|entry| peers.is_live(now, &entry.name));
        if !self.shared.is_draining() {
            live.push(self.shared.entry.clone());
        }
        self.shared.set_live(live);
    }

    fn kill(&self) {
        if let Some(shutdown) = self.shutdown.borrow_mut().take() {
            shutdown.kill();
        }
    }

    fn drain(self: &Rc<Self>) {
        if let Some(shutdown) = self.shutdown.borrow_mut().take() {
            shutdown.run(Rc::clone(self));
        }
    }
}
