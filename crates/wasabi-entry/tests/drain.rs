//! Planned stops: of an entry, which cuts no stream, and of an endpoint, which gets no new work.

mod support;

use std::time::Duration;

use awc::http::StatusCode;
use support::{Entry, engine, expected, standin, until};
use wasabi_protocol::{clock::Millis, endpoint::Kind};

/// Guards against a planned stop that cuts a running stream, also when it is ordered twice.
#[actix_rt::test]
async fn a_graceful_stop_cuts_no_stream() {
    let entry = Entry::stand_alone("callers:\n  list_lifetime: 100ms");
    let _engine = standin("m1", Kind::Model, "coal", &[&entry], |settings| {
        settings.between_tokens_ms = Millis(50);
    });
    entry.caller().until_served().await;
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
        assert_eq!(answer.text(), expected("stock", 100));
    }
    until("the entry ends", async || entry.daemon.is_ended()).await;
}

/// Guards against callers of an old list that a stopping entry turns away too early, and against
/// a list that still names it.
#[actix_rt::test]
async fn a_stopping_entry_serves_old_callers_and_leaves_the_list() {
    let entry = Entry::stand_alone("callers:\n  list_lifetime: 700ms");
    let _engine = engine("m1", &[&entry]);
    let caller = entry.caller();
    caller.until_served().await;
    entry.daemon.drain();
    let list = || caller.send(caller.request("GET", "/v1/entries"), "");
    until("the list is empty", async || list().await.body.contains("\"entries\":[]")).await;
    let answer = caller.chat("stock", 5).await;
    assert!(answer.is_done(), "{}", answer.body);
    until("the entry ends", async || entry.daemon.is_ended()).await;
}

/// Guards against a stop that waits for ever although the settings bound it.
#[actix_rt::test]
async fn a_bounded_stop_ends() {
    let more = "callers:\n  list_lifetime: 100ms\ndrain:\n  bound: 300ms";
    let entry = Entry::stand_alone(more);
    let _engine = standin("m1", Kind::Model, "coal", &[&entry], |settings| {
        settings.between_tokens_ms = Millis(100);
    });
    entry.caller().until_served().await;
    let caller = entry.caller();
    let stop = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.daemon.drain();
        until("the entry ends", async || entry.daemon.is_ended()).await;
    };
    let (answer, ()) = futures_util::future::join(caller.chat("stock", 150), stop).await;
    assert!(!answer.is_done(), "the stream was not cut");
}

/// Guards against work for an endpoint that said that it leaves, and against a cut of what it
/// still runs.
#[actix_rt::test]
async fn a_leaving_endpoint_gets_no_new_work() {
    let entry = Entry::stand_alone("");
    let leaving = standin("m1", Kind::Model, "coal", &[&entry], |settings| {
        settings.between_tokens_ms = Millis(10);
    });
    let caller = entry.caller();
    caller.until_served().await;
    let running = caller.chat("stock", 100);
    let leave = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        leaving.leave().await;
        let staying = engine("m2", &[&entry]);
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

/// Guards against work for an endpoint that went silent without a word.
#[actix_rt::test]
async fn a_silent_endpoint_gets_no_work_after_its_bound() {
    let entry = Entry::stand_alone("");
    let silent = engine("m1", &[&entry]);
    let _alive = engine("m2", &[&entry]);
    entry.caller().until_served().await;
    silent.stop_announcing();
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let before = silent.counts().requests;
    for _ in 0..20 {
        assert!(entry.caller().chat("more", 3).await.is_done());
    }
    assert_eq!(silent.counts().requests, before);
}
