//! Measures the latency of a pool owner's decisions, and the memory per endpoint, organisation and
//! request.

use std::{
    fs,
    time::{Duration, Instant},
};

use argh::FromArgs;
use fastrand::Rng;
use wasabi_bench::{
    engine::announcement,
    traffic::{self, User},
};
use wasabi_protocol::{
    clock::Millis,
    id,
    request::{End, Report, Request},
    rpc::{Grant, Release},
};
use wasabi_scheduler::pool::{Action, Event, Pool};

/// Number of endpoints in a full pool.
const FULL_POOL_ENDPOINTS: usize = 64;

/// Measures decision latency and memory use on this machine.
#[derive(FromArgs)]
struct Options {
    /// number of decisions per case
    #[argh(option, default = "200000")]
    decisions: usize,
}

struct PoolState {
    pool: Pool,
    granted: Vec<(Request, Grant)>,
    waiting: Vec<Request>,
}

/// Latencies of the steps of one case, in nanoseconds.
#[derive(Default)]
struct Times {
    acquire: Vec<u32>,
    release: Vec<u32>,
}

fn main() {
    let options: Options = argh::from_env();
    memory();
    println!("endpoints, pools, organisations, state | acquire mean/p99 us | release mean/p99 us");
    for endpoints in [5, 20, 40, FULL_POOL_ENDPOINTS] {
        for (load, name) in [(0.6, "places free"), (1.0, "saturated")] {
            case(&options, endpoints, 1, 5, load, name);
        }
    }
    case(&options, FULL_POOL_ENDPOINTS, 157, 360, 0.6, "places free");
    case(&options, FULL_POOL_ENDPOINTS, 157, 360, 1.0, "saturated");
}

fn request(rng: &mut Rng, number: u64, organisations: u64) -> Request {
    let mut request = traffic::job(rng, User::Kozani, number, 0).request;
    request.attempt = id::Attempt(number.into());
    request.organisation = format!("org{}", rng.u64(..organisations)).into();
    request.remaining = Millis(100_000_000);
    request.first_token = Millis(50_000_000);
    request
}

fn pool_state(rng: &mut Rng, endpoints: usize, number: usize) -> PoolState {
    let name = format!("chat/north/{number}");
    let mut pool = Pool::new(name.as_str().into(), "chat".into(), "e1".into(), rng.u64(..));
    pool.step(Millis::ZERO, Event::Tick);
    for index in 0..endpoints {
        pool.step(Millis(1_000), Event::Announce(announcement(index, 1, 1.0, Default::default())));
    }
    PoolState { pool, granted: Vec::new(), waiting: Vec::new() }
}

fn case(
    options: &Options,
    endpoints: usize,
    pools: usize,
    organisations: u64,
    load: f64,
    name: &str,
) {
    let mut rng = Rng::with_seed(5);
    let mut states: Vec<_> =
        (0..pools).map(|number| pool_state(&mut rng, endpoints, number)).collect();
    let slots = endpoints * 16;
    let mut number = 1;
    // In the saturated case, twice as many requests are queued as there are slots.
    let target = if load < 1.0 { (slots as f64 * load) as usize } else { slots * 3 };
    let mut times = Times::default();
    for state in &mut states {
        while state.granted.len() + state.waiting.len() < target {
            acquire(state, request(&mut rng, number, organisations), &mut Times::default());
            number += 1;
        }
    }
    for _ in 0..options.decisions {
        let state = &mut states[rng.usize(..pools)];
        release(state, &mut rng, &mut times);
        acquire(state, request(&mut rng, number, organisations), &mut times);
        number += 1;
    }
    println!(
        "{}, {pools}, {organisations}, {name} | {} | {}",
        endpoints * pools,
        summary(&mut times.acquire),
        summary(&mut times.release),
    );
}

