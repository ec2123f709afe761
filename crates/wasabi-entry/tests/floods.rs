//! Callers and endpoints that send endless requests: the connection is closed within a bound, and
//! other callers are served meanwhile.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use awc::http::StatusCode;
use rstest::rstest;
use support::Entry;
use wasabi_testkit::flood::{self, Shape};

/// Longest time from the first byte of an endless request to the close of its connection.
const CLOSE_BOUND: Duration = Duration::from_secs(8);

/// Longest time of a concurrent call.
const OTHER_CALL_BOUND: Duration = Duration::from_secs(2);

const CHAT: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
                    authorization: Bearer kozani-hospital\r\n";
const UNAUTHORIZED_CHAT: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
const ANNOUNCE: &str = "POST /v1/endpoints HTTP/1.1\r\nhost: x\r\n";

/// The end of a head whose body has the chunked transfer coding.
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// Returns one chunk of a body.
fn chunk() -> String {
    format!("400\r\n{}\r\n", "x".repeat(1024))
}

/// Guards against an endless request of a caller or an announcing endpoint that holds memory and a
/// connection without a limit, or delays other calls.
#[rstest]
#[case::head("POST /", "x")]
#[case::headers(CHAT, "x-a: b\r\n")]
#[case::no_http("", "\0\u{1}no request")]
#[case::body(&format!("{CHAT}{CHUNKED}"), &chunk())]
#[case::chunk_size(&format!("{CHAT}{CHUNKED}"), "0")]
#[case::chunk_extension(&format!("{CHAT}{CHUNKED}5;a="), "a")]
#[case::trailers(&format!("{CHAT}{CHUNKED}0\r\n"), "x-a: b\r\n")]
#[case::refused_body(&format!("{UNAUTHORIZED_CHAT}{CHUNKED}"), &chunk())]
#[case::refused_extension(&format!("{UNAUTHORIZED_CHAT}{CHUNKED}5;a="), "a")]
#[case::announcement(&format!("{ANNOUNCE}{CHUNKED}"), &chunk())]
#[case::announcement_length(&format!("{ANNOUNCE}content-length: 99999999999\r\n\r\n"), "x")]
#[case::announcement_extension(&format!("{ANNOUNCE}{CHUNKED}5;a="), "a")]
#[case::leave_body(&format!("DELETE /v1/endpoints/x HTTP/1.1\r\nhost: x\r\n{CHUNKED}"), &chunk())]
#[actix_rt::test]
async fn an_endless_request_is_closed_and_others_are_served(
    #[case] start: &str,
    #[case] piece: &str,
) {
    let entry = Entry::standalone("");
    let address = entry.daemon.callers();
    let shape = Shape { start: start.to_owned(), piece: piece.to_owned() };
    let flood = thread::spawn(move || flood::send(address, &shape).unwrap());
    let caller = entry.caller();
    let mut longest = Duration::ZERO;
    while !flood.is_finished() {
        let started = Instant::now();
        let answer = caller.send(caller.request("GET", "/v1/none"), "").await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND, "{}", answer.body);
        longest = longest.max(started.elapsed());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let (flood, answer) = flood.join().unwrap();
    assert!(flood.closed_after.is_some_and(|time| time < CLOSE_BOUND), "{flood:?} {answer}");
    assert!(longest < OTHER_CALL_BOUND, "another call took {longest:?}");
    assert!(answer.lines().next().is_none_or(is_refusal_or_no_content), "{answer}");
}

fn is_refusal_or_no_content(status_line: &str) -> bool {
    status_line.starts_with("HTTP/1.1 4") || status_line.starts_with("HTTP/1.1 204")
}
