//! Graceful shutdown: a draining entry ends its streams, and a leaving endpoint gets no new work.

mod support;

use std::time::Duration;

use awc::http::StatusCode;
use support::{Entry, expected_text, start_engine, start_standin, wait_until};
use wasabi_protocol::{clock::Millis, endpoint::Kind};

/// Guards against a graceful shutdown that cuts running streams, also when it is requested twice.
#[actix_rt::test]
async fn a_graceful_shutdown_cuts_no_stream() {
    let entry = Entry::standalone("callers:\n  list_lifetime: 100ms");
    let _engine = start_standin("m1", Kind::Model, "coal", &[&entry], |settings| {
        settings.between_tokens_ms = Millis(50);
    });
    entry.caller().wait_until_served().await;
    let caller = entry.caller();
    let streams = futures_util::future::join_all((0..8).map(|_| caller.chat("stock", 100)));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        entry.daemon.drain();
        tokio::time::sleep(Duration::from_millis(200)).await;
        entry.daemon.drain();
    };
    let (answers, ()) = futures_util::future::join(streams, stop).await;
    for answer in answers {
        assert!(answer.is_done() && answer.is_complete, "{}", answer.body);
        assert_eq!(answer.text(), expected_text("stock", 100));
    }
    wait_until("the entry ends", async || entry.daemon.is_ended()).await;
}

/// Guards against a draining entry that refuses callers whose cached list still names it, and
/// against a new list that names it.
#[actix_rt::test]
async fn a_draining_entry_serves_callers_with_a_cached_list_and_leaves_new_lists() {
    let entry = Entry::standalone("callers:\n  list_lifetime: 700ms");
    let _engine = start_engine("m1", &[&entry]);
    let caller = entry.caller();
    caller.wait_until_served().await;
    entry.daemon.drain();
    let list = || caller.send(caller.request("GET", "/v1/entries"), "");
    wait_until("the list is empty", async || list().await.body.contains("\"entries\":[]")).await;
    let answer = caller.chat("stock", 5).await;
    assert!(answer.is_done(), "{}", answer.body);
    wait_until("the entry ends", async || entry.daemon.is_ended()).await;
}

/// Guards against a drain that goes on past the bound in its settings.
#[actix_rt::test]
async fn a_bounded_drain_ends() {
    let extra_settings = "callers:\n  list_lifetime: 100ms\ndrain:\n  bound: 300ms";
    let entry = Entry::standalone(extra_settings);
    let _engine = start_standin("m1", Kind::Model, "coal", &[&entry], |settings| {
        settings.between_tokens_ms = Millis(100);
    });
    entry.caller().wait_until_served().await;
    let caller = entry.caller();
    let stop = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.daemon.drain();
        wait_until("the entry ends", async || entry.daemon.is_ended()).await;
    };
    let (answer, ()) = futures_util::future::join(caller.chat("stock", 150), stop).await;
    assert!(!answer.is_done(), "the stream was not cut");
}

/// Guards against new requests to an endpoint that has announced its leave, and against cutting
/// the requests that it still runs.
#[actix_rt::test]
async fn a_leaving_endpoint_gets_no_new_work() {
    let entry = Entry::standalone("");
    let leaving = start_standin("m1", Kind::Model, "coal", &[&entry], |settings| {
        settings.between_tokens_ms = Millis(10);
    });
    let caller = entry.caller();
    caller.wait_until_served().await;
    let running = caller.chat("stock", 100);
    let leave = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        leaving.leave().await;
        let staying = start_engine("m2", &[&entry]);
        let before = leaving.counts().requests;
        for _ in 0..20 {
            let answer = entry.caller().chat("more", 3).await;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        }
        assert_eq!(leaving.counts().requests, before);
        assert!(20 <= staying.counts().requests);
    };
    let (answer, ()) = futures_util::future::join(running, leave).await;
    assert!(answer.is_done(), "{}", answer.body);
}

/// Guards against requests to an endpoint that stopped announcing itself without a leave.
#[actix_rt::test]
async fn an_endpoint_without_announcements_gets_no_requests_after_its_timeout() {
    let entry = Entry::standalone("");
    let silent = start_engine("m1", &[&entry]);
    let _alive = start_engine("m2", &[&entry]);
    entry.caller().wait_until_served().await;
    silent.stop_announcing();
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let before = silent.counts().requests;
    for _ in 0..20 {
        assert!(entry.caller().chat("more", 3).await.is_done());
    }
    assert_eq!(silent.counts().requests, before);
}
