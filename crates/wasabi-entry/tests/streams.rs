//! Streams that break, stall or are invalid: the caller gets the complete answer or an error.

mod support;

use std::time::Duration;

use awc::http::StatusCode;
use rstest::rstest;
use support::{Answer, Entry, expected_text, start_engine, start_standin};
use wasabi_protocol::{
    clock::Millis,
    endpoint::{Abilities, Kind},
};
use wasabi_standin::{Faults, Standin};

/// Sends a chat completion to an engine with these faults.
async fn chat_with_faults(faults: Faults) -> (Answer, Standin, Entry) {
    let entry = Entry::standalone("");
    // Tokens arrive one by one, so that the caller has a part of the answer when the fault occurs.
    let engine = start_standin("m1", Kind::Model, "coal", &[&entry], |settings| {
        settings.between_tokens_ms = Millis(5);
    });
    entry.caller().wait_until_served().await;
    engine.set_faults(faults);
    (entry.caller().chat("stock", 20).await, engine, entry)
}

/// Guards against the answer to another request that reaches the caller.
#[rstest]
#[case::wrong_attempt(Faults { wrong_attempt: true, ..Faults::default() })]
#[case::no_attempt(Faults { no_attempt: true, ..Faults::default() })]
#[actix_rt::test]
async fn an_answer_of_another_attempt_is_discarded(#[case] faults: Faults) {
    let (answer, _engine, _entry) = chat_with_faults(faults).await;
    assert_eq!(answer.kind(), "endpoint_failed", "{}", answer.body);
    assert_eq!(answer.ran, "may_have_run");
    assert_eq!(answer.text(), "");
}

/// Guards against a partial answer that looks complete.
#[rstest]
#[case::cut(Faults { cut_after: Some(7), ..Faults::default() })]
#[case::stopped(Faults { stop_after: Some(7), ..Faults::default() })]
#[case::repeated(Faults { repeat_token: Some(7), ..Faults::default() })]
#[case::miscounted(Faults { wrong_count: true, ..Faults::default() })]
#[actix_rt::test]
async fn a_broken_stream_ends_with_an_error(#[case] faults: Faults) {
    let (answer, _engine, _entry) = chat_with_faults(faults).await;
    assert!(!answer.is_done(), "{}", answer.body);
    let is_reported = answer.status != StatusCode::OK || answer.body.contains("event: error\n");
    assert!(is_reported, "{}", answer.body);
    assert!(answer.body.contains("may_have_run"), "{}", answer.body);
}

/// Guards against a caller that waits forever for an engine that stops sending.
#[actix_rt::test]
async fn a_silent_stream_ends_with_an_error() {
    let entry = Entry::standalone("");
    let engine = start_engine("m1", &[&entry]);
    entry.caller().wait_until_served().await;
    engine.set_faults(Faults { silent_after: Some(3), ..Faults::default() });
    let caller = entry.caller();
    let answer = tokio::time::timeout(Duration::from_secs(15), caller.chat("stock", 20)).await;
    let answer = answer.expect("the stream ends");
    assert!(!answer.is_done() && answer.body.contains("event: error\n"), "{}", answer.body);
}

/// Guards against lost or repeated tokens when a stream is resumed.
#[rstest]
#[case::cut(Faults { cut_after: Some(7), requests: 1, ..Faults::default() })]
#[case::stopped(Faults { stop_after: Some(7), requests: 1, ..Faults::default() })]
#[case::silent(Faults { silent_after: Some(7), requests: 1, ..Faults::default() })]
#[actix_rt::test]
async fn a_broken_stream_is_resumed(#[case] faults: Faults) {
    let entry = Entry::standalone("");
    let engine = start_standin("m1", Kind::Model, "coal", &[&entry], |settings| {
        settings.abilities = Abilities { resume: true, ..Abilities::default() };
        settings.between_tokens_ms = Millis(2);
    });
    entry.caller().wait_until_served().await;
    engine.set_faults(faults);
    let answer = entry.caller().chat("stock", 20).await;
    assert!(answer.is_done(), "{}", answer.body);
    assert_eq!(answer.text(), expected_text("stock", 20));
    assert_eq!(engine.counts().resumed, 1);
}

/// Guards against a failure that reaches the caller although another engine could answer.
#[actix_rt::test]
async fn an_idempotent_request_is_retried_at_another_engine() {
    let entry = Entry::standalone("");
    let failing = start_engine("m1", &[&entry]);
    let caller = entry.caller();
    // The retry budget is a share of the successful calls.
    for _ in 0..40 {
        caller.wait_until_served().await;
    }
    let _healthy = start_engine("m2", &[&entry]);
    failing.set_faults(Faults { fail_permille: 1000, ..Faults::default() });
    let mut completed = 0;
    for _ in 0..20 {
        let answer = caller.chat("stock", 5).await;
        completed += u32::from(answer.is_done());
    }
    assert!(0 < completed, "no request was answered by the healthy engine");
}

/// Guards against a truncated answer of a service that is forwarded as a complete one.
#[actix_rt::test]
async fn a_truncated_service_answer_is_an_error() {
    let entry = Entry::standalone("");
    let service = start_standin("s1", Kind::Service, "desk", &[&entry], |_| {});
    let caller = entry.caller();
    let call = || caller.send(caller.request("POST", "/services/desk/repeatable"), "hello");
    assert_eq!(call().await.status, StatusCode::OK);
    service.set_faults(Faults { cut_after: Some(0), ..Faults::default() });
    let request = caller
        .request("POST", "/services/desk/repeatable")
        .insert_header(("x-wasabi-deadline-ms", "1000"));
    let answer = caller.send(request, "hello").await;
    assert_eq!(answer.kind(), "endpoint_failed", "{}", answer.body);
    assert_eq!(answer.ran, "may_have_run");
}

/// Guards against an engine that counts as failed because one connection stalled, and against a
/// caller that gets an error although a new connection works.
#[actix_rt::test]
async fn a_stalled_connection_is_replaced_by_a_new_one() {
    let entry = Entry::standalone("");
    let engine = start_engine("m1", &[&entry]);
    let caller = entry.caller();
    for _ in 0..5 {
        caller.wait_until_served().await;
    }
    engine.set_faults(Faults { frozen: true, requests: 1, ..Faults::default() });
    let answer = caller.chat("stock", 20).await;
    assert!(answer.is_done(), "{}", answer.body);
    assert_eq!(answer.text(), expected_text("stock", 20));
}
