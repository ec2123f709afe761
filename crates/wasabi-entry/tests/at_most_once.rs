//! At-most-once calls: records, the dispatch window, retries with the same key, and refusals.

mod support;

use std::time::Duration;

use awc::http::StatusCode;
use support::{Caller, Entry, TOKEN, control::Control, run_count, start_service, wait_until};
use tokio::io::AsyncWriteExt as _;
use wasabi_protocol::clock::unix_now;
use wasabi_standin::Faults;

/// Starts a control member and an entry that is configured by it.
async fn start_site() -> (Control, Entry) {
    let control = Control::start().await;
    let entry = Entry::with_control("e1", &control.address(), "");
    wait_until_ready(&entry).await;
    (control, entry)
}

async fn wait_until_ready(entry: &Entry) {
    let caller = entry.caller();
    wait_until("the entry serves", async || {
        caller.send(caller.request("GET", "/v1/entries"), "").await.status == StatusCode::OK
    })
    .await;
}

/// Guards against a second run when a caller did not receive the answer and resends the key.
#[actix_rt::test]
async fn a_resent_key_gets_the_first_outcome() {
    let (_control, entry) = start_site().await;
    let service = start_service("s1", &[&entry]);
    let caller = entry.caller();
    let first = caller.order("k1", "one lorry").await;
    assert_eq!((first.status, first.ran.as_str()), (StatusCode::OK, "ran"), "{}", first.body);
    let second = caller.order("k1", "one lorry").await;
    assert_eq!((second.status, &second.body), (first.status, &first.body));
    assert_eq!(second.ran, "ran");
    assert_eq!(run_count(&service.counts(), "k1"), 1);
}

/// Guards against a second run when the key is resent through another entry.
#[actix_rt::test]
async fn a_key_resent_through_another_entry_runs_once() {
    let (control, first) = start_site().await;
    let other = Entry::with_control("e2", &control.address(), "");
    wait_until_ready(&other).await;
    let service = start_service("s1", &[&first, &other]);
    let answer = first.caller().order("k1", "one lorry").await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    let again = other.caller().order("k1", "one lorry").await;
    assert_eq!((again.status, again.body), (answer.status, answer.body));
    assert_eq!(run_count(&service.counts(), "k1"), 1);
}

/// Guards against one key that is accepted for two orders.
#[actix_rt::test]
async fn a_key_with_another_body_is_refused() {
    let (_control, entry) = start_site().await;
    let service = start_service("s1", &[&entry]);
    let caller = entry.caller();
    caller.order("k1", "one lorry").await;
    let answer = caller.order("k1", "two lorries").await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("key_reused", "not_run"));
    assert_eq!(service.counts().requests, 1);
}

/// Guards against one key and body that are accepted for calls of two paths.
#[actix_rt::test]
async fn a_key_with_another_path_is_refused() {
    let (_control, entry) = start_site().await;
    let service = start_service("s1", &[&entry]);
    let caller = entry.caller();
    caller.order("k1", "one lorry").await;
    let other = caller.request("POST", "/services/desk/orders/urgent");
    let answer = caller.send(other.insert_header(("idempotency-key", "k1")), "one lorry").await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("key_reused", "not_run"));
    assert_eq!(service.counts().requests, 1);
}

/// Guards against a record that is never released: control commits it, its answer is lost, and
/// then no leader can be found.
#[actix_rt::test]
async fn a_record_with_a_lost_answer_is_released() {
    let (control, entry) = start_site().await;
    let service = start_service("s1", &[&entry]);
    let caller = entry.caller();
    caller.order("warm", "up").await;
    control.set_outcome_unknown(true);
    let order = caller.order("k1", "one lorry");
    let lose_quorum = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        control.set_quorum_lost(true);
    };
    let (answer, ()) = futures_util::future::join(order, lose_quorum).await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("record_unknown", "not_run"));
    control.set_outcome_unknown(false);
    control.set_quorum_lost(false);
    wait_until("the key runs", async || {
        caller.order("k1", "one lorry").await.status == StatusCode::OK
    })
    .await;
    assert_eq!(run_count(&service.counts(), "k1"), 1);
}

