//! Tests of the stand-in: fencing tokens, counts and fault modes.

#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

use awc::http::StatusCode;
use rstest::rstest;
use wasabi_protocol::endpoint::{Abilities, Kind};
use wasabi_standin::{Faults, Settings, Standin};

async fn post(standin: &Standin, path: &str, body: &str) -> (StatusCode, Option<String>) {
    let url = format!("http://{}{path}", standin.address());
    let request = awc::Client::new().post(url).insert_header(("x-wasabi-attempt", "a1"));
    let response = request.send_body(body.to_owned()).await.unwrap();
    let attempt = response.headers().get("x-wasabi-attempt");
    (response.status(), attempt.map(|attempt| attempt.to_str().unwrap().to_owned()))
}

/// Guards against tests of order leases that run with the wrong kind of stand-in: only one with the
/// ability `checks_fence` refuses outdated fencing tokens.
#[rstest]
#[case::checks(true, StatusCode::CONFLICT, 1)]
#[case::ignores(false, StatusCode::NO_CONTENT, 0)]
#[actix_rt::test]
async fn outdated_fencing_tokens_are_refused_only_with_checks_fence(
    #[case] checks_fence: bool,
    #[case] status: StatusCode,
    #[case] refused: u64,
) {
    let mut settings = Settings::new("m1", Kind::Model, "m");
    settings.abilities = Abilities { checks_fence, ..Abilities::default() };
    let standin = Standin::start(settings).unwrap();
    let order = |fence| format!(r#"{{"fence":{fence},"order":{{"load":"m"}}}}"#);
    assert_eq!(post(&standin, "/v1/orders", &order(2)).await.0, StatusCode::NO_CONTENT);
    assert_eq!(post(&standin, "/v1/orders", &order(1)).await.0, status);
    assert_eq!(standin.counts().orders_refused, refused);
    assert_eq!(standin.counts().fence, 2);
}

/// Guards against a second run of the same request that is not counted.
#[actix_rt::test]
async fn every_run_is_counted() {
    let standin = Standin::start(Settings::new("s1", Kind::Service, "s")).unwrap();
    for _ in 0..2 {
        let (status, attempt) = post(&standin, "/orders", "one lorry").await;
        assert_eq!((status, attempt.as_deref()), (StatusCode::OK, Some("a1")));
    }
    let counts = standin.counts();
    assert_eq!((counts.requests, counts.finished), (2, 2));
    assert_eq!(counts.runs.values().copied().collect::<Vec<_>>(), [2]);
    assert_eq!(counts.attempts.get("a1"), Some(&2));
}

/// Guards against fault modes that remain set after the number of requests that they apply to.
#[actix_rt::test]
async fn fault_for_one_request_does_not_affect_the_next() {
    let standin = Standin::start(Settings::new("s1", Kind::Service, "s")).unwrap();
    standin.set_faults(Faults { fail_permille: 1000, requests: 1, ..Faults::default() });
    assert_eq!(post(&standin, "/x", "").await.0, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(post(&standin, "/x", "").await.0, StatusCode::OK);
}
