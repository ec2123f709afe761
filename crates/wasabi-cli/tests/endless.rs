//! Tests of the `wasabi` command against a server whose responses never end.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{
    process::{Command, Output, Stdio},
    time::{Duration, Instant},
};

use rstest::rstest;
use wasabi_testkit::flood::{Endpoint, Shape};

/// Upper bound for one command: its timeout of 3 s, and a call of 2.5 s that started before the
/// timeout.
const COMMAND_TIME_LIMIT: Duration = Duration::from_secs(8);

/// Exit code when control does not respond.
const EXIT_UNAVAILABLE: i32 = 5;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
                       transfer-encoding: chunked\r\n\r\n";

/// Guards against a command that hangs, or uses unbounded memory, while it reads a response that
/// never ends.
#[rstest]
#[case::status_line("HTTP/1.1 200 ", "x")]
#[case::header_line("HTTP/1.1 200 OK\r\nx-long: ", "x")]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "x-a: b\r\n")]
#[case::not_http("", "\0\u{1}no answer")]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::chunk_size(CHUNKED, "0")]
#[case::chunk_extension(&format!("{CHUNKED}5;a="), "a")]
#[case::trailers(&format!("{CHUNKED}2\r\n{{}}\r\n0\r\n"), "x-a: b\r\n")]
#[case::chunks(CHUNKED, &format!("400\r\n{}\r\n", "x".repeat(1024)))]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\n", "x")]
fn endless_response_ends_the_command(#[case] start: &str, #[case] piece: &str) {
    let shape = Shape { start: start.to_owned(), piece: piece.to_owned() };
    let endpoint = Endpoint::start("x-request", shape).unwrap();
    let started = Instant::now();
    let Output { status, stderr, .. } = Command::new(env!("CARGO_BIN_EXE_wasabi"))
        .env("WASABI_CONTROL", endpoint.address().to_string())
        .env("WASABI_CREDENTIAL", "operator")
        .args(["--operator", "ada", "--timeout", "3", "status"])
        .stdin(Stdio::null())
        .output()
        .unwrap();
    assert_eq!(status.code(), Some(EXIT_UNAVAILABLE), "{}", String::from_utf8_lossy(&stderr));
    assert!(started.elapsed() < COMMAND_TIME_LIMIT, "{:?}", started.elapsed());
    assert!(!endpoint.floods().is_empty(), "the command sent no request");
}
