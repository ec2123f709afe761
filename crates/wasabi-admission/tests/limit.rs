//! Tests of contract limits that several pools hold together by leased slices.

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
const LARGEST: u64 = 2_000;
const DELAY: u64 = 5;

/// What happens to the pools and the lender during a run.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// Chance per ms that a pool owner dies and another takes its pool with a new account.
    pool_dies: f64,
    /// Chance per ms that the lender dies and an empty one takes its place.
    lender_dies: f64,
    /// Chance that a message is lost, as when a pool is cut off.
    lost: f64,
}

struct Started {
    at: u64,
    tokens: u64,
}

struct Run {
    started: Vec<Started>,
    /// When each account began.
    accounts: Vec<u64>,
    most_running: u32,
}

/// The naive limiter: one list of all starts, searched for each decision.
fn naive_allows(started: &[Started], now: u64) -> bool {
    let recent: Vec<_> = started.iter().rev().take_while(|start| now < start.at + 1_000).collect();
    let tokens: u64 = recent.iter().map(|start| start.tokens).sum();
    recent.len() < LIMITS.requests_per_s as usize && tokens < u64::from(LIMITS.tokens_per_s)
}

struct Site {
    account: Account,
    queue: Vec<u64>,
    ends: Vec<u64>,
}

/// Runs `pools` pools that together want several times the limit for `span` ms.
fn run(seed: u64, pools: usize, span: u64, faults: Faults) -> Run {
    let mut rng = Rng::with_seed(seed);
    let organisation: id::Organisation = "org".into();
    let mut lender = Lender::new();
    let new = || Site {
        account: Account::new(Millis::ZERO, LIMITS),
        queue: Vec::new(),
        ends: Vec::new(),
    };
    let mut sites: Vec<_> = (0..pools).map(|_| new()).collect();
    let mut out = Run { started: Vec::new(), accounts: vec![0; pools], most_running: 0 };
    let mut asks: Vec<(u64, usize, Usage)> = Vec::new();
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
                site.queue.push(rng.u64(20..=LARGEST));
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
                asks.push((now + DELAY, index, used));
            }
        }
        out.most_running = out.most_running.max(sites.iter().map(|s| s.ends.len() as u32).sum());
        asks.retain(|(at, index, used)| {
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

/// Returns the most by which any window of `window` ms exceeds what the bound allows, in tokens.
fn excess(run: &Run, window: u64) -> f64 {
    let slice = SLICE_DURATION.seconds();
    let rate = f64::from(LIMITS.tokens_per_s);
    let mut worst = f64::MIN;
    for (index, first) in run.started.iter().enumerate() {
        let end = first.at + window;
        let within = run.started[index..].iter().take_while(|start| start.at < end);
        let tokens: u64 = within.map(|start| start.tokens).sum();
        let pools = run.accounts.iter().filter(|at| **at == 0).count();
        let joined = run.accounts.iter().filter(|at| 0 < **at && **at < end && first.at <= **at);
        let accounts = (pools + joined.count()) as f64;
        let lent = rate * (window as f64 / 1_000.0 + 2.0 * slice + DELAY as f64 / 1_000.0);
        let allowed = lent + accounts * (rate * slice + LARGEST as f64);
        worst = worst.max(tokens as f64 - allowed);
    }
    worst
}

/// Guards the bound on the error of the token limit: the purse and the life of a slice add two
/// slices for all pools together, and each pool at most one slice and one request, also when pool
/// owners or the lender die, join or are cut off.
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
            assert!(excess <= 0.0, "seed {seed}, window {window}: {excess} tokens too many");
        }
    }
}

/// Guards against a limiter that holds organisations far below what they may use: without faults,
/// pools that want more than the limit get at least nine tenths of what the naive limiter allows.
#[test]
fn lends_nearly_the_whole_limit() {
    let faults = Faults { pool_dies: 0.0, lender_dies: 0.0, lost: 0.0 };
    let span = 20_000;
    let run = run(3, 4, span, faults);
    let leased: u64 = run.started.iter().map(|start| start.tokens).sum();
    let mut naive = Vec::new();
    let mut rng = Rng::with_seed(3);
    for now in 0..span {
        while naive_allows(&naive, now) {
            naive.push(Started { at: now, tokens: rng.u64(20..=LARGEST) });
        }
    }
    let naive: u64 = naive.iter().map(|start| start.tokens).sum();
    assert!(0.9 * naive as f64 <= leased as f64, "leased {leased}, naive {naive}");
    assert!(leased as f64 <= 1.1 * naive as f64, "leased {leased}, naive {naive}");
}

/// Guards the concurrency limit over pools: allotted parts never add up to more than the limit,
/// apart from the advance that each pool has before its first slice.
#[test]
fn keeps_the_concurrency_limit_over_pools() {
    let faults = Faults { pool_dies: 0.0, lender_dies: 0.0, lost: 0.0 };
    for seed in 0..8 {
        let run = run(seed, 4, 8_000, faults);
        assert!(run.most_running <= LIMITS.concurrency, "{} run at once", run.most_running);
    }
}

/// Guards against unused slices that add up to a burst later on.
#[test]
fn forgets_a_slice_that_was_not_used() {
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
    assert_eq!(started, 10, "the overdraft of 10,000 tokens is left");
}

/// Guards against concurrency that is allotted to one pool while another still runs with it.
#[test]
fn allots_concurrency_that_no_other_pool_holds() {
    let mut lender = Lender::new();
    let organisation: id::Organisation = "org".into();
    let mut ask = |pool: &str, running: u32, waiting: u32| {
        let used = Usage { running, waiting, ..Usage::default() };
        lender
            .lend(Millis(1_000), &organisation, &LIMITS, (&pool.into(), &"owner".into()), &used)
            .concurrency
    };
    assert_eq!(ask("a", 30, 30), 64);
    assert_eq!(ask("b", 0, 60), 0, "pool a holds all");
    let kept = ask("a", 60, 0);
    assert!(kept < 64, "pool a gives back what it does not run with");
    assert!(ask("b", 0, 60) <= 64 - 60);
}

/// Guards against a burst after quiet traffic that waits for several asks although most of the
/// limit is free.
#[test]
fn leaves_room_for_a_burst_after_quiet_traffic() {
    let mut lender = Lender::new();
    let organisation: id::Organisation = "org".into();
    let used = Usage { running: 1, ..Usage::default() };
    let mut ask = |pool: &str| {
        lender.lend(Millis(1_000), &organisation, &LIMITS, (&pool.into(), &"owner".into()), &used)
    };
    assert!(LIMITS.concurrency / 2 <= ask("a").concurrency);
    let second = ask("b").concurrency;
    assert!(LIMITS.concurrency / 8 <= second, "pool b may start {second}");
}
