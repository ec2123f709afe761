//! The state of a pool owner and its event handling.

use std::collections::{HashMap, VecDeque};

use fastrand::Rng;
use wasabi_admission::queue::{Item, Pushed, Queue};
use wasabi_protocol::{
    clock::Millis,
    command::Config,
    contract::{TIERS, Tier},
    endpoint::Announcement,
    fault::{Fault, Kind},
    fingerprint::{Body, Part},
    id,
    request::{Patience, Request},
    rpc::{Crash, Departure, Evidence, Holdings, Poison, PoolLoad, Suspect},
};
use wasabi_routing::{
    choice::Candidate,
    pace::Tracker,
    poison,
    quarantine::{self, Permit},
    rate, retry,
};

use super::{
    budget::Budgets,
    crash::{Note, Unsettled},
    endpoint::{DEFAULT_PREFILL_TOKENS_PER_MS, Endpoints},
    event::{Action, Event},
    forecast::Forecast,
    load::Meter,
    reservation::Reservation,
    running::{DispatchClass, Running, RunningAttempts},
    tick::Timers,
    versions::Versions,
    waiting::WaitingRequests,
};

/// Maximum number of waiting requests in a pool.
const WAITING_REQUESTS_MAX: usize = 4_096;

/// Time before its caller disconnects at which a request is refused, so that the refusal still
/// arrives: one tick plus the network delay.
const DISCONNECT_MARGIN: Millis = Millis(200);

/// Time after which a new owner no longer waits for reports of running attempts.
const TAKEOVER_TIMEOUT: Millis = Millis(500);

/// The owner of one pool.
#[derive(Debug)]
pub struct Pool {
    pub(super) name: id::Pool,
    pub(super) backend: id::Backend,
    pub(super) owner: id::Entry,
    pub(super) next_grant: id::Grant,
    pub(super) revision: id::Revision,
    pub(super) entries: Vec<id::Entry>,
    pub(super) endpoints: Endpoints,
    /// The rates that endpoints named.
    pub(super) rates: rate::Table,
    pub(super) queue: Queue,
    pub(super) requests: WaitingRequests,
    pub(super) running: RunningAttempts,
    pub(super) pace_tracker: Tracker,
    pub(super) suspects: quarantine::Table,
    /// Parts of prompts that crash endpoints.
    pub(super) poison: poison::Table,
    /// Crashes whose broken connections are still being reported, by endpoint.
    pub(super) crashes: HashMap<id::Endpoint, Unsettled>,
    /// Requests whose endpoints crashed before their answers began, with their parts.
    pub(super) crash_suspects: VecDeque<(Body, Vec<Part>)>,
    pub(super) reservation: Reservation,
    pub(super) retries: retry::Budget,
    pub(super) versions: Versions,
    pub(super) budgets: Budgets,
    pub(super) timers: Timers,
    pub(super) forecast: Forecast,
    pub(super) meter: Meter,
    pub(super) last_started: [Option<Millis>; TIERS],
    /// Buffer for the candidates of a decision, reused to avoid allocations.
    pub(super) candidates: Vec<Candidate>,
    pub(super) tie_breaker: usize,
    /// What the driver has not logged yet.
    pub(super) notes: Vec<Note>,
    started_at: Option<Millis>,
    reported_holders: Vec<id::Entry>,
}

impl Pool {
    /// Creates the owner of a pool without endpoints or requests.
    ///
    /// `seed` determines the first grant id and how ties are broken, so that runs are reproducible.
    pub fn new(name: id::Pool, backend: id::Backend, owner: id::Entry, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let poison = poison::Table::new(name.as_str());
        Self {
            name,
            backend,
            owner,
            // Below 2^53, so that JSON parsers with floating-point numbers represent it exactly.
            next_grant: id::Grant(rng.u64(1..1 << 52)),
            revision: id::Revision::default(),
            entries: Vec::new(),
            endpoints: Endpoints::default(),
            rates: rate::Table::default(),
            queue: Queue::new(WAITING_REQUESTS_MAX),
            requests: WaitingRequests::default(),
            running: RunningAttempts::default(),
            pace_tracker: Tracker::default(),
            suspects: quarantine::Table::default(),
            poison,
            crashes: HashMap::new(),
            crash_suspects: VecDeque::new(),
            reservation: Reservation::default(),
            retries: retry::Budget::default(),
            versions: Versions::default(),
            budgets: Budgets::default(),
            timers: Timers::default(),
            forecast: Forecast::default(),
            meter: Meter::default(),
            last_started: [None; TIERS],
            candidates: Vec::new(),
            tie_breaker: rng.usize(..64),
            notes: Vec::new(),
            started_at: None,
            reported_holders: Vec::new(),
        }
    }

