//! Measures the time of one endpoint choice and the memory of endpoint and suspect records.
//!
//! Usage: `cargo run --release -p wasabi-routing --example cost`

use std::{fs, hint::black_box, time::Instant};

use fastrand::Rng;
use wasabi_protocol::{clock::Millis, fingerprint::Body, id};
use wasabi_routing::{
    affinity::{BLOCKS_DEFAULT, Cache},
    choice::{self, Candidate},
    pace::{Class, Sample, Tracker},
    quarantine::{SUSPECTS_MAX, Table},
};

/// Page size that `/proc/self/statm` counts in, in bytes.
const PAGE_BYTES: f64 = 4_096.0;
const CHOICES: usize = 200_000;
const BLOCKS: u64 = 64;
const TOKENS_PER_BLOCK: u32 = 64;

fn main() {
    println!("| measure | endpoints | scan of the scores | scores and 64 prefix blocks |");
    println!("|---|---|---|---|");
    for endpoints in [20, 64] {
        let (scan, whole) = choice_ns(endpoints);
        println!("| one choice, ns (median of 9 rounds) | {endpoints} | {scan:.0} | {whole:.0} |");
    }
    println!();
    println!("| record | bytes each |");
    println!("|---|---|");
    println!("| prefix cache of an endpoint, full | {:.0} |", cache_bytes());
    println!("| pace of an endpoint | {:.0} |", pace_bytes());
    println!("| suspect | {:.0} |", suspect_bytes());
}

fn prefix(prompt: u64) -> Vec<u64> {
    let mut rng = Rng::with_seed(prompt);
    (0..BLOCKS).map(|_| rng.u64(..)).collect()
}

/// Returns the time of a choice without and with the lookup of the prompt's prefix, in nanoseconds.
fn choice_ns(endpoints: usize) -> (f64, f64) {
    let mut rng = Rng::with_seed(1);
    let mut caches = vec![Cache::default(); endpoints];
    let prompts = (0..256).map(prefix).collect::<Vec<_>>();
    for _ in 0..endpoints * 64 {
        caches[rng.usize(..endpoints)].record_sent(Millis(0), &prompts[rng.usize(..prompts.len())]);
    }
    let mut candidates = (0..endpoints)
        .map(|_| Candidate {
            in_flight: rng.u32(..16),
            bound: 16,
            prefill_waiting: rng.u32(..4_000),
            prefill_rate: 4.0 + rng.f64(),
            cached: 0,
        })
        .collect::<Vec<_>>();
    let scan = median_ns(|rotation| {
        black_box(choice::choose(black_box(&candidates), 2_000, rotation));
    });
    let whole = median_ns(|rotation| {
        let prompt = &prompts[rotation % prompts.len()];
        for (candidate, cache) in candidates.iter_mut().zip(&caches) {
            candidate.cached = cache.cached_tokens(Millis(1), prompt, TOKENS_PER_BLOCK);
        }
        black_box(choice::choose(black_box(&candidates), 4_096, rotation));
    });
    (scan, whole)
}

/// Returns the median time of one call over 9 rounds, in nanoseconds.
fn median_ns(mut call: impl FnMut(usize)) -> f64 {
    let mut rounds = (0..9)
        .map(|_| {
            let start = Instant::now();
            (0..CHOICES / 9).for_each(&mut call);
            start.elapsed().as_nanos() as f64 / (CHOICES / 9) as f64
        })
        .collect::<Vec<_>>();
    rounds.sort_by(f64::total_cmp);
    rounds[4]
}

fn cache_bytes() -> f64 {
    bytes_per_value(200, |index| {
        let mut cache = Cache::default();
        for prompt in 0..2 * BLOCKS_DEFAULT as u64 / BLOCKS {
            cache.record_sent(Millis(0), &prefix(index as u64 * 1_000 + prompt));
        }
        cache
    })
}

fn pace_bytes() -> f64 {
    let endpoints = 64;
    let tracker = bytes_per_value(200, |index| {
        let mut tracker = Tracker::default();
        let class =
            Class { backend: "m".into(), version: "v1".into(), hardware: format!("h{index}") };
        for endpoint in 0..endpoints {
            let name = id::Endpoint::from(format!("endpoint-{endpoint}"));
            tracker.join(&name, class.clone());
            let sample =
                Sample { per_token_ms: Some(10.0), per_prompt_token_ms: Some(0.2), silent: false };
            tracker.record(Millis(0), &name, sample);
        }
        tracker
    });
    tracker / f64::from(endpoints)
}

fn suspect_bytes() -> f64 {
    let organisation = id::Organisation::from("organisation");
    let table = bytes_per_value(200, |_| {
        let mut table = Table::default();
        for body in 0..SUSPECTS_MAX as u64 {
            table.record_crash(Millis(0), &[(Body(body), &organisation)]);
        }
        table
    });
    table / SUSPECTS_MAX as f64
}

/// Returns the growth of the resident memory per value, for `count` values, in bytes.
fn bytes_per_value<T>(count: usize, make: impl Fn(usize) -> T) -> f64 {
    // The first value is created before the measurement, which excludes allocator setup.
    let first = make(0);
    let before = resident_bytes();
    let values = (1..=count).map(&make).collect::<Vec<_>>();
    let grown = resident_bytes() - before;
    black_box((&first, &values));
    grown / count as f64
}

fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