/// Guards against a dispatch after its window has passed: the answers of control arrive more than
/// 2 s late in total, as they do at a process that was paused.
#[actix_rt::test]
async fn a_dispatch_past_its_window_is_not_sent() {
    let (control, entry) = start_site().await;
    let service = start_service("s1", &[&entry]);
    let caller = entry.caller();
    caller.order("warm", "up").await;
    // Each of the two proposals is answered within its time-out, but together they take longer than
    // the window.
    control.set_answer_delay(Duration::from_millis(1_200));
    control.set_outcome_unknown(true);
    let delayed = caller.order("k1", "one lorry");
    let restore = async {
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        control.set_outcome_unknown(false);
    };
    let (answer, ()) = futures_util::future::join(delayed, restore).await;
    assert_eq!(answer.ran, "not_run", "{}", answer.body);
    assert_eq!(run_count(&service.counts(), "k1"), 0);
    control.set_answer_delay(Duration::ZERO);
    // The order did not run, so the key can be used again.
    wait_until("the key runs", async || {
        caller.order("k1", "one lorry").await.status == StatusCode::OK
    })
    .await;
    assert_eq!(run_count(&service.counts(), "k1"), 1);
}

/// Guards against `not_run` for a request whose endpoint crashed after it had received it.
#[actix_rt::test]
async fn an_endpoint_killed_after_the_first_byte_may_have_run() {
    let (_control, entry) = start_site().await;
    let service = start_service("s1", &[&entry]);
    service.set_faults(Faults { crash_on: Some("lorry".into()), ..Faults::default() });
    let caller = entry.caller();
    let answer = caller.order("k1", "one lorry").await;
    assert_eq!(answer.ran, "may_have_run", "{}", answer.body);
    let again = caller.order("k1", "one lorry").await;
    assert_eq!(again.ran, "may_have_run", "{}", again.body);
    assert_eq!(run_count(&service.counts(), "k1"), 1);
}

/// Guards against a key that stays taken when the endpoint was gone before any byte was sent: the
/// call is reported as not run, and its key runs at another endpoint.
#[actix_rt::test]
async fn an_endpoint_killed_before_the_first_byte_is_replaced() {
    let (_control, entry) = start_site().await;
    let mut dead = start_service("s1", &[&entry]);
    entry.caller().order("warm", "up").await;
    dead.kill();
    let answer = entry.caller().order("k1", "one lorry").await;
    assert_eq!(answer.ran, "not_run", "{}", answer.body);
    assert_eq!(run_count(&dead.counts(), "k1"), 0);
    let alive = start_service("s2", &[&entry]);
    let caller = entry.caller();
    wait_until("the key runs", async || {
        caller.order("k1", "one lorry").await.status == StatusCode::OK
    })
    .await;
    assert_eq!(run_count(&alive.counts(), "k1"), 1);
}

/// Guards against a dispatch without a record when control has no quorum.
#[actix_rt::test]
async fn without_a_quorum_nothing_is_sent() {
    let (control, entry) = start_site().await;
    let service = start_service("s1", &[&entry]);
    entry.caller().order("warm", "up").await;
    control.set_quorum_lost(true);
    let answer = entry.caller().order("k1", "one lorry").await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("record_unavailable", "not_run"));
    assert_eq!(run_count(&service.counts(), "k1"), 0);
}

/// Guards against a dispatch although the outcome of its record is unknown.
#[actix_rt::test]
async fn a_dispatch_with_an_unknown_record_outcome_is_not_sent() {
    let (control, entry) = start_site().await;
    let service = start_service("s1", &[&entry]);
    entry.caller().order("warm", "up").await;
    control.set_outcome_unknown(true);
    let answer = entry.caller().order("k1", "one lorry").await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("record_unknown", "not_run"));
    assert_eq!(run_count(&service.counts(), "k1"), 0);
}