    /// Returns the name of the pool.
    pub fn name(&self) -> &id::Pool {
        &self.name
    }

    /// Handles an event and returns the actions that the driver must carry out, in order.
    pub fn step(&mut self, now: Millis, event: Event<'_>) -> Vec<Action> {
        let actions = self.handle(now, event);
        self.meter.record_actions(&actions);
        actions
    }

    fn handle(&mut self, now: Millis, event: Event<'_>) -> Vec<Action> {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.timers.start(now);
        }
        self.detect_pause(now);
        let mut actions = Vec::new();
        match event {
            Event::Config(config) => self.configure(config),
            Event::Announce(announcement) => self.announce(now, announcement),
            Event::Leave { endpoint } => self.leave(now, &endpoint),
            Event::Departed(departures) => {
                for departure in departures {
                    self.apply_departure(now, departure);
                }
            }
            Event::Rates(rates) => self.record_rates(now, rates),
            Event::Acquire { ticket, request } => {
                let organisation = request.organisation.clone();
                let tier = request.tier;
                self.acquire(now, ticket, request, &mut actions);
                self.dispatch(now, &mut actions);
                if tier == Tier::TOP {
                    self.preempt(now, &mut actions);
                }
                if let Some(used) = self.budgets.slice_request(now, &self.queue, &organisation) {
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
            Event::Orphaned { attempts } => self.end_orphaned(now, &attempts),
            Event::Suspects(suspects) => self.suspects.merge(now, suspects),
            Event::Poisons { crashes, poisons, answered } => {
                self.poison.merge(now, crashes, poisons, answered);
            }
            Event::Budget { organisation, slice } => {
                self.budgets.add_slice(now, &organisation, &slice);
            }
            Event::Tick => self.tick(now, &mut actions),
        }
        self.note_poison();
        self.dispatch(now, &mut actions);
        actions
    }

    /// Returns the load of the pool, which is reported to other entries.
    pub fn pressure(&self, now: Millis) -> PoolLoad {
        let mut waiting = [0; TIERS];
        for tier in Tier::all() {
            waiting[tier.index()] = self.queue.waiting(tier) as u32;
        }
        let lowest_started = Tier::all().rev().find(|tier| {
            self.last_started[tier.index()].is_some_and(|at| now.since(at) <= Millis::from_secs(1))
        });
        PoolLoad {
            pool: self.name.clone(),
            backend: self.backend.clone(),
            waiting,
            running: self.running.by_tier(),
            capacity: self.endpoints.capacity(),
            lowest_started,
        }
    }

    /// Returns why this owner stopped the new version of the running rollout, if it did.
    pub fn stop_reason(&self) -> Option<&str> {
        self.versions.stop_reason()
    }

    /// Returns the evidence about the versions of the running rollout since the last call.
    pub fn evidence(&mut self) -> Vec<Evidence> {
        self.versions.evidence()
    }

    /// Returns the request fingerprints that this owner suspects or quarantines.
    pub fn suspects(&self, now: Millis) -> Vec<Suspect> {
        self.suspects.report(now)
    }

    /// Returns all records of requests that crash endpoints, including cleared ones.
    pub const fn suspect_table(&self) -> &quarantine::Table {
        &self.suspects
    }

    /// Returns what this owner knows of parts of prompts that crash endpoints, at most `limit` crashes
    /// and findings.
    pub fn report_poison(&mut self, now: Millis, limit: usize) -> (Vec<Crash>, Vec<Poison>) {
        (self.poison.report_crashes(now, limit), self.poison.report_findings(now, limit))
    }

    /// Returns whether an attempt holds a grant of the pool.
    pub fn has_grant(&self, attempt: id::Attempt) -> bool {
        self.running.contains(attempt)
    }

    /// Returns the announcements of the current endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Announcement> {
        self.endpoints.list.iter().map(|endpoint| &endpoint.announcement)
    }

    /// Returns the recently departed endpoints, for the next owner.
    pub fn departed(&self, now: Millis) -> Vec<Departure> {
        self.endpoints.departed(now)
    }

    /// Returns whether an entry may still hold unreported grants of an earlier owner.
    pub(super) fn is_taking_over(&self, now: Millis) -> bool {
        let started = self.started_at.unwrap_or(now);
        now.since(started) < TAKEOVER_TIMEOUT
            && (self.entries.is_empty()
                || !self.entries.iter().all(|entry| self.reported_holders.contains(entry)))
    }

