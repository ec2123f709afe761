//! The state of a pool owner and its reaction to each event.

use std::collections::HashMap;

use fastrand::Rng;
use wasabi_admission::queue::{Item, Pushed, Queue};
use wasabi_protocol::{
    clock::Millis,
    command::Config,
    contract::{TIERS, Tier},
    endpoint::Announcement,
    fault::{Fault, Kind},
    id,
    request::{End, Request},
    rpc::{Evidence, Holdings, Pressure, Release, Suspect},
};

use super::{
    endpoint::{Announced, Table},
    event::{Action, Event},
};

/// Most waiting requests of one pool.
const WAITING_MAX: usize = 4_096;

/// Time after its deadline at which an attempt that was never released is counted as ended.
///
/// Holders end attempts at the deadline; only a lost release message leaves one behind.
const RELEASE_LATE: Millis = Millis::from_secs(5);

/// Time without any endpoint after which requests are refused instead of kept waiting.
///
/// Endpoints announce every second, so a new owner knows all of them well within this time.
const NO_ENDPOINT_AFTER: Millis = Millis::from_secs(3);

/// Time after which a new owner stops waiting for reports of running grants.
const TAKEOVER: Millis = Millis(500);

/// The owner of one pool.
#[derive(Debug)]
pub struct Pool {
    pub(super) name: id::Pool,
    pub(super) backend: id::Backend,
    pub(super) owner: id::Entry,
    pub(super) next_grant: id::Grant,
    pub(super) config: Settled,
    pub(super) endpoints: Table,
    pub(super) queue: Queue,
    pub(super) requests: HashMap<u64, Request>,
    pub(super) running: HashMap<id::Attempt, Running>,
    pub(super) last_started: [Option<Millis>; TIERS],
    started: Option<Millis>,
    had_endpoint: Millis,
    reported: Vec<id::Entry>,
}

/// What the pool keeps of the configuration in force.
#[derive(Debug, Default)]
pub(super) struct Settled {
    pub(super) revision: id::Revision,
    pub(super) entries: Vec<id::Entry>,
    pub(super) banned: Vec<id::Version>,
}