/// Guards against a lost outcome when the caller disconnects while its order runs.
#[actix_rt::test]
async fn an_order_completes_when_its_caller_disconnects() {
    let (_control, entry) = start_site().await;
    let service = support::start_standin(
        "s1",
        wasabi_protocol::endpoint::Kind::Service,
        "desk",
        &[&entry],
        |settings| settings.first_token_ms = wasabi_protocol::clock::Millis(300),
    );
    let mut connection = tokio::net::TcpStream::connect(entry.address()).await.unwrap();
    let request = format!(
        "POST /services/desk/orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
         idempotency-key: k1\r\ncontent-length: 9\r\n\r\none lorry"
    );
    connection.write_all(request.as_bytes()).await.unwrap();
    wait_until("the order runs", async || run_count(&service.counts(), "k1") == 1).await;
    // Resets the connection; after a FIN the caller could still be waiting for its answer.
    connection.set_zero_linger().unwrap();
    drop(connection);
    let answer = entry.caller().order("k1", "one lorry").await;
    assert_eq!((answer.status, answer.ran.as_str()), (StatusCode::OK, "ran"), "{}", answer.body);
    assert_eq!(run_count(&service.counts(), "k1"), 1);
}

/// Guards against a refusal by the queue that hides an earlier run of the same key.
#[actix_rt::test]
async fn a_queue_refusal_does_not_hide_an_earlier_run() {
    let (_control, entry) = start_site().await;
    let mut service = start_service("s1", &[&entry]);
    let caller = entry.caller();
    let first = caller.order("k1", "one lorry").await;
    assert_eq!(first.status, StatusCode::OK, "{}", first.body);
    service.kill();
    let mut fresh = 0;
    wait_until("the queue refuses an order because no endpoint is left", async || {
        fresh += 1;
        let answer = caller.order(&format!("fresh-{fresh}"), "one lorry").await;
        assert_eq!(answer.ran, "not_run", "{}", answer.body);
        answer.kind() == "no_endpoint"
    })
    .await;
    // The queue would refuse this order too, but its key has already run.
    let again = caller.order("k1", "one lorry").await;
    assert_eq!((again.ran.as_str(), again.body), ("ran", first.body));
}

/// Guards against keys without a creation time, which cannot be told from expired ones, and against
/// expired keys that run.
#[actix_rt::test]
async fn missing_undated_and_expired_keys_are_refused() {
    let (_control, entry) = start_site().await;
    let service = start_service("s1", &[&entry]);
    let caller = entry.caller();
    caller.order("warm", "up").await;
    let pickup = || caller.request("POST", "/services/desk/pickups");
    let no_key = caller.send(pickup(), "x").await;
    assert_eq!((no_key.kind().as_str(), no_key.ran.as_str()), ("key_required", "not_run"));
    let no_time = caller.send(pickup().insert_header(("idempotency-key", "k")), "x").await;
    assert_eq!(no_time.kind(), "key_required");
    let aged = |age_s: u64| {
        let created = unix_now().0 - age_s * 1_000;
        pickup()
            .insert_header(("idempotency-key", "k"))
            .insert_header(("idempotency-key-created", created.to_string()))
    };
    let old = caller.send(aged(24 * 3_600), "x").await;
    assert_eq!((old.kind().as_str(), old.ran.as_str()), ("key_expired", "not_run"));
    assert_eq!(service.counts().requests, 1, "only the warm-up ran");
    let good = caller.send(aged(60), "x").await;
    assert_eq!(good.status, StatusCode::OK, "{}", good.body);
}

/// Guards against calls without a key that are given the same generated key.
#[actix_rt::test]
async fn calls_without_a_key_run_once_each() {
    let (_control, entry) = start_site().await;
    let service = start_service("s1", &[&entry]);
    let caller = Caller::new(entry.address());
    for number in 1..=2 {
        let request = caller.request("POST", "/services/desk/orders");
        let answer = caller.send(request, "one lorry").await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        assert_eq!(service.counts().requests, number);
    }
}