    /// Returns whether late reports of grants of an earlier owner may still arrive.
    pub(super) fn is_new_owner(&self, now: Millis) -> bool {
        now.since(self.started_at.unwrap_or(now)) < TAKEOVER_TIMEOUT + TAKEOVER_TIMEOUT
    }

    fn configure(&mut self, config: &Config) {
        if config.revision < self.revision {
            return;
        }
        self.revision = config.revision;
        self.entries = config.view.entries.iter().map(|entry| entry.name.clone()).collect();
        self.budgets.configure(config);
        self.versions.configure(config, &self.backend, &self.endpoints.list);
        self.update_versions();
    }

    fn acquire(&mut self, now: Millis, ticket: u64, request: Request, actions: &mut Vec<Action>) {
        if self.running.has_ended(request.attempt) {
            actions.push(Action::Discard { ticket });
            return;
        }
        if let Err(fault) = self.check_room(now, request.patience) {
            actions.push(Action::Refuse { ticket, fault });
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
                let message = "the queue is full and a more urgent request arrived; retry later";
                refuse(actions, shed, Kind::Overloaded, message);
            }
            Pushed::Refused => {
                let message =
                    "the queue is full of requests that are at least as urgent; retry later";
                return refuse(actions, ticket, Kind::Overloaded, message);
            }
        }
        self.requests.insert(ticket, request);
    }

    /// Checks whether a request may start or wait here, and returns the fault if its holder must ask
    /// another pool.
    fn check_room(&self, now: Millis, patience: Patience) -> Result<(), Fault> {
        let must_leave = match patience {
            Patience::Queue => false,
            Patience::UnlessEmpty => self.endpoints.list.is_empty(),
            Patience::UnlessFull => !self.has_room(now, self.is_taking_over(now)),
        };
        if !must_leave {
            return Ok(());
        }
        let message = "no endpoint of this pool has room; another pool may have";
        Err(Fault::new(Kind::Overloaded, message))
    }

    /// Checks whether a request may be queued, and returns the fault if not.
    fn admit(&mut self, now: Millis, request: &Request) -> Result<(), Fault> {
        if let Permit::Refused { .. } = self.suspects.permit(now, request.fingerprint) {
            let message =
                "the request is quarantined because it crashed endpoints; change it or retry later";
            return Err(Fault::new(Kind::Quarantined, message));
        }
        if let Some(fault) = self.refuse_poison(now, request) {
            return Err(fault);
        }
        if !request.avoid.is_empty() && !self.retries.take_retry(now) {
            let message = "the retry budget is exhausted; this attempt was not run";
            return Err(Fault::new(Kind::Overloaded, message));
        }
        if let Some(wait) = self.budgets.token_wait(now, request, &self.queue) {
            let message = "a contract limit is exhausted; retry later or change the contract";
            return Err(Fault::new(Kind::LimitReached, message).after(wait));
        }
        if let Some(wait) = self.overload_wait(now, request) {
            let message =
                "the pool is overloaded with requests that are at least as urgent; retry later";
            return Err(Fault::new(Kind::Overloaded, message).after(wait));
        }
        Ok(())
    }

    fn item(&self, now: Millis, ticket: u64, request: &Request) -> Item {
        let arrived = now - request.waited;
        let rates = self.endpoints.list.iter().map(|endpoint| endpoint.prefill_rate);
        let fastest = rates.reduce(f64::max).unwrap_or(DEFAULT_PREFILL_TOKENS_PER_MS);
        let prefill = Millis((f64::from(request.prompt_tokens) / fastest) as u64);
        let span = self.forecast.stream_time(request) + prefill;
        // The forecast may be wrong, so it uses at most half of the remaining time.
        let half_remaining = Millis(request.remaining.0 / 2);
        let ends = now + (request.remaining - span.min(half_remaining));
        let expires = match request.leaves_after {
            Millis::ZERO => ends,
            after => ends.min(arrived + after - prefill - DISCONNECT_MARGIN),
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
            if let Some(endpoint) = self.endpoints.get_mut(&held.endpoint) {
                endpoint.running.push(attempt);
                endpoint.tier0_running += u32::from(held.request.tier == Tier::TOP);
                endpoint.cache.record_sent(now, &held.request.prefix);
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
                class: DispatchClass::Regular,
                preempted: false,
                counted_overdue: false,
                request: held.request,
            });
        }
        if !self.reported_holders.contains(&holdings.holder) {
            self.reported_holders.push(holdings.holder);
        }
    }
}

/// Adds the refusal of a request that was not sent to any endpoint.
pub(super) fn refuse(actions: &mut Vec<Action>, ticket: u64, kind: Kind, message: &str) {
    actions.push(Action::Refuse { ticket, fault: Fault::new(kind, message) });
}
