//! Cost of one decision of a pool owner, and memory for each endpoint, organisation and request.

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

/// Endpoints of one full pool.
const FULL: usize = 64;

/// Measures decisions and memory on this machine.
#[derive(FromArgs)]
struct Options {
    /// decisions of each case
    #[argh(option, default = "200000")]
    decisions: usize,
}

struct Site {
    pool: Pool,
    held: Vec<(Request, Grant)>,
    waiting: Vec<Request>,
}

/// Times of the steps of one case.
#[derive(Default)]
struct Times {
    acquire: Vec<u32>,
    release: Vec<u32>,
}

fn main() {
    let options: Options = argh::from_env();
    memory();
    println!("endpoints, pools, organisations, state | acquire mean/p99 us | release mean/p99 us");
    for endpoints in [5, 20, 40, FULL] {
        for (load, name) in [(0.6, "places free"), (1.0, "saturated")] {
            case(&options, endpoints, 1, 5, load, name);
        }
    }
    case(&options, FULL, 157, 360, 0.6, "places free");
    case(&options, FULL, 157, 360, 1.0, "saturated");
}

fn request(rng: &mut Rng, number: u64, organisations: u64) -> Request {
    let mut request = traffic::job(rng, User::Kozani, number, 0).request;
    request.attempt = id::Attempt(number.into());
    request.organisation = format!("org{}", rng.u64(..organisations)).into();
    request.remaining = Millis(100_000_000);
    request.first_token = Millis(50_000_000);
    request
}

fn site(rng: &mut Rng, endpoints: usize, number: usize) -> Site {
    let name = format!("chat/north/{number}");
    let mut pool = Pool::new(name.as_str().into(), "chat".into(), "e1".into(), rng.u64(..));
    pool.step(Millis::ZERO, Event::Tick);
    for index in 0..endpoints {
        pool.step(Millis(1_000), Event::Announce(announcement(index, 1, 1.0, Default::default())));
    }
    Site { pool, held: Vec::new(), waiting: Vec::new() }
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
    let mut sites: Vec<_> = (0..pools).map(|number| site(&mut rng, endpoints, number)).collect();
    let places = endpoints * 16;
    let mut number = 1;
    // Twice the places wait in the saturated case.
    let target = if load < 1.0 { (places as f64 * load) as usize } else { places * 3 };
    let mut times = Times::default();
    for site in &mut sites {
        while site.held.len() + site.waiting.len() < target {
            acquire(site, request(&mut rng, number, organisations), &mut Times::default());
            number += 1;
        }
    }
    for _ in 0..options.decisions {
        let site = &mut sites[rng.usize(..pools)];
        release(site, &mut rng, &mut times);
        acquire(site, request(&mut rng, number, organisations), &mut times);
        number += 1;
    }
    println!(
        "{}, {pools}, {organisations}, {name} | {} | {}",
        endpoints * pools,
        summary(&mut times.acquire),
        summary(&mut times.release),
    );
}

fn acquire(site: &mut Site, request: Request, times: &mut Times) {
    let ticket = request.attempt.0 as u64;
    let event = Event::Acquire { ticket, request: request.clone() };
    site.waiting.push(request);
    let started = Instant::now();
    let actions = site.pool.step(Millis(1_500), event);
    times.acquire.push(nanos(started.elapsed()));
    obey(site, actions);
}

fn release(site: &mut Site, rng: &mut Rng, times: &mut Times) {
    if site.held.is_empty() {
        return;
    }
    let (request, grant) = site.held.swap_remove(rng.usize(..site.held.len()));
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
    };
    let started = Instant::now();
    let actions = site.pool.step(Millis(1_500), Event::Release(release));
    times.release.push(nanos(started.elapsed()));
    obey(site, actions);
}

fn obey(site: &mut Site, actions: Vec<Action>) {
    for action in actions {
        let (ticket, grant) = match action {
            Action::Grant { ticket, grant } => (ticket, Some(grant)),
            Action::Refuse { ticket, .. } => (ticket, None),
            Action::Discard { .. } | Action::Preempt { .. } | Action::RequestBudget { .. } => {
                continue;
            }
        };
        let found = site.waiting.iter().rposition(|request| request.attempt.0 as u64 == ticket);
        let Some(position) = found else { continue };
        let request = site.waiting.swap_remove(position);
        site.held.extend(grant.map(|grant| (request, grant)));
    }
}

/// Prints the memory that the operating system counts for many of each thing.
fn memory() {
    let mut rng = Rng::with_seed(5);
    let before = resident_kib();
    let sites: Vec<_> = (0..157).map(|number| site(&mut rng, FULL, number)).collect();
    print_memory("endpoint without prefixes", before, 157 * FULL);

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
    // All is kept up to here, so that no measurement reuses freed memory.
    drop((sites, pool, pools));
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
    let late = times[times.len() * 99 / 100];
    format!("{:.2} / {:.2}", mean / 1_000.0, f64::from(late) / 1_000.0)
}
