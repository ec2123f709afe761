//! Calls that must not run twice: records, the dispatch window, resends, and true refusals.

mod support;

use std::time::Duration;

use awc::http::StatusCode;
use support::{Caller, Entry, TOKEN, control::Control, runs, service, until};
use tokio::io::AsyncWriteExt as _;
use wasabi_protocol::clock::unix_now;
use wasabi_standin::Faults;

/// Starts a control member and an entry under it.
async fn system() -> (Control, Entry) {
    let control = Control::start().await;
    let entry = Entry::controlled("e1", &control.address(), "");
    ready(&entry).await;
    (control, entry)
}

async fn ready(entry: &Entry) {
    let caller = entry.caller();
    until("the entry serves", async || {
        caller.send(caller.request("GET", "/v1/entries"), "").await.status == StatusCode::OK
    })
    .await;
}

/// Guards against a second run when a caller resends a key whose answer it lost.
#[actix_rt::test]
async fn a_resent_key_gets_the_first_outcome() {
    let (_control, entry) = system().await;
    let service = service("s1", &[&entry]);
    let caller = entry.caller();
    let first = caller.order("k1", "one lorry").await;
    assert_eq!((first.status, first.ran.as_str()), (StatusCode::OK, "ran"), "{}", first.body);
    let second = caller.order("k1", "one lorry").await;
    assert_eq!((second.status, &second.body), (first.status, &first.body));
    assert_eq!(second.ran, "ran");
    assert_eq!(runs(&service.counts(), "k1"), 1);
}

/// Guards against a second run when the resend goes through another entry.
#[actix_rt::test]
async fn a_key_resent_through_another_entry_runs_once() {
    let (control, first) = system().await;
    let other = Entry::controlled("e2", &control.address(), "");
    ready(&other).await;
    let service = service("s1", &[&first, &other]);
    let answer = first.caller().order("k1", "one lorry").await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    let again = other.caller().order("k1", "one lorry").await;
    assert_eq!((again.status, again.body), (answer.status, answer.body));
    assert_eq!(runs(&service.counts(), "k1"), 1);
}

/// Guards against one key that stands for two orders.
#[actix_rt::test]
async fn a_key_with_another_body_is_refused() {
    let (_control, entry) = system().await;
    let service = service("s1", &[&entry]);
    let caller = entry.caller();
    caller.order("k1", "one lorry").await;
    let answer = caller.order("k1", "two lorries").await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("key_reused", "not_run"));
    assert_eq!(service.counts().requests, 1);
}

/// Guards against one key and body that stand for calls of two routes.
#[actix_rt::test]
async fn a_key_with_another_path_is_refused() {
    let (_control, entry) = system().await;
    let service = service("s1", &[&entry]);
    let caller = entry.caller();
    caller.order("k1", "one lorry").await;
    let other = caller.request("POST", "/services/desk/orders/urgent");
    let answer = caller.send(other.insert_header(("idempotency-key", "k1")), "one lorry").await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("key_reused", "not_run"));
    assert_eq!(service.counts().requests, 1);
}

/// Guards against a record that nobody releases: control commits it, its answer is lost, and then
/// no leader can be found.
#[actix_rt::test]
async fn a_record_with_a_lost_answer_is_released() {
    let (control, entry) = system().await;
    let service = service("s1", &[&entry]);
    let caller = entry.caller();
    caller.order("warm", "up").await;
    control.forget(true);
    let order = caller.order("k1", "one lorry");
    let lose = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        control.lose(true);
    };
    let (answer, ()) = futures_util::future::join(order, lose).await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("record_unknown", "not_run"));
    control.forget(false);
    control.lose(false);
    until("the key runs", async || caller.order("k1", "one lorry").await.status == StatusCode::OK)
        .await;
    assert_eq!(runs(&service.counts(), "k1"), 1);
}

/// Guards against a dispatch by a process that was held up past its window: the answer of control
/// comes after 2 s, as it does for a frozen process.
#[actix_rt::test]
async fn a_dispatch_past_its_window_is_not_sent() {
    let (control, entry) = system().await;
    let service = service("s1", &[&entry]);
    let caller = entry.caller();
    caller.order("warm", "up").await;
    // Each proposal is answered within its own bound, and the two together pass the window.
    control.delay(Duration::from_millis(1_200));
    control.forget(true);
    let held_up = caller.order("k1", "one lorry");
    let restore = async {
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        control.forget(false);
    };
    let (answer, ()) = futures_util::future::join(held_up, restore).await;
    assert_eq!(answer.ran, "not_run", "{}", answer.body);
    assert_eq!(runs(&service.counts(), "k1"), 0);
    control.delay(Duration::ZERO);
    // "Not run" is true, so the key is free again.
    until("the key runs", async || caller.order("k1", "one lorry").await.status == StatusCode::OK)
        .await;
    assert_eq!(runs(&service.counts(), "k1"), 1);
}

