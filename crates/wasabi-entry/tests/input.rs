//! Invalid input from callers: it gets a clear error, nothing is run, and the entry goes on serving.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, TcpStream},
    time::Duration,
};

use awc::http::StatusCode;
use rstest::rstest;
use support::{Entry, TOKEN, chat_body, start_engine};

const CHAT: &str = "/v1/chat/completions";

/// Guards against bad requests that reach an engine or get an answer other than `not_run`.
#[rstest]
#[case::no_json(CHAT, "{", "bad_request")]
#[case::no_messages(CHAT, r#"{"model":"coal","messages":[]}"#, "bad_request")]
#[case::no_model(CHAT, r#"{"messages":[{"role":"user","content":"x"}]}"#, "bad_request")]
#[case::wrong_type(CHAT, r#"{"model":7,"messages":"x"}"#, "bad_request")]
#[case::unknown_model(
    CHAT,
    r#"{"model":"gas","messages":[{"role":"user","content":"x"}]}"#,
    "unknown_route"
)]
#[case::unknown_path("/v2/chat", "", "unknown_route")]
#[case::unknown_service("/services/bank/orders", "", "unknown_route")]
#[case::unknown_service_path("/services/desk/orders-archive", "", "unknown_route")]
#[case::dot_segments("/services/desk/repeatable/../orders", "", "bad_request")]
#[case::coded_route("/services/desk/repeatable/%6Fnce", "", "bad_request")]
#[case::coded_slash("/services/desk/repeatable/x%2F..%2Fonce", "", "bad_request")]
#[case::double_slash("/services/desk/repeatable//once", "", "bad_request")]
#[case::coded_dot_segments("/services/desk/repeatable/%2e%2E/orders", "", "bad_request")]
#[actix_rt::test]
async fn a_bad_request_is_refused(#[case] path: &str, #[case] body: &str, #[case] kind: &str) {
    let entry = Entry::standalone("");
    let engine = start_engine("m1", &[&entry]);
    let caller = entry.caller();
    let answer = caller.send(caller.request("POST", path), body).await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), (kind, "not_run"), "{}", answer.body);
    assert_eq!(engine.counts().requests, 0);
}

/// Guards against an odd announcement that ends the entry, or registers an endpoint that requests
/// cannot reach or that seems to have room for all of them.
#[rstest]
#[case::no_port("127.0.0.1:9", "127.0.0.1:0")]
#[case::high_port("127.0.0.1:9", "127.0.0.1:65536")]
#[case::negative_port("127.0.0.1:9", "127.0.0.1:-1")]
#[case::no_host("127.0.0.1:9", "0.0.0.0:9")]
#[case::many_slots("\"concurrency\":1", "\"concurrency\":4294967295")]
#[case::too_many_slots("\"concurrency\":1", "\"concurrency\":1e400")]
#[case::text_slots("\"concurrency\":1", "\"concurrency\":\"1\"")]
#[case::late_start("\"incarnation\":1", "\"incarnation\":18446744073709551615")]
#[case::later_start("\"incarnation\":1", "\"incarnation\":18446744073709551616")]
#[case::twice("\"incarnation\":1", "\"incarnation\":1,\"incarnation\":1")]
#[case::deep("\"incarnation\":1", &format!("\"load\":{}", "[".repeat(50_000)))]
#[case::long_name("\"name\":\"odd\"", &format!("\"name\":\"{}\"", "n".repeat(4_096)))]
#[actix_rt::test]
async fn an_odd_announcement_is_refused(#[case] sound: &str, #[case] odd: &str) {
    let entry = Entry::standalone("");
    let _engine = start_engine("m1", &[&entry]);
    let caller = entry.caller();
    caller.wait_until_served().await;
    let body = r#"{"name":"odd","incarnation":1,"address":"127.0.0.1:9","data_centre":"d1",
        "kind":"model","backend":"coal","version":"v1","concurrency":1}"#;
    assert!(body.contains(sound));
    let announce =
        async |body: &str| caller.send(caller.request("POST", "/v1/endpoints"), body).await;
    let answer = announce(&body.replace(sound, odd)).await;
    assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{}", answer.body);
    for _ in 0..5 {
        assert!(caller.chat("stock", 3).await.is_done());
    }
    assert_eq!(announce(body).await.status, StatusCode::NO_CONTENT, "the sound one is accepted");
}

