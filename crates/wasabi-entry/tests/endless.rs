//! Endpoints that send endless answers: the connection is closed long before the request's
//! deadline, and the caller gets a single, correct error.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use awc::http::StatusCode;
use rstest::rstest;
use serde_json::json;
use support::{Answer, Entry, chat_body, start_service, wait_until};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wasabi_testkit::flood::{Endpoint, Flood, Shape};

/// Longest time from the first byte of an endless answer to the close of its connection. The
/// deadline of each request is 20 s.
const CLOSE_BOUND: Duration = Duration::from_secs(6);

/// Longest time for which an idle kept-alive connection stays open; its time-out is 4 s.
const IDLE_BOUND: Duration = Duration::from_secs(10);

/// Most bytes that an endpoint can write: the largest answer that is buffered, and the buffers of
/// the two sockets.
const BYTES_MAX: usize = 32 * 1024 * 1024;

/// The head of an answer with the chunked transfer coding.
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nx-wasabi-attempt: {id}\r\ntransfer-encoding: chunked\r\n\r\n";

/// The head of an event stream.
const EVENTS: &str = "HTTP/1.1 200 OK\r\nx-wasabi-attempt: {id}\r\n\
                      content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Encodes a part of a body as one chunk.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn endpoint(start: &str, piece: &str) -> Endpoint {
    let shape = Shape { start: start.to_owned(), piece: piece.to_owned() };
    Endpoint::start("x-wasabi-attempt", shape).unwrap()
}

async fn announce(entry: &Entry, endpoint: &Endpoint, kind: &str, backend: &str) {
    announce_at(entry, endpoint.address(), kind, backend).await;
}

/// Announces an endpoint once; the announcement expires after some seconds.
async fn announce_at(entry: &Entry, address: SocketAddr, kind: &str, backend: &str) {
    let announcement = json!({
        "name": "raw", "incarnation": 1, "address": address.to_string(),
        "data_centre": "dc1", "kind": kind, "backend": backend, "version": "v1",
        "concurrency": 8,
    });
    let caller = entry.caller();
    let request = caller.request("POST", "/v1/endpoints");
    let answer = caller.send(request, announcement.to_string()).await;
    assert_eq!(answer.status, StatusCode::NO_CONTENT, "{}", answer.body);
}

/// Waits until the connection of the first answer is closed, and checks the bounds.
async fn wait_until_closed(endpoint: &Endpoint) -> Flood {
    wait_until("the connection is closed", async || {
        endpoint.floods().first().is_some_and(|flood| flood.closed_after.is_some())
    })
    .await;
    let flood = endpoint.floods()[0];
    assert!(flood.closed_after.unwrap() < CLOSE_BOUND, "{flood:?}");
    assert!(flood.bytes < BYTES_MAX, "{flood:?}");
    flood
}

async fn call_service(entry: &Entry) -> Answer {
    let caller = entry.caller();
    caller.send(caller.request("POST", "/services/desk/repeatable"), "hello").await
}

/// Guards against an endless answer that occupies a slot of the endpoint and memory of the entry
/// until the deadline, and against bytes of it that reach the caller as an answer.
#[rstest]
#[case::status_line("HTTP/1.1 200 ", "x")]
#[case::header_line("HTTP/1.1 200 OK\r\nx-wasabi-attempt: {id}\r\nx-long: ", "x")]
#[case::header_lines("HTTP/1.1 200 OK\r\nx-wasabi-attempt: {id}\r\n", "x-a: b\r\n")]
#[case::no_http("", "\0\u{1}no answer")]
#[case::interim("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::interim_with_id(
    "",
    "HTTP/1.1 103 Early Hints\r\nx-wasabi-attempt: {id}\r\ncontent-length: 0\r\n\r\n"
)]
#[case::upgrade("HTTP/1.1 101 Switching Protocols\r\nx-wasabi-attempt: {id}\r\n\r\n", "x")]
#[case::chunk_size(CHUNKED, "0")]
#[case::chunk_extension(&format!("{CHUNKED}5;a="), "a")]
#[case::trailers(&format!("{CHUNKED}2\r\nok\r\n0\r\n"), "x-a: b\r\n")]
#[case::chunks(CHUNKED, &chunk("hello"))]
#[case::large_length(
    "HTTP/1.1 200 OK\r\nx-wasabi-attempt: {id}\r\ncontent-length: 1000000000000\r\n\r\n",
    "x"
)]
#[case::no_length("HTTP/1.1 200 OK\r\nx-wasabi-attempt: {id}\r\n\r\n", "x")]
#[actix_rt::test]
async fn an_endless_service_answer_is_closed_and_reported(
    #[case] start: &str,
    #[case] piece: &str,
) {
    let entry = Entry::standalone("");
    let endpoint = endpoint(start, piece);
    announce(&entry, &endpoint, "service", "desk").await;
    let started = Instant::now();
    let answer = call_service(&entry).await;
    assert_eq!(answer.kind(), "endpoint_failed", "{} {}", answer.status, answer.body);
    assert_eq!(answer.ran, "may_have_run");
    assert!(started.elapsed() < CLOSE_BOUND, "the answer took {:?}", started.elapsed());
    wait_until_closed(&endpoint).await;
}

