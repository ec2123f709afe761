//! Tests of contract limits that several pools share through lent slices.

use fastrand::Rng;
use rstest::rstest;
use wasabi_admission::{
    lender::Lender,
    limit::{Account, SLICE_DURATION},
};
use wasabi_protocol::{
    clock::Millis,
    contract::Limits,
    id,
    rpc::{Slice, Usage},
};

const LIMITS: Limits =
    Limits { requests_per_s: 400, tokens_per_s: 40_000, concurrency: 64, burst: None };

/// Most tokens of one request.
const REQUEST_TOKENS_MAX: u64 = 2_000;

/// Delivery time of a message between pool and lender, in milliseconds.
const DELAY: u64 = 5;

/// Faults injected into a run.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// Probability per ms that a pool owner fails and another one takes over with a new account.
    pool_dies: f64,
    /// Probability per ms that the lender fails and an empty one replaces it.
    lender_dies: f64,
    /// Probability that a message is lost, as when a pool is unreachable.
    lost: f64,
}

struct Started {
    at: u64,
    tokens: u64,
}

struct Outcome {
    started: Vec<Started>,
    /// Creation time of each account.
    accounts: Vec<u64>,
    max_running: u32,
}

/// Reference implementation of the limit: searches a list of all starts for each decision.
fn reference_allows(started: &[Started], now: u64) -> bool {
    let recent: Vec<_> = started.iter().rev().take_while(|start| now < start.at + 1_000).collect();
    let tokens: u64 = recent.iter().map(|start| start.tokens).sum();
    recent.len() < LIMITS.requests_per_s as usize && tokens < u64::from(LIMITS.tokens_per_s)
}

/// A simulated pool with its queue and the end times of its running requests.
struct Site {
    account: Account,
    queue: Vec<u64>,
    ends: Vec<u64>,
}

/// Simulates `pools` pools for `span` ms; together they request several times the limit.
fn run(seed: u64, pools: usize, span: u64, faults: Faults) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let organisation: id::Organisation = "org".into();
    let mut lender = Lender::new();
    let new = || Site {
        account: Account::new(Millis::ZERO, LIMITS),
        queue: Vec::new(),
        ends: Vec::new(),
    };
    let mut sites: Vec<_> = (0..pools).map(|_| new()).collect();
    let mut out = Outcome { started: Vec::new(), accounts: vec![0; pools], max_running: 0 };
    let mut reports: Vec<(u64, usize, Usage)> = Vec::new();
    let mut slices: Vec<(u64, usize, Slice)> = Vec::new();
    for now in 0..span {
        if rng.f64() < faults.lender_dies {
            lender = Lender::new();
        }
        for (index, site) in sites.iter_mut().enumerate() {
            if rng.f64() < faults.pool_dies {
                *site = new();
                out.accounts.push(now);
            }
            while site.queue.len() < 20 {
                site.queue.push(rng.u64(20..=REQUEST_TOKENS_MAX));
            }
            site.ends.retain(|end| {
                now < *end || {
                    site.account.end();
                    false
                }
            });
            while let Some(tokens) = site.queue.last().copied()
                && site.account.may_start(Millis(now))
            {
                site.queue.pop();
                site.account.start(Millis(now), tokens);
                site.ends.push(now + rng.u64(50..2_000));
                out.started.push(Started { at: now, tokens });
            }
            let waiting = site.queue.iter().sum();
            if let Some(used) =
                site.account.take_usage(Millis(now), site.queue.len() as u32, waiting)
                && faults.lost <= rng.f64()
            {
                reports.push((now + DELAY, index, used));
            }
        }
        out.max_running = out.max_running.max(sites.iter().map(|s| s.ends.len() as u32).sum());
        reports.retain(|(at, index, used)| {
            if now < *at {
                return true;
            }
            let pool = format!("pool{index}").into();
            let slice =
                lender.lend(Millis(now), &organisation, &LIMITS, (&pool, &"owner".into()), used);
            if faults.lost <= rng.f64() {
                slices.push((now + DELAY, *index, slice));
            }
            false
        });
        slices.retain(|(at, index, slice)| {
            now < *at || {
                sites[*index].account.lend(Millis(now), slice);
                false
            }
        });
    }
    out
}

/// Returns the largest excess of any window of `window` ms over the allowed tokens.
fn excess(run: &Outcome, window: u64) -> f64 {
    let slice = SLICE_DURATION.seconds();
    let rate = f64::from(LIMITS.tokens_per_s);
    let mut worst = f64::MIN;
    for (index, first) in run.started.iter().enumerate() {
        let end = first.at + window;
        let within = run.started[index..].iter().take_while(|start| start.at < end);
        let tokens: u64 = within.map(|start| start.tokens).sum();
        let initial = run.accounts.iter().filter(|at| **at == 0).count();
        let joined = run.accounts.iter().filter(|at| 0 < **at && **at < end && first.at <= **at);
        let accounts = (initial + joined.count()) as f64;
        let lent = rate * (window as f64 / 1_000.0 + 2.0 * slice + DELAY as f64 / 1_000.0);
        let allowed = lent + accounts * (rate * slice + REQUEST_TOKENS_MAX as f64);
        worst = worst.max(tokens as f64 - allowed);
    }
    worst
}

