//! The state of a pool owner and its reaction to each event.

use fastrand::Rng;
use wasabi_admission::queue::{Item, Pushed, Queue};
use wasabi_protocol::{
    clock::Millis,
    command::Config,
    contract::{TIERS, Tier},
    endpoint::Announcement,
    fault::{Fault, Kind},
    id,
    request::Request,
    rpc::{Evidence, Holdings, Left, Pressure, Suspect},
};
use wasabi_routing::{
    choice::Candidate,
    pace::Tracker,
    quarantine::{self, Permit},
    retry,
};

use super::{
    budget::Budgets,
    endpoint::{PREFILL_RATE_UNKNOWN, Table},
    event::{Action, Event},
    forecast::Forecast,
    reserve::Reserve,
    running::{Ledger, Mark, Running},
    tick::Timers,
    versions::Versions,
    waiting::Waiting,
};

/// Most waiting requests of one pool.
const WAITING_MAX: usize = 4_096;

/// Time before its caller leaves at which a request is refused, so that the refusal is read, in
/// milliseconds: a tick and the way back.
const LEAVING_MARGIN: Millis = Millis(200);

/// Time after which a new owner stops waiting for reports of running grants.
const TAKEOVER: Millis = Millis(500);

/// The owner of one pool.
#[derive(Debug)]
pub struct Pool {
    pub(super) name: id::Pool,
    pub(super) backend: id::Backend,
    pub(super) owner: id::Entry,
    pub(super) next_grant: id::Grant,
    pub(super) revision: id::Revision,
    pub(super) entries: Vec<id::Entry>,
    pub(super) endpoints: Table,
    pub(super) queue: Queue,
    pub(super) requests: Waiting,
    pub(super) running: Ledger,
    pub(super) board: Tracker,
    pub(super) suspects: quarantine::Table,
    pub(super) reserve: Reserve,
    pub(super) retries: retry::Budget,
    pub(super) versions: Versions,
    pub(super) budgets: Budgets,
    pub(super) timers: Timers,
    pub(super) forecast: Forecast,
    pub(super) last_started: [Option<Millis>; TIERS],
    /// Candidates of the decision at hand, kept so that a decision allocates nothing.
    pub(super) candidates: Vec<Candidate>,
    pub(super) turn: usize,
    started: Option<Millis>,
    reported: Vec<id::Entry>,
}

impl Pool {
    /// Returns the owner of a pool that knows no endpoint and no request yet.
    ///
    /// `seed` sets the first grant number and breaks ties, so that a run can be repeated.
    pub fn new(name: id::Pool, backend: id::Backend, owner: id::Entry, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        Self {
            name,
            backend,
            owner,
            // Below 2^53, so that JSON readers that use floating point keep it exact.
            next_grant: id::Grant(rng.u64(1..1 << 52)),
            revision: id::Revision::default(),
            entries: Vec::new(),
            endpoints: Table::default(),
            queue: Queue::new(WAITING_MAX),
            requests: Waiting::default(),
            running: Ledger::default(),
            board: Tracker::default(),
            suspects: quarantine::Table::default(),
            reserve: Reserve::default(),
            retries: retry::Budget::default(),
            versions: Versions::default(),
            budgets: Budgets::default(),
            timers: Timers::default(),
            forecast: Forecast::default(),
            last_started: [None; TIERS],
            candidates: Vec::new(),
            turn: rng.usize(..64),
            started: None,
            reported: Vec::new(),
        }
    }

    /// Returns the name of the pool.
    pub fn name(&self) -> &id::Pool {
        &self.name
    }