/// Guards against a kept-alive connection on which bytes accumulate after a complete answer.
#[rstest]
#[case::bytes("HTTP/1.1 200 OK\r\nx-wasabi-attempt: {id}\r\ncontent-length: 2\r\n\r\nok", "x")]
#[case::answers("", "HTTP/1.1 200 OK\r\nx-wasabi-attempt: {id}\r\ncontent-length: 2\r\n\r\nok")]
#[actix_rt::test]
async fn bytes_after_a_complete_answer_close_the_connection(
    #[case] start: &str,
    #[case] piece: &str,
) {
    let entry = Entry::standalone("");
    let endpoint = endpoint(start, piece);
    announce(&entry, &endpoint, "service", "desk").await;
    let answer = call_service(&entry).await;
    assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "ok"));
    wait_until_closed(&endpoint).await;
}

/// Guards against a stream without tokens that holds memory and a slot of the endpoint, and against
/// one that looks complete.
#[rstest]
#[case::event("", &chunk(&"x".repeat(100)))]
#[case::event_after_a_token("data: a\n\n", &chunk(&"x".repeat(100)))]
#[case::event_in_bytes("", &chunk("x"))]
#[case::event_in_bytes_after_a_token("data: a\n\n", &chunk("x"))]
#[case::empty_events("", &chunk("\n\n"))]
#[case::empty_events_after_a_token("data: a\n\n", &chunk("\n\n"))]
#[case::comments("", &chunk(":\n\n"))]
#[case::comments_after_a_token("data: a\n\n", &chunk(":\n\n"))]
#[case::named_events("", &chunk("event: x\ndata: y\n\n"))]
#[case::chunk_extension("", &format!("1;{}\r\n\n\r\n", "a".repeat(80)))]
#[actix_rt::test]
async fn a_stream_without_tokens_is_closed_and_reported(#[case] token: &str, #[case] piece: &str) {
    let entry = Entry::standalone("");
    let start = if token.is_empty() { String::new() } else { chunk(token) };
    let endpoint = endpoint(&format!("{EVENTS}{start}"), piece);
    announce(&entry, &endpoint, "model", "coal").await;
    let started = Instant::now();
    let answer = entry.caller().chat("stock", 20).await;
    assert!(!answer.is_done(), "an incomplete stream looks complete");
    assert!(answer.body.contains("may_have_run"), "{} {}", answer.status, answer.body);
    assert!(started.elapsed() < CLOSE_BOUND, "the answer took {:?}", started.elapsed());
    wait_until_closed(&endpoint).await;
}

/// Guards against a deadline that is not checked while bytes of the stream are always available.
#[actix_rt::test]
async fn an_endless_stream_of_tokens_ends_at_its_deadline() {
    let entry = Entry::standalone("");
    let endpoint = endpoint(EVENTS, &chunk("data: a\n\n"));
    announce(&entry, &endpoint, "model", "coal").await;
    let caller = entry.caller();
    let request = caller
        .request("POST", "/v1/chat/completions")
        .insert_header(("x-wasabi-deadline-ms", "1000"));
    let answer = caller.send(request, chat_body("coal", "stock", 20)).await;
    assert!(!answer.is_done(), "an incomplete stream looks complete");
    assert!(answer.body.contains("deadline_running"), "the stream did not end at its deadline");
    wait_until_closed(&endpoint).await;
}

/// Guards against a failure that reaches the caller although another endpoint could answer, and
/// against requests that wait behind an endless answer.
#[actix_rt::test]
async fn an_idempotent_call_is_retried_at_another_endpoint() {
    let entry = Entry::standalone("");
    let _healthy = start_service("s1", &[&entry]);
    wait_until("a call is answered", async || call_service(&entry).await.status == StatusCode::OK)
        .await;
    // The retry budget is a share of the successful calls.
    for _ in 0..40 {
        assert_eq!(call_service(&entry).await.status, StatusCode::OK);
    }
    let endpoint = endpoint(&format!("{CHUNKED}5;a="), "a");
    announce(&entry, &endpoint, "service", "desk").await;
    wait_until("the endpoint with the endless answer is tried", async || {
        let started = Instant::now();
        let answer = call_service(&entry).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        assert!(started.elapsed() < CLOSE_BOUND, "the answer took {:?}", started.elapsed());
        !endpoint.floods().is_empty()
    })
    .await;
    wait_until_closed(&endpoint).await;
}

/// Guards against idle kept-alive connections that stay open and occupy the endpoint.
#[actix_rt::test]
async fn an_idle_connection_is_closed() {
    let entry = Entry::standalone("");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let closing = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"hello") {
            assert_ne!(stream.read_buf(&mut request).await.unwrap(), 0);
        }
        let request = String::from_utf8(request).unwrap();
        let mut lines = request.lines();
        let id = lines.find_map(|line| line.strip_prefix("x-wasabi-attempt: ")).unwrap();
        let answer =
            format!("HTTP/1.1 200 OK\r\nx-wasabi-attempt: {id}\r\ncontent-length: 2\r\n\r\nok");
        stream.write_all(answer.as_bytes()).await.unwrap();
        // Reading zero bytes means that the entry closed the connection.
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
    });
    announce_at(&entry, address, "service", "desk").await;
    assert_eq!(call_service(&entry).await.body, "ok");
    tokio::time::timeout(IDLE_BOUND, closing).await.expect("the connection is closed").unwrap();
}