/// Guards the error bound of the token limit, also when pool owners or the lender fail, join or are
/// unreachable: the budget and the lifetime of a slice add two slices for all pools together, and
/// each pool adds at most one slice and one request.
#[rstest]
#[case::healthy(Faults { pool_dies: 0.0, lender_dies: 0.0, lost: 0.0 })]
#[case::pool_owners_die(Faults { pool_dies: 0.000_3, lender_dies: 0.0, lost: 0.0 })]
#[case::lender_dies(Faults { pool_dies: 0.0, lender_dies: 0.001, lost: 0.0 })]
#[case::cut_off(Faults { pool_dies: 0.0, lender_dies: 0.0, lost: 0.5 })]
#[case::all(Faults { pool_dies: 0.000_3, lender_dies: 0.001, lost: 0.2 })]
fn keeps_the_token_limit_to_within_a_slice_per_pool(#[case] faults: Faults) {
    for seed in 0..8 {
        let run = run(seed, 4, 8_000, faults);
        for window in [100, 1_000, 4_000] {
            let excess = excess(&run, window);
            assert!(
                excess <= 0.0,
                "seed {seed}, window {window} ms: {excess} tokens over the bound"
            );
        }
    }
}

/// Guards against a limiter that keeps organisations far below their limit: without faults, pools
/// that request more than the limit get at least nine tenths of what the reference allows.
#[test]
fn lends_nearly_the_whole_limit() {
    let faults = Faults { pool_dies: 0.0, lender_dies: 0.0, lost: 0.0 };
    let span = 20_000;
    let run = run(3, 4, span, faults);
    let lent: u64 = run.started.iter().map(|start| start.tokens).sum();
    let mut reference = Vec::new();
    let mut rng = Rng::with_seed(3);
    for now in 0..span {
        while reference_allows(&reference, now) {
            reference.push(Started { at: now, tokens: rng.u64(20..=REQUEST_TOKENS_MAX) });
        }
    }
    let reference: u64 = reference.iter().map(|start| start.tokens).sum();
    assert!(0.9 * reference as f64 <= lent as f64, "lent {lent}, reference {reference}");
    assert!(lent as f64 <= 1.1 * reference as f64, "lent {lent}, reference {reference}");
}

/// Guards the concurrency limit across pools: the allocated shares never add up to more than the
/// limit, apart from the advance of each pool before its first slice.
#[test]
fn keeps_the_concurrency_limit_over_pools() {
    let faults = Faults { pool_dies: 0.0, lender_dies: 0.0, lost: 0.0 };
    for seed in 0..8 {
        let run = run(seed, 4, 8_000, faults);
        assert!(run.max_running <= LIMITS.concurrency, "{} run concurrently", run.max_running);
    }
}

/// Guards against unused slices that accumulate to a later burst.
#[test]
fn drops_a_slice_that_was_not_used() {
    let mut account = Account::new(Millis::ZERO, LIMITS);
    let slice = Slice {
        requests: 100.0,
        tokens: 1e6,
        concurrency: 64,
        headroom: 1.0,
        span: SLICE_DURATION,
    };
    account.lend(Millis(1_000), &slice);
    let mut started = 0;
    while account.may_start(Millis(1_000) + SLICE_DURATION) {
        account.start(Millis(1_000) + SLICE_DURATION, 1_000);
        started += 1;
    }
    assert_eq!(started, 10, "only the overdraft of 10,000 tokens remains");
}

/// Guards against concurrency that is allocated to one pool while another still uses it.
#[test]
fn allocates_concurrency_that_no_other_pool_holds() {
    let mut lender = Lender::new();
    let organisation: id::Organisation = "org".into();
    let mut request = |pool: &str, running: u32, waiting: u32| {
        let used = Usage { running, waiting, ..Usage::default() };
        lender
            .lend(Millis(1_000), &organisation, &LIMITS, (&pool.into(), &"owner".into()), &used)
            .concurrency
    };
    assert_eq!(request("a", 30, 30), 64);
    assert_eq!(request("b", 0, 60), 0, "pool a holds the whole limit");
    let kept = request("a", 60, 0);
    assert!(kept < 64, "pool a returns what it does not use");
    assert!(request("b", 0, 60) <= 64 - 60);
}

/// Guards against a burst after quiet traffic that waits for several reports although most of the
/// limit is free.
#[test]
fn leaves_room_for_a_burst_after_quiet_traffic() {
    let mut lender = Lender::new();
    let organisation: id::Organisation = "org".into();
    let used = Usage { running: 1, ..Usage::default() };
    let mut request = |pool: &str| {
        lender.lend(Millis(1_000), &organisation, &LIMITS, (&pool.into(), &"owner".into()), &used)
    };
    assert!(LIMITS.concurrency / 2 <= request("a").concurrency);
    let second = request("b").concurrency;
    assert!(LIMITS.concurrency / 8 <= second, "pool b may start {second}");
}