    /// Reacts to one event and returns what the shell must do, in order.
    pub fn step(&mut self, now: Millis, event: Event<'_>) -> Vec<Action> {
        if self.started.is_none() {
            self.started = Some(now);
            self.timers.start(now);
        }
        self.notice_pause(now);
        let mut actions = Vec::new();
        match event {
            Event::Config(config) => self.configure(config),
            Event::Announce(announcement) => self.announce(now, announcement),
            Event::Leave { endpoint } => self.leave(now, &endpoint),
            Event::Departed(left) => {
                for left in left {
                    self.left(now, left);
                }
            }
            Event::Acquire { ticket, request } => {
                let organisation = request.organisation.clone();
                let tier = request.tier;
                self.acquire(now, ticket, request, &mut actions);
                self.dispatch(now, &mut actions);
                if tier == Tier::TOP {
                    self.preempt(now, &mut actions);
                }
                if let Some(used) = self.budgets.ask(now, &self.queue, &organisation) {
                    actions.push(Action::RequestBudget { organisation, used });
                }
                return actions;
            }
            Event::Cancel { ticket } => {
                self.queue.remove(ticket);
                self.requests.remove(ticket);
            }
            Event::Release(release) => self.release(now, &release, &mut actions),
            Event::Holdings(holdings) => self.adopt(now, holdings),
            Event::Orphaned { attempts } => self.end_unheld(now, &attempts),
            Event::Suspects(suspects) => self.suspects.merge(now, suspects),
            Event::Budget { organisation, slice } => {
                self.budgets.lend(now, &organisation, &slice);
            }
            Event::Tick => self.tick(now, &mut actions),
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Returns the load of the pool, for other entries.
    pub fn pressure(&self, now: Millis) -> Pressure {
        let mut waiting = [0; TIERS];
        for tier in Tier::all() {
            waiting[tier.index()] = self.queue.waiting(tier) as u32;
        }
        let lowest_started = Tier::all().rev().find(|tier| {
            self.last_started[tier.index()].is_some_and(|at| now.since(at) <= Millis::from_secs(1))
        });
        Pressure {
            pool: self.name.clone(),
            backend: self.backend.clone(),
            waiting,
            running: self.running.by_tier(),
            capacity: self.endpoints.capacity(),
            lowest_started,
        }
    }

    /// Returns why the new version of a running move gets no more requests, if it was stopped.
    pub fn stop_reason(&self) -> Option<&str> {
        self.versions.stopped()
    }

    /// Returns what the versions of a running move showed since the last call.
    pub fn evidence(&mut self) -> Vec<Evidence> {
        self.versions.evidence()
    }

    /// Returns the request fingerprints that are suspected or quarantined here.
    pub fn suspects(&self, now: Millis) -> Vec<Suspect> {
        self.suspects.report(now)
    }

    /// Returns all that is known here of requests that crash endpoints, cleared ones included.
    pub const fn suspect_table(&self) -> &quarantine::Table {
        &self.suspects
    }

    /// Returns whether an attempt holds a grant.
    pub fn has_grant(&self, attempt: id::Attempt) -> bool {
        self.running.contains(attempt)
    }

    /// Returns the endpoints in the pool.
    pub fn endpoints(&self) -> impl Iterator<Item = &Announcement> {
        self.endpoints.slots.iter().map(|slot| &slot.announcement)
    }

    /// Returns the endpoints that left lately, for the next owner.
    pub fn departed(&self, now: Millis) -> Vec<Left> {
        self.endpoints.departed(now)
    }

    /// Returns whether an entry may still hold grants of an earlier owner that it did not report.
    pub(super) fn is_taking_over(&self, now: Millis) -> bool {
        let started = self.started.unwrap_or(now);
        now.since(started) < TAKEOVER
            && (self.entries.is_empty()
                || !self.entries.iter().all(|entry| self.reported.contains(entry)))
    }

    /// Returns whether an owner before this one may have given grants that are reported late.
    pub(super) fn is_new(&self, now: Millis) -> bool {
        now.since(self.started.unwrap_or(now)) < TAKEOVER + TAKEOVER
    }

    fn configure(&mut self, config: &Config) {
        if config.revision < self.revision {
            return;
        }
        self.revision = config.revision;
        self.entries = config.view.entries.iter().map(|entry| entry.name.clone()).collect();
        self.budgets.configure(config);
        self.versions.configure(config, &self.backend, &self.endpoints.slots);
        self.settle_versions();
    }

    fn acquire(&mut self, now: Millis, ticket: u64, request: Request, actions: &mut Vec<Action>) {
        if self.running.has_ended(request.attempt) {
            actions.push(Action::Discard { ticket });
            return;
        }
        let was_admitted = self.discard(request.attempt, actions);
        if !was_admitted && let Err(fault) = self.admit(now, &request) {
            actions.push(Action::Refuse { ticket, fault });
            return;
        }
        let item = self.item(now, ticket, &request);
        match self.queue.push(item) {
            Pushed::Queued => {}
            Pushed::Displaced(shed) => {
                self.requests.remove(shed);
                let message = "the queue is full and more urgent work came; send it again later";
                refuse(actions, shed, Kind::Overloaded, message);
            }
            Pushed::Refused => {
                let message = "the queue is full of work that is at least as urgent";
                return refuse(actions, ticket, Kind::Overloaded, message);
            }
        }
        self.requests.insert(ticket, request);
    }

    /// Returns why a request may not wait here, if it may not.
    fn admit(&mut self, now: Millis, request: &Request) -> Result<(), Fault> {
        if let Permit::Refused { .. } = self.suspects.permit(now, request.fingerprint) {
            let message = "the request crashed endpoints and is held back; change it, or wait";
            return Err(Fault::new(Kind::Quarantined, message));
        }
        if !request.avoid.is_empty() && !self.retries.take_retry(now) {
            let message = "the retry budget is used up; this attempt was not run";
            return Err(Fault::new(Kind::Overloaded, message));
        }
        if let Some(wait) = self.budgets.shortage(now, request, &self.queue) {
            let message = "a limit of the contract is used up; wait, or change the contract";
            return Err(Fault::new(Kind::LimitReached, message).after(wait));
        }
        if let Some(wait) = self.crowded(now, request) {
            let message = "too much work that is at least as urgent waits; come back later";
            return Err(Fault::new(Kind::Overloaded, message).after(wait));
        }
        Ok(())
    }

    fn item(&self, now: Millis, ticket: u64, request: &Request) -> Item {
        let arrived = now - request.waited;
        let rates = self.endpoints.slots.iter().map(|slot| slot.prefill_rate);
        let fastest = rates.reduce(f64::max).unwrap_or(PREFILL_RATE_UNKNOWN);
        let prefill = Millis((f64::from(request.prompt_tokens) / fastest) as u64);
        let span = self.forecast.stream(request) + prefill;
        // A forecast may be wrong, so it never takes more than half of the time that is left.
        let half = Millis(request.remaining.0 / 2);
        let ends = now + (request.remaining - span.min(half));
        let expires = match request.leaves_after {
            Millis::ZERO => ends,
            after => ends.min(arrived + after - prefill - LEAVING_MARGIN),
        };
        Item {
            ticket,
            organisation: request.organisation.clone(),
            tier: request.tier,
            share: request.share,
            tokens: request.tokens(),
            arrived,
            start_by: arrived + (request.first_token - prefill),
            expires,
            deadline: now + request.remaining,
        }
    }

    fn adopt(&mut self, now: Millis, holdings: Holdings) {
        for held in holdings.running {
            let attempt = held.request.attempt;
            if self.running.is_known(attempt) {
                continue;
            }
            self.budgets.adopt(now, &held.request.organisation);
            if let Some(slot) = self.endpoints.get_mut(&held.endpoint) {
                slot.running.push(attempt);
                slot.urgent += u32::from(held.request.tier == Tier::TOP);
                slot.cache.record_sent(now, &held.request.prefix);
            }
            self.running.insert(Running {
                deadline: now + held.request.remaining,
                endpoint: held.endpoint,
                grant: None,
                started: now,
                first_token_at: now,
                prefill_tokens: held.request.prompt_tokens,
                cached: 0,
                load: 0.0,
                side: None,
                mark: Mark::Usual,
                preempted: false,
                overdue: false,
                request: held.request,
            });
        }
        if !self.reported.contains(&holdings.holder) {
            self.reported.push(holdings.holder);
        }
    }
}

/// Adds a refusal of a request of which no byte left.
pub(super) fn refuse(actions: &mut Vec<Action>, ticket: u64, kind: Kind, message: &str) {
    actions.push(Action::Refuse { ticket, fault: Fault::new(kind, message) });
}