/// Guards against a refusal that is not true after the endpoint died with the request.
#[actix_rt::test]
async fn an_endpoint_killed_after_the_first_byte_may_have_run() {
    let (_control, entry) = system().await;
    let service = service("s1", &[&entry]);
    service.set_faults(Faults { crash_on: Some("lorry".into()), ..Faults::default() });
    let caller = entry.caller();
    let answer = caller.order("k1", "one lorry").await;
    assert_eq!(answer.ran, "may_have_run", "{}", answer.body);
    let again = caller.order("k1", "one lorry").await;
    assert_eq!(again.ran, "may_have_run", "{}", again.body);
    assert_eq!(runs(&service.counts(), "k1"), 1);
}

/// Guards against a lost order when the endpoint was gone before any byte left: the call is sent
/// to another endpoint, or is truly not run.
#[actix_rt::test]
async fn an_endpoint_killed_before_the_first_byte_is_replaced() {
    let (_control, entry) = system().await;
    let mut dead = service("s1", &[&entry]);
    entry.caller().order("warm", "up").await;
    dead.kill();
    let answer = entry.caller().order("k1", "one lorry").await;
    assert_eq!(answer.ran, "not_run", "{}", answer.body);
    assert_eq!(runs(&dead.counts(), "k1"), 0);
    let alive = service("s2", &[&entry]);
    let caller = entry.caller();
    until("the key runs", async || caller.order("k1", "one lorry").await.status == StatusCode::OK)
        .await;
    assert_eq!(runs(&alive.counts(), "k1"), 1);
}

/// Guards against a dispatch without a record when control has no quorum.
#[actix_rt::test]
async fn without_control_nothing_is_sent() {
    let (control, entry) = system().await;
    let service = service("s1", &[&entry]);
    entry.caller().order("warm", "up").await;
    control.lose(true);
    let answer = entry.caller().order("k1", "one lorry").await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("record_unavailable", "not_run"));
    assert_eq!(runs(&service.counts(), "k1"), 0);
}

/// Guards against a dispatch on a record whose outcome is unknown.
#[actix_rt::test]
async fn an_unknown_record_is_not_sent() {
    let (control, entry) = system().await;
    let service = service("s1", &[&entry]);
    entry.caller().order("warm", "up").await;
    control.forget(true);
    let answer = entry.caller().order("k1", "one lorry").await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("record_unknown", "not_run"));
    assert_eq!(runs(&service.counts(), "k1"), 0);
}

/// Guards against a lost outcome when the caller goes away while its order runs.
#[actix_rt::test]
async fn an_order_goes_on_when_its_caller_leaves() {
    let (_control, entry) = system().await;
    let service = support::standin(
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
    until("the order runs", async || runs(&service.counts(), "k1") == 1).await;
    // The connection is reset, so the entry cannot take it for a caller that only stopped sending.
    connection.set_zero_linger().unwrap();
    drop(connection);
    let answer = entry.caller().order("k1", "one lorry").await;
    assert_eq!((answer.status, answer.ran.as_str()), (StatusCode::OK, "ran"), "{}", answer.body);
    assert_eq!(runs(&service.counts(), "k1"), 1);
}

/// Guards against a refusal of the queue that hides an earlier run of the same key.
#[actix_rt::test]
async fn a_queue_refusal_does_not_hide_an_earlier_run() {
    let (_control, entry) = system().await;
    let mut service = service("s1", &[&entry]);
    let caller = entry.caller();
    let first = caller.order("k1", "one lorry").await;
    assert_eq!(first.status, StatusCode::OK, "{}", first.body);
    service.kill();
    let mut fresh = 0;
    until("the queue refuses for want of an endpoint", async || {
        fresh += 1;
        let answer = caller.order(&format!("fresh-{fresh}"), "one lorry").await;
        assert_eq!(answer.ran, "not_run", "{}", answer.body);
        answer.kind() == "no_endpoint"
    })
    .await;
    // The queue refuses this one too, but it ran earlier.
    let again = caller.order("k1", "one lorry").await;
    assert_eq!((again.ran.as_str(), again.body), ("ran", first.body));
}

/// Guards against keys that cannot be told from expired ones.
#[actix_rt::test]
async fn keys_are_checked() {
    let (_control, entry) = system().await;
    let service = service("s1", &[&entry]);
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

/// Guards against a key that the entry issues itself and that a second call could share.
#[actix_rt::test]
async fn calls_without_a_key_run_once_each() {
    let (_control, entry) = system().await;
    let service = service("s1", &[&entry]);
    let caller = Caller::new(entry.address());
    for number in 1..=2 {
        let request = caller.request("POST", "/services/desk/orders");
        let answer = caller.send(request, "one lorry").await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        assert_eq!(service.counts().requests, number);
    }
}