/// Guards against access without the token of a contract.
#[rstest]
#[case::missing(None)]
#[case::wrong(Some("Bearer nobody"))]
#[case::other_scheme(Some("Basic a296YW5p"))]
#[actix_rt::test]
async fn a_wrong_token_is_refused(#[case] token: Option<&str>) {
    let entry = Entry::standalone("");
    let request = awc::Client::new().post(format!("http://{}{CHAT}", entry.address()));
    let request = match token {
        Some(token) => request.insert_header(("authorization", token)),
        None => request,
    };
    let answer = entry.caller().send(request, chat_body("coal", "x", 1)).await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("unauthorized", "not_run"));
}

/// Guards against unbounded memory for one body, with and without a content length.
#[rstest]
#[case::content_length(false)]
#[case::chunked(true)]
#[actix_rt::test]
async fn a_large_body_is_refused(#[case] is_chunked: bool) {
    let entry = Entry::standalone("callers:\n  body_bytes: 4096");
    let caller = entry.caller();
    let body = "x".repeat(20_000);
    let request = caller.request("POST", CHAT);
    let response = if is_chunked {
        let chunks = futures_util::stream::iter(vec![Ok::<_, std::io::Error>(body.into())]);
        request.send_stream(chunks).await
    } else {
        request.send_body(body).await
    };
    let mut response = response.unwrap();
    assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(response.headers().get("x-wasabi-ran").unwrap(), "not_run");
    assert!(response.body().await.unwrap().starts_with(br#"{"error":{"kind":"body_too_large""#));
}

/// Sends these bytes on a new connection, calls `then`, and returns what the entry answers until it
/// closes the connection.
fn send_raw(entry: &Entry, bytes: &[u8], then: impl FnOnce(&TcpStream)) -> String {
    let mut stream = TcpStream::connect(entry.address()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(bytes).unwrap();
    then(&stream);
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Guards against idle connections that hold memory: slow heads and slow bodies.
#[rstest]
#[case::head("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n")]
#[case::body(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer kozani-hospital\r\ncontent-length: 100\r\n\r\n{"
)]
#[actix_rt::test]
async fn a_slow_request_is_timed_out(#[case] part: &str) {
    let entry = Entry::standalone("callers:\n  head_time: 300ms\n  body_time: 300ms");
    let answer = send_raw(&entry, part.as_bytes(), |_| {});
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("x-wasabi-ran: not_run"), "{answer}");
    assert!(answer.contains(r#""kind":"request_timeout""#), "{answer}");
}

/// Guards against a malformed head that gets no clear answer.
#[rstest]
#[case::no_http(b"hello\r\n\r\n")]
#[case::two_lengths(
    b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n"
)]
#[case::bytes(b"GET / HTTP/1.1\r\nhost\xff\xfe: x\r\n\r\n")]
#[actix_rt::test]
async fn a_malformed_head_is_refused(#[case] head: &[u8]) {
    let entry = Entry::standalone("");
    let answer = send_raw(&entry, head, |_| {});
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("x-wasabi-ran: not_run"), "{answer}");
    assert!(answer.contains(r#""kind":"bad_request""#), "{answer}");
}

/// Guards against invalid UTF-8 that is forwarded as a chat completion.
#[actix_rt::test]
async fn invalid_utf8_is_refused() {
    let entry = Entry::standalone("");
    let caller = entry.caller();
    let mut body = chat_body("coal", "stock", 1).into_bytes();
    let at = body.windows(5).position(|part| part == b"stock").unwrap();
    body[at] = 0xff;
    let mut response = caller.request("POST", CHAT).send_body(body).await.unwrap();
    assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    assert!(response.body().await.unwrap().starts_with(br#"{"error":{"kind":"bad_request""#));
}

/// Guards against swapped answers when requests are pipelined, and against lost answers when the
/// caller half-closes its connection.
#[actix_rt::test]
async fn pipelined_and_half_closed_requests_are_answered_in_order() {
    let entry = Entry::standalone("");
    let _engine = start_engine("m1", &[&entry]);
    entry.caller().wait_until_served().await;
    let request = |prompt: &str| {
        let body = chat_body("coal", prompt, 3);
        format!(
            "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let requests = request("first") + &request("second");
    let answer = actix_rt::task::spawn_blocking(move || {
        send_raw(&entry, requests.as_bytes(), |stream| {
            stream.shutdown(Shutdown::Write).unwrap();
        })
    })
    .await
    .unwrap();
    let token = |prompt| support::expected_text(prompt, 1);
    let (first, second) = (answer.find(&token("first")), answer.find(&token("second")));
    assert!(first.is_some() && first < second, "{answer}");
    assert_eq!(answer.matches("data: [DONE]").count(), 2, "{answer}");
}
