//! The pool owner as a scheduling policy of a simulated run.

use std::collections::BTreeMap;

use wasabi_admission::lender::Lender;
use wasabi_protocol::{
    clock::Millis,
    command::Config,
    contract::{Contract, Limits},
    endpoint::Announcement,
    fault::Ran,
    id,
    request::{End, Report, Request},
    rpc::{Grant, Holdings, Release, Running},
};
use wasabi_scheduler::pool::{Action, Event, Pool};

use crate::policy::{Command, Policy};

/// Time until holders detect that the owner has failed.
const FAILOVER_DELAY: Millis = Millis(1_000);

/// Maximum number of attempts per request.
const ATTEMPTS_MAX: u32 = 4;

/// A pool owner, its budget lender, and the requests and grants known to the holders.
#[derive(Debug)]
pub struct Owner {
    pool: Pool,
    lender: Lender,
    limits: Limits,
    down_until: Option<Millis>,
    waiting: BTreeMap<u64, (Request, Millis)>,
    granted: BTreeMap<id::Attempt, (Request, Grant, Millis)>,
}

impl Owner {
    /// Creates a pool owner whose contracts do not limit the load of a run.
    pub fn new(seed: u64) -> Self {
        let limits = Limits {
            requests_per_s: 5_000,
            tokens_per_s: 10_000_000,
            concurrency: 4_000,
            burst: None,
        };
        Self {
            pool: pool(Millis::ZERO, seed, &limits),
            lender: Lender::new(),
            limits,
            down_until: None,
            waiting: BTreeMap::new(),
            granted: BTreeMap::new(),
        }
    }

    fn step(&mut self, now: Millis, event: Event<'_>) -> Vec<Command> {
        if self.down_until.is_some() {
            return Vec::new();
        }
        let actions = self.pool.step(now, event);
        self.apply_actions(now, actions)
    }

    fn apply_actions(&mut self, now: Millis, actions: Vec<Action>) -> Vec<Command> {
        let mut commands = Vec::new();
        for action in actions {
            match action {
                Action::Grant { ticket, grant } => {
                    let Some((request, _)) = self.waiting.remove(&ticket) else { continue };
                    let digits = grant.endpoint.as_str().trim_start_matches("engine");
                    let engine = digits.parse().unwrap_or(0);
                    let bounds = (grant.first_token_bound, grant.between_tokens_bound);
                    self.granted.insert(request.attempt, (request, grant, now));
                    commands.push(Command::Start { ticket, engine, bounds });
                }
                Action::Refuse { ticket, .. } => {
                    self.waiting.remove(&ticket);
                    commands.push(Command::Refuse { ticket });
                }
                Action::Discard { .. } => {}
                Action::Preempt { attempt, .. } => commands.push(Command::Preempt { attempt }),
                Action::RequestBudget { organisation, used } => {
                    let name = pool_name();
                    let slice = {
                        let borrower = (&name, &id::Entry::from("owner"));
                        self.lender.lend(now, &organisation, &self.limits, borrower, &used)
                    };
                    let more = self.pool.step(now, Event::Budget { organisation, slice });
                    commands.extend(self.apply_actions(now, more));
                }
            }
        }
        commands
    }

    fn take_over(&mut self, now: Millis) -> Vec<Command> {
        self.down_until = None;
        self.pool = pool(now, now.0, &self.limits);
        let running = self.granted.values().map(|(request, grant, started)| {
            let mut request = request.clone();
            request.remaining = request.remaining - now.since(*started);
            Running { request, endpoint: grant.endpoint.clone() }
        });
        let holdings = Holdings {
            pool: pool_name(),
            holder: "e1".into(),
            running: running.collect(),
            asking: None,
        };
        let mut commands = self.step(now, Event::Holdings(holdings));
        for (ticket, (request, queued_at)) in self.waiting.clone() {
            let mut request = request;
            request.waited = request.waited + now.since(queued_at);
            request.remaining = request.remaining - now.since(queued_at);
            commands.extend(self.step(now, Event::Acquire { ticket, request }));
        }
        commands
    }
}

impl Policy for Owner {
    fn announce(&mut self, now: Millis, announcement: Announcement) -> Vec<Command> {
        self.step(now, Event::Announce(announcement))
    }

    fn acquire(&mut self, now: Millis, ticket: u64, request: Request) -> Vec<Command> {
        self.waiting.insert(ticket, (request.clone(), now));
        self.step(now, Event::Acquire { ticket, request })
    }

    fn release(&mut self, now: Millis, request: &Request, report: Report) -> Vec<Command> {
        let Some((request, grant, _)) = self.granted.remove(&request.attempt) else {
            return Vec::new();
        };
        let release = Release {
            pool: grant.pool,
            owner: grant.owner,
            grant: grant.grant,
            attempt: request.attempt,
            endpoint: grant.endpoint,
            route: request.route,
            version: grant.version,
            report,
            answered: Vec::new(),
        };
        self.step(now, Event::Release(release))
    }

    fn tick(&mut self, now: Millis) -> Vec<Command> {
        if self.down_until.is_some_and(|until| until <= now) {
            return self.take_over(now);
        }
        self.step(now, Event::Tick)
    }

    fn fail_over(&mut self, now: Millis) {
        self.down_until = Some(now + FAILOVER_DELAY);
    }

    fn should_retry(&self, request: &Request, attempts: u32, end: End, tokens: u32) -> bool {
        tokens == 0 && attempts < ATTEMPTS_MAX && (request.idempotent || end.ran() == Ran::NotRun)
    }
}

fn pool_name() -> id::Pool {
    "chat/north/0".into()
}

fn pool(now: Millis, seed: u64, limits: &Limits) -> Pool {
    let mut pool = Pool::new(pool_name(), "chat".into(), "e1".into(), seed);
    let contracts = (0..5).map(|index| Contract {
        organisation: format!("org{index}").into(),
        token_digests: Vec::new(),
        share: 1,
        limits: *limits,
        routes: Vec::new(),
    });
    let config =
        Config { revision: id::Revision(1), contracts: contracts.collect(), ..Config::default() };
    pool.step(now, Event::Config(&config));
    pool
}
