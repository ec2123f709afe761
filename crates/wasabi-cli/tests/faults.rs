//! End-to-end test of at-most-once requests under fault injection: daemons are killed and frozen,
//! and endpoints are lost. No key runs twice, and the reported outcomes are correct.

#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

mod cluster;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use cluster::{Cluster, Response, book, unix_ms};
use wasabi_standin::Standin;
use wasabi_testkit::process::Signal;

const SEED: u64 = 20_261_204;

/// Minimum number of keys for the faults to coincide with calls.
const MIN_KEYS: usize = 50;

/// Number of concurrent callers.
const CALLERS: usize = 6;

/// Number of "may have run" responses after which a caller gives a key up. The outcome of an
/// attempt whose entry crashed is never known, and each of these responses arrives only at the
/// request's deadline.
const MAX_UNKNOWN_OUTCOMES: u32 = 2;

/// Maximum number of requests with one key.
const MAX_REQUESTS_PER_KEY: usize = 40;

/// Number of faults, which are injected one after the other.
const FAULT_COUNT: usize = 10;

/// Delay before each fault.
const FAULT_DELAY: Duration = Duration::from_millis(900);

/// Time for which a process is frozen; it exceeds the dispatch window and the serving time.
const FREEZE_TIME: Duration = Duration::from_millis(3_500);

type Standins = Rc<RefCell<Vec<Standin>>>;

/// The outcomes that were reported for one key.
#[derive(Debug, Default)]
struct Reported {
    ran: bool,
    may_have_run: u32,
}

/// Returns how often the endpoints ran a key.
fn runs(standins: &Standins, key: &str) -> u64 {
    let standins = standins.borrow();
    standins.iter().map(|standin| standin.counts().runs.get(key).copied().unwrap_or(0)).sum()
}

/// Guards against a booking that runs twice, one that is reported as run but did not run, and one
/// that is reported as not run but did, while control members, entries and endpoints crash or
/// freeze.
#[actix_rt::test]
async fn keys_run_at_most_once_and_reported_outcomes_are_correct() {
    let mut cluster = Cluster::start(3, 3);
    let standins: Standins = Rc::default();
    for name in ["desk-0", "desk-1", "desk-2"] {
        standins.borrow_mut().push(cluster.start_service(name, 30));
    }
    let entries: Vec<_> = cluster.entries.iter().map(|entry| entry.address).collect();
    let (next_key, is_stopped) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(false)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (standins, next_key, is_stopped) =
                (Rc::clone(&standins), Rc::clone(&next_key), Rc::clone(&is_stopped));
            let entries = entries.clone();
            actix_rt::spawn(async move {
                let mut random = fastrand::Rng::with_seed(SEED + 1 + caller as u64);
                while !is_stopped.get() {
                    let number = next_key.get();
                    next_key.set(number + 1);
                    request_until_known(&format!("key-{number}"), &entries, &standins, &mut random)
                        .await;
                    actix_rt::time::sleep(Duration::from_millis(300)).await;
                }
            })
        })
        .collect();

    let mut random = fastrand::Rng::with_seed(SEED);
    for fault in 0..FAULT_COUNT {
        actix_rt::time::sleep(FAULT_DELAY).await;
        inject_fault(&mut cluster, &standins, fault, &mut random).await;
    }
    is_stopped.set(true);
    for caller in callers {
        caller.await.unwrap();
    }
    assert!(MIN_KEYS <= next_key.get(), "only {} keys were used", next_key.get());
    for number in 0..next_key.get() {
        let runs = runs(&standins, &format!("key-{number}"));
        assert!(runs <= 1, "key-{number} ran {runs} times");
    }
}

/// Repeats the request with one key until its outcome is known, and checks each response against
/// the run counts of the endpoints.
async fn request_until_known(
    key: &str,
    entries: &[SocketAddr],
    standins: &Standins,
    random: &mut fastrand::Rng,
) {
    let created = unix_ms();
    let mut reported = Reported::default();
    // Whether every earlier request was reported as not run.
    let mut all_not_run = true;
    let mut responses = Vec::new();
    for _ in 0..MAX_REQUESTS_PER_KEY {
        let entry = entries[random.usize(..entries.len())];
        let response = book(entry, key, created, "one pickup").await;
        check(key, response.as_ref(), &mut reported, all_not_run, standins);
        responses.push((entry, response.as_ref().map(|response| response.body.clone())));
        match response {
            // Without a response, the request may still be in progress.
            None => all_not_run = false,
            Some(response) if response.ran != "not_run" => all_not_run = false,
            Some(_) => {}
        }
        if reported.ran || MAX_UNKNOWN_OUTCOMES <= reported.may_have_run {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(250)).await;
    }
    assert_ne!(reported.may_have_run, 0, "{key}: no request had a known outcome: {responses:#?}");
}

fn check(
    key: &str,
    response: Option<&Response>,
    reported: &mut Reported,
    all_not_run: bool,
    standins: &Standins,
) {
    let Some(response) = response else { return };
    let runs = runs(standins, key);
    match response.ran.as_str() {
        "ran" => {
            assert_eq!(runs, 1, "{key}: reported as run: {response:?}");
            reported.ran = true;
        }
        "not_run" if all_not_run => {
            assert_eq!(runs, 0, "{key}: reported as not run: {response:?}");
        }
        "not_run" => {}
        "may_have_run" => reported.may_have_run += 1,
        other => panic!("{key}: invalid x-wasabi-ran header in the response: {other} {response:?}"),
    }
}

async fn inject_fault(
    cluster: &mut Cluster,
    standins: &Standins,
    fault: usize,
    random: &mut fastrand::Rng,
) {
    let folder = cluster.folder().to_owned();
    match fault % 5 {
        0 => {
            let index = random.usize(..cluster.control.len());
            cluster.control[index].daemon.kill();
            actix_rt::time::sleep(Duration::from_millis(400)).await;
            Cluster::restart(&folder, &mut cluster.control[index]);
        }
        1 => {
            let index = random.usize(..cluster.entries.len());
            cluster.entries[index].daemon.kill();
            actix_rt::time::sleep(Duration::from_millis(400)).await;
            Cluster::restart(&folder, &mut cluster.entries[index]);
        }
        2 => {
            let index = random.usize(..cluster.entries.len());
            cluster.entries[index].daemon.signal(Signal::Stop);
            actix_rt::time::sleep(FREEZE_TIME).await;
            cluster.entries[index].daemon.signal(Signal::Continue);
        }
        3 => {
            let index = random.usize(..cluster.control.len());
            cluster.control[index].daemon.signal(Signal::Stop);
            actix_rt::time::sleep(FREEZE_TIME).await;
            cluster.control[index].daemon.signal(Signal::Continue);
        }
        _ => {
            let fresh = cluster.start_service(&format!("desk-fresh-{fault}"), 30);
            let mut standins = standins.borrow_mut();
            let count = standins.len();
            standins[random.usize(..count)].kill();
            standins.push(fresh);
        }
    }
}