/// An attempt that holds a grant.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) endpoint: id::Endpoint,
    pub(super) tier: Tier,
    pub(super) deadline: Millis,
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
            config: Settled::default(),
            endpoints: Table::default(),
            queue: Queue::new(WAITING_MAX),
            requests: HashMap::new(),
            running: HashMap::new(),
            last_started: [None; TIERS],
            started: None,
            had_endpoint: Millis::ZERO,
            reported: Vec::new(),
        }
    }

    /// Reacts to one event and returns what the shell must do, in order.
    pub fn step(&mut self, now: Millis, event: Event<'_>) -> Vec<Action> {
        if self.started.is_none() {
            self.started = Some(now);
            self.had_endpoint = now;
        }
        let mut actions = Vec::new();
        match event {
            Event::Config(config) => self.configure(config),
            Event::Announce(announcement) => self.announce(now, announcement),
            Event::Leave { endpoint } => {
                self.endpoints.leave(now, &endpoint);
            }
            Event::Acquire { ticket, request } => {
                self.acquire(now, ticket, request, &mut actions);
            }
            Event::Cancel { ticket } => {
                self.queue.remove(ticket);
                self.requests.remove(&ticket);
            }
            Event::Release(release) => self.release(&release),
            Event::Holdings(holdings) => self.adopt(now, holdings),
            Event::Suspects(_) | Event::Budget { .. } => {}
            Event::Tick => self.tick(now, &mut actions),
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Returns the load of the pool, for other entries.
    pub fn pressure(&self, now: Millis) -> Pressure {
        let mut running = [0; TIERS];
        for attempt in self.running.values() {
            running[attempt.tier.index()] += 1;
        }
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
            running,
            capacity: self.endpoints.slots.iter().map(|slot| slot.bound.limit()).sum(),
            lowest_started,
        }
    }

    /// Returns what the versions of running moves showed since the last call.
    pub fn evidence(&mut self) -> Vec<Evidence> {
        Vec::new()
    }

    /// Returns the request fingerprints that are suspected or quarantined here.
    pub fn suspects(&self, _now: Millis) -> Vec<Suspect> {
        Vec::new()
    }

    /// Returns the endpoints in the pool.
    pub fn endpoints(&self) -> impl Iterator<Item = &Announcement> {
        self.endpoints.slots.iter().map(|slot| &slot.announcement)
    }

    /// Returns whether an entry may still hold grants of an earlier owner.
    pub(super) fn is_taking_over(&self, now: Millis) -> bool {
        let started = self.started.unwrap_or(now);
        if TAKEOVER <= now.since(started) {
            return false;
        }
        self.config.entries.is_empty()
            || !self.config.entries.iter().all(|entry| self.reported.contains(entry))
    }

    fn configure(&mut self, config: &Config) {
        if config.revision < self.config.revision {
            return;
        }
        self.config = Settled {
            revision: config.revision,
            entries: config.view.entries.iter().map(|entry| entry.name.clone()).collect(),
            banned: config
                .banned
                .iter()
                .filter(|(backend, _)| *backend == self.backend)
                .map(|(_, version)| version.clone())
                .collect(),
        };
    }

    fn announce(&mut self, now: Millis, announcement: Announcement) {
        if announcement.backend != self.backend {
            return;
        }
        let name = announcement.name.clone();
        if let Announced::Joined = self.endpoints.announce(now, announcement)
            && let Some(slot) = self.endpoints.slots.last_mut()
        {
            // Attempts that outlived a silence of the endpoint still take up its capacity.
            let attempts = self.running.iter().filter(|(_, running)| running.endpoint == name);
            slot.running = attempts.map(|(attempt, _)| *attempt).collect();
        }
    }

    fn acquire(&mut self, now: Millis, ticket: u64, request: Request, actions: &mut Vec<Action>) {
        let arrived = now - request.waited;
        let item = Item {
            ticket,
            organisation: request.organisation.clone(),
            tier: request.tier,
            share: request.share,
            tokens: request.tokens(),
            arrived,
            first_token_by: arrived + request.first_token,
            deadline: now + request.remaining,
        };
        match self.queue.push(item) {
            Pushed::Queued => {}
            Pushed::Displaced(shed) => {
                self.requests.remove(&shed);
                let message = "the queue is full and more urgent work came; send it again later";
                refuse(actions, shed, Kind::Overloaded, message);
            }
            Pushed::Refused => {
                let message = "the queue is full of work that is at least as urgent";
                refuse(actions, ticket, Kind::Overloaded, message);
                return;
            }
        }
        self.requests.insert(ticket, request);
    }

    fn release(&mut self, release: &Release) {
        let Some(running) = self.running.remove(&release.attempt) else { return };
        self.free(&release.attempt, &running);
        if release.report.end == End::Unreachable
            && let Some(index) = self.endpoints.find(&release.endpoint)
        {
            // The endpoint is tried again only after it announces itself once more.
            self.endpoints.slots[index].unreachable = true;
        }
    }

    fn adopt(&mut self, now: Millis, holdings: Holdings) {
        for held in holdings.running {
            let attempt = held.request.attempt;
            if self.running.contains_key(&attempt) {
                continue;
            }
            if let Some(index) = self.endpoints.find(&held.endpoint) {
                self.endpoints.slots[index].running.push(attempt);
            }
            let running = Running {
                endpoint: held.endpoint,
                tier: held.request.tier,
                deadline: now + held.request.remaining,
            };
            self.running.insert(attempt, running);
        }
        if !self.reported.contains(&holdings.holder) {
            self.reported.push(holdings.holder);
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.endpoints.expire(now);
        let late: Vec<_> = self
            .running
            .iter()
            .filter(|(_, running)| running.deadline + RELEASE_LATE <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in late {
            if let Some(running) = self.running.remove(&attempt) {
                self.free(&attempt, &running);
            }
        }
        for item in self.queue.expire(now) {
            self.requests.remove(&item.ticket);
            let message = "the deadline passed while the request waited; nothing ran";
            refuse(actions, item.ticket, Kind::DeadlineInQueue, message);
        }
        if self.endpoints.slots.iter().any(|slot| self.is_offered(slot)) {
            self.had_endpoint = now;
        } else if NO_ENDPOINT_AFTER <= now.since(self.had_endpoint) {
            let tickets: Vec<_> = self.requests.keys().copied().collect();
            for ticket in tickets {
                self.queue.remove(ticket);
                self.requests.remove(&ticket);
                let message = "no endpoint provides this model or service now";
                refuse(actions, ticket, Kind::NoEndpoint, message);
            }
        }
    }

    fn free(&mut self, attempt: &id::Attempt, running: &Running) {
        let Some(index) = self.endpoints.find(&running.endpoint) else { return };
        let on_slot = &mut self.endpoints.slots[index].running;
        if let Some(position) = on_slot.iter().position(|other| other == attempt) {
            on_slot.swap_remove(position);
        }
    }
}

/// Adds a refusal of a request of which no byte left.
pub(super) fn refuse(actions: &mut Vec<Action>, ticket: u64, kind: Kind, message: &str) {
    actions.push(Action::Refuse { ticket, fault: Fault::new(kind, message) });
}
