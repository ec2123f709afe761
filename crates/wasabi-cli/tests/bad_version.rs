//! A version move through the whole system: a version that fails is taken back and gets no more
//! traffic.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod site;

use std::time::{Duration, Instant};

use site::{Site, quote};
use wasabi_protocol::endpoint::Kind;
use wasabi_standin::{Faults, Standin};

/// Time in which the move must be taken back.
const TAKEN_BACK_WITHIN: Duration = Duration::from_secs(40);

/// Requests that are sent after the move was taken back.
const REQUESTS_AFTER: usize = 60;

/// Share of the traffic that the new version may get, in thousandths.
const SHARE_PERMILLE: u64 = 100;

fn engine(site: &Site, name: &str, version: &str, faults: Faults) -> Standin {
    let mut settings = site.standin(name, Kind::Model, "chat");
    settings.version = version.into();
    settings.first_token_ms.0 = 5;
    settings.faults = faults;
    Standin::start(settings).unwrap()
}

/// Orders the move to the new version; returns the exit code and output of the command.
fn start_move(site: &Site, name: &str) -> (i32, String) {
    let permille = SHARE_PERMILLE.to_string();
    let versions = ["--backend", "chat", "--from", "v1", "--to", "v2"];
    let pace = ["--within-min", "5", "--start-permille", permille.as_str(), name];
    site.operate(&[&["move", "start"][..], &versions, &pace].concat())
}

/// Guards against a bad version that keeps its share, spreads over the traffic, or is offered
/// again after it was taken back; and against callers who meet its errors, since their requests
/// may be repeated.
#[actix_rt::test]
async fn a_failing_version_is_taken_back() {
    let site = Site::start(1, 2);
    let old: Vec<_> =
        ["old-0", "old-1", "old-2"].map(|name| engine(&site, name, "v1", Faults::default())).into();
    let bad = Faults { fail_permille: 1_000, ..Faults::default() };
    let new = [engine(&site, "new-0", "v2", bad.clone()), engine(&site, "new-1", "v2", bad)];
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.address).collect();

    let (code, text) = start_move(&site, "first");
    assert_eq!(code, 0, "{text}");

    let started = Instant::now();
    let mut sent: u64 = 0;
    loop {
        for entry in &entries {
            let answer = quote(*entry, "how much is a tyre", 4).await.unwrap();
            assert_eq!(answer.status, 200, "{answer:?}");
            sent += 1;
        }
        let (_, text) = site.operate(&["--json", "move", "list"]);
        if text.contains("taken_back") {
            break;
        }
        assert!(started.elapsed() < TAKEN_BACK_WITHIN, "after {sent} requests: {text}");
    }
    let met: u64 = new.iter().map(|engine| engine.counts().requests).sum();
    assert!(0 < met, "the version got no traffic, so its verdict came from nowhere");
    assert!(met * 1_000 <= sent * SHARE_PERMILLE + 2_000, "{met} of {sent} requests met it");

    for _ in 0..REQUESTS_AFTER {
        let answer = quote(entries[0], "how much is a tyre", 4).await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let met_after: u64 = new.iter().map(|engine| engine.counts().requests).sum();
    assert_eq!(met_after, met, "a version that was taken back got traffic");
    let served: u64 = old.iter().map(|engine| engine.counts().requests).sum();
    assert!(sent <= served);
    let (code, text) = start_move(&site, "second");
    assert_ne!(code, 0, "a version that was taken back was accepted again: {text}");
}
