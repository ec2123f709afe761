//! Tests of what an owner's decisions cost while a version move runs.

mod kit;

use std::time::{Duration, Instant};

use kit::{announce_version, config, grants, order, release, request};
use wasabi_protocol::{
    clock::Millis,
    command::Stage,
    id,
    request::{End, Request},
    rpc::Grant,
};
use wasabi_scheduler::pool::{Action, Event, Pool};

/// Endpoints of each version.
const ENDPOINTS: usize = 45;

/// Requests that an endpoint runs at one time.
const CONCURRENCY: u32 = 6;

/// Requests that wait, in each of the three lower tiers.
const WAITING: u64 = 40;

/// Requests that end while the time is taken.
const ENDED: usize = 200;

/// Times that the measurement is made; the least counts, since other processes disturb it.
const ROUNDS: usize = 3;

/// Most that a decision may cost with twice the endpoints, of which half have room and may not be
/// used: both halves are looked at once, and as much again is left for the share.
const FACTOR_MAX: u32 = 4;

/// A pool whose endpoints of the version in use are full.
struct Full {
    pool: Pool,
    running: Vec<(Grant, id::Attempt)>,
    next: u64,
}

impl Full {
    fn new(new_endpoints: usize) -> Self {
        let mut pool = kit::ready(0, 0);
        for index in 0..ENDPOINTS {
            announce_version(&mut pool, 1_000, &format!("o{index}"), CONCURRENCY, "v1");
        }
        for index in 0..new_endpoints {
            announce_version(&mut pool, 1_000, &format!("n{index}"), CONCURRENCY, "v2");
        }
        let mut config = config(2, &["e1"]);
        config.moves = vec![order(Stage::Share(10))];
        pool.step(Millis(1_000), Event::Config(&config));
        let mut full = Self { pool, running: Vec::new(), next: 0 };
        while full.running.len() < ENDPOINTS * CONCURRENCY as usize {
            let before = full.running.len();
            full.ask();
            if full.running.len() == before && 2_000 < full.next {
                break;
            }
        }
        for _ in 0..3 * WAITING {
            full.ask();
        }
        full
    }

    fn request(number: u64) -> Request {
        request(number, 2 + (number % 3) as u8)
    }

    fn ask(&mut self) {
        let ticket = self.next;
        self.next += 1;
        let event = Event::Acquire { ticket, request: Self::request(ticket) };
        let actions = self.pool.step(Millis(1_000), event);
        self.keep(&actions);
    }

    fn keep(&mut self, actions: &[Action]) {
        let granted = grants(actions).into_iter();
        self.running
            .extend(granted.map(|(ticket, grant)| (grant.clone(), Self::request(ticket).attempt)));
    }

    /// Ends requests of the version in use, each replaced by a new one, and returns the time taken.
    fn turn_over(&mut self) -> Duration {
        let started = Instant::now();
        for _ in 0..ENDED {
            let place = self.running.iter().position(|(grant, _)| grant.version.as_str() == "v1");
            let Some(place) = place else { break };
            let (grant, attempt) = self.running.remove(place);
            let actions = self.pool.step(Millis(1_100), release(&grant, attempt, End::Finished));
            self.keep(&actions);
            self.ask();
        }
        started.elapsed()
    }

    fn cost(new_endpoints: usize) -> Duration {
        let mut full = Self::new(new_endpoints);
        let waiting: u32 = full.pool.pressure(Millis(1_100)).waiting.iter().sum();
        println!("{} running, {waiting} waiting", full.running.len());
        assert!(WAITING <= u64::from(waiting), "{waiting} wait");
        (0..ROUNDS).map(|_| full.turn_over()).min().unwrap_or_default()
    }
}

/// Guards against an owner that is busy with nothing else than looking at requests which cannot
/// start, for as long as only endpoints of an unproven version have room.
#[test]
fn room_on_an_unproven_version_does_not_slow_decisions() {
    let without = Full::cost(0);
    let with = Full::cost(ENDPOINTS);
    println!("{ENDED} requests: {without:?} without the new version, {with:?} with it");
    assert!(with < without * FACTOR_MAX, "{with:?} in place of {without:?}");
}
