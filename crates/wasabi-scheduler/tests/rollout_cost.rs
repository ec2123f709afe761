//! Tests of the cost of dispatch decisions during a rollout.

mod common;

use std::time::{Duration, Instant};

use common::{announce_version, config, grants, release, request, rollout};
use wasabi_protocol::{
    clock::Millis,
    command::Stage,
    id,
    request::{End, Request},
    rpc::Grant,
};
use wasabi_scheduler::pool::{Action, Event, Pool};

/// Number of endpoints of each version.
const ENDPOINTS_PER_VERSION: usize = 45;

/// Concurrency of an endpoint.
const CONCURRENCY: u32 = 6;

/// Waiting requests in each of the three lower tiers.
const WAITING_PER_TIER: u64 = 40;

/// Requests that end during the measurement.
const ENDED_REQUESTS: usize = 200;

/// Number of measurements. The shortest one counts, since other processes disturb the others.
const ROUNDS: usize = 3;

/// Maximum cost factor with twice the endpoints, of which the added half have room but must not be
/// used. Scanning both halves costs a factor of two; the rest is left for the accounting of the
/// share.
const SLOWDOWN_FACTOR_MAX: u32 = 4;

/// A pool whose endpoints of the old version are full.
struct FullPool {
    pool: Pool,
    running: Vec<(Grant, id::Attempt)>,
    next: u64,
}

impl FullPool {
    fn new(new_endpoints: usize) -> Self {
        let mut pool = common::ready_pool(0, 0);
        for index in 0..ENDPOINTS_PER_VERSION {
            announce_version(&mut pool, 1_000, &format!("o{index}"), CONCURRENCY, "v1");
        }
        for index in 0..new_endpoints {
            announce_version(&mut pool, 1_000, &format!("n{index}"), CONCURRENCY, "v2");
        }
        let mut config = config(2, &["e1"]);
        config.moves = vec![rollout(Stage::Share(10))];
        pool.step(Millis(1_000), Event::Config(&config));
        let mut full = Self { pool, running: Vec::new(), next: 0 };
        while full.running.len() < ENDPOINTS_PER_VERSION * CONCURRENCY as usize {
            let before = full.running.len();
            full.acquire_next();
            if full.running.len() == before && 2_000 < full.next {
                break;
            }
        }
        for _ in 0..3 * WAITING_PER_TIER {
            full.acquire_next();
        }
        full
    }

    fn request(number: u64) -> Request {
        request(number, 2 + (number % 3) as u8)
    }

    fn acquire_next(&mut self) {
        let ticket = self.next;
        self.next += 1;
        let event = Event::Acquire { ticket, request: Self::request(ticket) };
        let actions = self.pool.step(Millis(1_000), event);
        self.record_grants(&actions);
    }

    fn record_grants(&mut self, actions: &[Action]) {
        let granted = grants(actions).into_iter();
        self.running
            .extend(granted.map(|(ticket, grant)| (grant.clone(), Self::request(ticket).attempt)));
    }

    /// Ends requests of the old version, replaces each with a new one, and returns the time taken.
    fn replace_requests(&mut self) -> Duration {
        let started = Instant::now();
        for _ in 0..ENDED_REQUESTS {
            let place = self.running.iter().position(|(grant, _)| grant.version.as_str() == "v1");
            let Some(place) = place else { break };
            let (grant, attempt) = self.running.remove(place);
            let actions = self.pool.step(Millis(1_100), release(&grant, attempt, End::Finished));
            self.record_grants(&actions);
            self.acquire_next();
        }
        started.elapsed()
    }

    fn cost(new_endpoints: usize) -> Duration {
        let mut full = Self::new(new_endpoints);
        let waiting: u32 = full.pool.pressure(Millis(1_100)).waiting.iter().sum();
        println!("{} running, {waiting} waiting", full.running.len());
        assert!(WAITING_PER_TIER <= u64::from(waiting), "only {waiting} requests wait");
        (0..ROUNDS).map(|_| full.replace_requests()).min().unwrap_or_default()
    }
}

/// Guards against an owner that scans requests which cannot start on every event while only
/// endpoints of an unproven version have room.
#[test]
fn free_endpoints_of_an_unproven_version_do_not_slow_dispatch() {
    let without = FullPool::cost(0);
    let with = FullPool::cost(ENDPOINTS_PER_VERSION);
    println!("{ENDED_REQUESTS} requests: {without:?} without the new version, {with:?} with it");
    assert!(
        with < without * SLOWDOWN_FACTOR_MAX,
        "{with:?} with the new version, {without:?} without it"
    );
}