fn acquire(state: &mut PoolState, request: Request, times: &mut Times) {
    let ticket = request.attempt.0 as u64;
    let event = Event::Acquire { ticket, request: request.clone() };
    state.waiting.push(request);
    let started = Instant::now();
    let actions = state.pool.step(Millis(1_500), event);
    times.acquire.push(nanos(started.elapsed()));
    apply_actions(state, actions);
}

fn release(state: &mut PoolState, rng: &mut Rng, times: &mut Times) {
    if state.granted.is_empty() {
        return;
    }
    let (request, grant) = state.granted.swap_remove(rng.usize(..state.granted.len()));
    let report = Report {
        end: End::Finished,
        first_token: Some(Millis(u64::from(request.prompt_tokens) / 8)),
        stream: Millis(u64::from(request.output_tokens) * 20),
        output_tokens: request.output_tokens,
        prompt_tokens: request.prompt_tokens,
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
    let started = Instant::now();
    let actions = state.pool.step(Millis(1_500), Event::Release(release));
    times.release.push(nanos(started.elapsed()));
    apply_actions(state, actions);
}

fn apply_actions(state: &mut PoolState, actions: Vec<Action>) {
    for action in actions {
        let (ticket, grant) = match action {
            Action::Grant { ticket, grant } => (ticket, Some(grant)),
            Action::Refuse { ticket, .. } => (ticket, None),
            Action::Discard { .. } | Action::Preempt { .. } | Action::RequestBudget { .. } => {
                continue;
            }
        };
        let found = state.waiting.iter().rposition(|request| request.attempt.0 as u64 == ticket);
        let Some(position) = found else { continue };
        let request = state.waiting.swap_remove(position);
        state.granted.extend(grant.map(|grant| (request, grant)));
    }
}

/// Prints the growth of the resident set per endpoint, request and organisation.
fn memory() {
    let mut rng = Rng::with_seed(5);
    let before = resident_kib();
    let states: Vec<_> =
        (0..157).map(|number| pool_state(&mut rng, FULL_POOL_ENDPOINTS, number)).collect();
    print_memory("endpoint without prefixes", before, 157 * FULL_POOL_ENDPOINTS);

    let mut pool = Pool::new("chat/north/0".into(), "chat".into(), "e1".into(), 1);
    let before = resident_kib();
    for number in 0..4_000 {
        let request = request(&mut rng, number, 5);
        pool.step(Millis::ZERO, Event::Acquire { ticket: number, request });
    }
    print_memory("waiting request with its prefix", before, 4_000);

    let mut pools: Vec<_> =
        (0..20).map(|_| Pool::new("chat/north/0".into(), "chat".into(), "e1".into(), 1)).collect();
    let before = resident_kib();
    for (index, pool) in pools.iter_mut().enumerate() {
        for number in 0..4_000 {
            let mut request = request(&mut rng, number, 1);
            request.organisation = format!("org{index}-{number}").into();
            request.prefix = Vec::new();
            pool.step(Millis::ZERO, Event::Acquire { ticket: number, request });
        }
    }
    print_memory("organisation with one request without prefix", before, 80_000);
    // Dropped only here, so that no measurement reuses freed memory.
    drop((states, pool, pools));
}

fn print_memory(what: &str, before: u64, count: usize) {
    let grown = resident_kib().saturating_sub(before);
    println!("memory: {:.2} KiB per {what} ({count} of them)", grown as f64 / count as f64);
}

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn nanos(duration: Duration) -> u32 {
    u32::try_from(duration.as_nanos()).unwrap_or(u32::MAX)
}

fn summary(times: &mut [u32]) -> String {
    if times.is_empty() {
        return "-".to_owned();
    }
    times.sort_unstable();
    let mean = times.iter().map(|time| f64::from(*time)).sum::<f64>() / times.len() as f64;
    let p99 = times[times.len() * 99 / 100];
    format!("{:.2} / {:.2}", mean / 1_000.0, f64::from(p99) / 1_000.0)
}
