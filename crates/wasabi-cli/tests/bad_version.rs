//! End-to-end test of a version move: a version that fails is rolled back and gets no further
//! traffic.

#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

mod cluster;

use std::time::{Duration, Instant};

use cluster::{Cluster, quote};
use wasabi_protocol::endpoint::Kind;
use wasabi_standin::{Faults, Standin};

/// Time limit for the rollback of the move.
const ROLLBACK_TIME_LIMIT: Duration = Duration::from_secs(40);

/// Number of requests that are sent after the rollback.
const REQUESTS_AFTER_ROLLBACK: usize = 60;

/// Maximum share of the traffic for the new version, in thousandths.
const SHARE_PERMILLE: u64 = 100;

fn start_engine(cluster: &Cluster, name: &str, version: &str, faults: Faults) -> Standin {
    let mut settings = cluster.standin_settings(name, Kind::Model, "chat");
    settings.version = version.into();
    settings.first_token_ms.0 = 5;
    settings.faults = faults;
    Standin::start(settings).unwrap()
}

/// Starts the move to the new version; returns the exit code and output of the command.
fn start_move(cluster: &Cluster, name: &str) -> (i32, String) {
    let permille = SHARE_PERMILLE.to_string();
    let versions = ["--backend", "chat", "--from", "v1", "--to", "v2"];
    let schedule = ["--within-min", "5", "--start-permille", permille.as_str(), name];
    cluster.operate(&[&["move", "start"][..], &versions, &schedule].concat())
}

/// Guards against a failing version that keeps its share of the traffic, exceeds it, or is accepted
/// again after its rollback. Callers must not see its errors, since their requests are idempotent
/// and can be retried.
#[actix_rt::test]
async fn failing_version_is_rolled_back() {
    let cluster = Cluster::start(1, 2);
    let old: Vec<_> = ["old-0", "old-1", "old-2"]
        .map(|name| start_engine(&cluster, name, "v1", Faults::default()))
        .into();
    let bad = Faults { fail_permille: 1_000, ..Faults::default() };
    let new = [
        start_engine(&cluster, "new-0", "v2", bad.clone()),
        start_engine(&cluster, "new-1", "v2", bad),
    ];
    let entries: Vec<_> = cluster.entries.iter().map(|entry| entry.address).collect();

    let (code, text) = start_move(&cluster, "first");
    assert_eq!(code, 0, "{text}");

    let started = Instant::now();
    let mut sent: u64 = 0;
    loop {
        for entry in &entries {
            let response = quote(*entry, "how much is a tyre", 4).await.unwrap();
            assert_eq!(response.status, 200, "{response:?}");
            sent += 1;
        }
        let (_, text) = cluster.operate(&["--json", "move", "list"]);
        if text.contains("taken_back") {
            break;
        }
        assert!(started.elapsed() < ROLLBACK_TIME_LIMIT, "after {sent} requests: {text}");
    }
    let received: u64 = new.iter().map(|engine| engine.counts().requests).sum();
    assert!(0 < received, "the new version was rolled back without traffic");
    assert!(
        received * 1_000 <= sent * SHARE_PERMILLE + 2_000,
        "the new version received {received} of {sent} requests"
    );

    for _ in 0..REQUESTS_AFTER_ROLLBACK {
        let response = quote(entries[0], "how much is a tyre", 4).await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    }
    let received_after: u64 = new.iter().map(|engine| engine.counts().requests).sum();
    assert_eq!(received_after, received, "a version got traffic after its rollback");
    let served: u64 = old.iter().map(|engine| engine.counts().requests).sum();
    assert!(sent <= served);
    let (code, text) = start_move(&cluster, "second");
    assert_ne!(code, 0, "a version was accepted again after its rollback: {text}");
}
