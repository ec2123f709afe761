//! Requests that wait at their entry, the holder, while their pool has no owner, or another owner
//! than the holder knows of.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use std::time::{Duration, Instant};

use awc::http::StatusCode;
use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use rstest::rstest;
use support::{
    Entry,
    control::Control,
    peer::{Mode, Peer, higher_ranked_names, start_holder},
    start_engine, start_standin, wait_until,
};
use wasabi_protocol::{
    clock::Millis,
    contract::Tier,
    endpoint, fingerprint, id,
    request::Request,
    rpc::{Acquire, Acquired, Holdings, method},
};
use wasabi_testkit::relay::Relay;

/// Number of requests that wait at the holder.
const WAITING_COUNT: usize = 60;

/// Time for which the pool has no owner that grants.
const WITHOUT_OWNER: Duration = Duration::from_secs(2);

/// Most calls for grants in [`WITHOUT_OWNER`]: one every 50 ms.
const CALLS_MAX: u64 = 41;

/// Longest time until all waiting requests have run once an owner grants: the longest interval
/// between two calls for grants, and the time to run the requests.
const RECOVERY_BOUND: Duration = Duration::from_secs(1);

/// Sends requests concurrently and returns the tasks that read their answers.
fn spawn_chats(entry: &Entry, count: usize) -> Vec<actix_rt::task::JoinHandle<support::Answer>> {
    let address = entry.address();
    let chat =
        |address: String| async move { support::Caller::new(address).chat("stock", 1).await };
    (0..count).map(|_| actix_rt::spawn(chat(address.clone()))).collect()
}

/// Guards against a holder that repeats the call for every waiting request while no entry owns the
/// pool: on a large site these calls saturated the links, which delayed heartbeats, so that the pool
/// changed its owner again.
#[rstest]
#[case::not_owner(Mode::NotOwner(None))]
#[case::silent(Mode::Silent)]
#[actix_rt::test]
async fn calls_for_grants_are_limited_while_no_owner_grants(#[case] mode: Mode) {
    let control = Control::start().await;
    let peer = Peer::start(&higher_ranked_names(1)[0], Mode::NotOwner(None)).await;
    let entry = start_holder(&control, vec![peer.entry()]).await;
    let engine = start_engine("m1", &[]);
    let mut answers = spawn_chats(&entry, 1);
    wait_until("the peer is called for a grant", async || 0 < peer.acquire_count()).await;
    peer.set_mode(mode);
    answers.extend(spawn_chats(&entry, WAITING_COUNT));
    let before = peer.acquire_count();
    tokio::time::sleep(WITHOUT_OWNER).await;
    let calls = peer.acquire_count() - before;
    peer.set_mode(Mode::Grant(engine.address()));
    let granted = Instant::now();
    for answer in answers {
        let answer = tokio::time::timeout(Duration::from_secs(10), answer).await.unwrap().unwrap();
        assert!(answer.is_done(), "{} {}", answer.status, answer.body);
    }
    let took = granted.elapsed();
    assert!(
        calls <= CALLS_MAX,
        "{calls} calls in {WITHOUT_OWNER:?} for {WAITING_COUNT} waiting requests"
    );
    assert!(took < RECOVERY_BOUND, "the last request ended only after {took:?}");
}

/// Guards against requests that wait for as long as their entry and its peers disagree about who
/// owns the pool, and against releases that are sent to an entry that did not give the grant.
#[actix_rt::test]
async fn a_redirect_to_the_owner_is_followed() {
    let control = Control::start().await;
    let names = higher_ranked_names(2);
    let engine = start_engine("m1", &[]);
    let former = Peer::start(&names[0], Mode::NotOwner(Some(names[1].clone()))).await;
    let owner = Peer::start(&names[1], Mode::Grant(engine.address())).await;
    let entry = start_holder(&control, vec![former.entry(), owner.entry()]).await;
    let started = Instant::now();
    for _ in 0..10 {
        let [answer]: [_; 1] = spawn_chats(&entry, 1).try_into().unwrap();
        let answer = tokio::time::timeout(Duration::from_secs(3), answer).await;
        let answer = answer.expect("the request ends, since its pool has an owner").unwrap();
        assert!(answer.is_done(), "{} {}", answer.status, answer.body);
    }
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert!(former.acquire_count() <= 2, "{} calls to the former owner", former.acquire_count());
    wait_until("each grant is released at its owner", async || owner.release_count() == 10).await;
}

/// Guards against an endpoint that left and gets work again because the next owner of its pool
/// joined after the leave and receives a late announcement.
#[actix_rt::test]
async fn a_new_owner_knows_which_endpoints_left() {
    let control = Control::start().await;
    let first = Entry::with_control("e1", &control.address(), "");
    // Both keep announcing themselves during the whole test.
    let leaving = start_engine("m1", &[&first]);
    let _staying = start_engine("m2", &[&first]);
    let caller = first.caller();
    wait_until("both endpoints serve", async || {
        caller.wait_until_served().await;
        0 < leaving.counts().requests
    })
    .await;
    let left = caller.send(caller.request("DELETE", "/v1/endpoints/m1"), "").await;
    assert_eq!(left.status, StatusCode::NO_CONTENT);
    let second = Entry::with_control(&higher_ranked_names(1)[0], &control.address(), "");
    wait_until("the second entry is in the view", async || {
        control.config().view.entries.len() == 2
    })
    .await;
    let caller = second.caller();
    caller.wait_until_served().await;
    let before = leaving.counts().requests;
    let started = Instant::now();
    // Each endpoint announces itself twice in this time.
    while started.elapsed() < Duration::from_millis(2_500) {
        assert_eq!(caller.chat("stock", 2).await.status, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(leaving.counts().requests, before, "an endpoint that left got work");
}

/// Guards against grants that an owner gives to abandoned calls, after the holder had declared it
/// lost: it counted them until after the deadlines of their requests, and its endpoints looked full.
#[actix_rt::test]
async fn an_abandoned_call_is_released_at_its_owner() {
    let control = Control::start().await;
    let names = higher_ranked_names(2);
    let engine = start_engine("m1", &[]);
    let owner = Peer::start(&names[0], Mode::Silent).await;
    let next = Peer::start(&names[1], Mode::Grant(engine.address())).await;
    let entry = start_holder(&control, vec![owner.entry(), next.entry()]).await;
    let [answer]: [_; 1] = spawn_chats(&entry, 1).try_into().unwrap();
    wait_until("the owner is called for a grant", async || 0 < owner.acquire_count()).await;
    owner.set_mode(Mode::Frozen);
    let answer = tokio::time::timeout(Duration::from_secs(10), answer).await;
    let answer = answer.expect("the next owner gives a grant").unwrap();
    assert!(answer.is_done(), "{} {}", answer.status, answer.body);
    wait_until("the abandoned call is released", async || 0 < owner.release_count()).await;
    wait_until("the grant is released", async || 0 < next.release_count()).await;
    let (abandoned, granted) = (owner.released().remove(0), next.released().remove(0));
    assert_eq!(abandoned.attempt, granted.attempt);
    assert_eq!(abandoned.owner.as_str(), names[0]);
}

/// Guards against a grant that ends after its pool has changed owners and is not released at the
/// entry that gave it, which counted it until after the request's deadline.
#[actix_rt::test]
async fn a_grant_is_released_at_the_owner_that_gave_it() {
    let control = Control::start().await;
    let names = higher_ranked_names(2);
    let engine = start_standin("m1", endpoint::Kind::Model, "coal", &[], |settings| {
        settings.first_token_ms = Millis(4_000);
    });
    let granter = Peer::start(&names[0], Mode::Grant(engine.address())).await;
    let next = Peer::start(&names[1], Mode::Grant(engine.address())).await;
    let entry = start_holder(&control, vec![granter.entry(), next.entry()]).await;
    let [answer]: [_; 1] = spawn_chats(&entry, 1).try_into().unwrap();
    wait_until("the request runs", async || 0 < engine.counts().requests).await;
    granter.set_mode(Mode::Frozen);
    wait_until("the next owner gets a report", async || 0 < next.report_count()).await;
    assert_eq!(granter.release_count(), 0);
    let answer = tokio::time::timeout(Duration::from_secs(10), answer).await;
    let answer = answer.expect("the request ends").unwrap();
    assert!(answer.is_done(), "{} {}", answer.status, answer.body);
    wait_until("the granter gets the release", async || 0 < granter.release_count()).await;
    wait_until("the next owner gets the release", async || 0 < next.release_count()).await;
    assert_eq!(granter.released()[0].grant, id::Grant(1));
}

/// Guards against an owner that refuses an attempt because it has a grant, whose answer was lost with
/// the connection: the caller got status 500 for a request that had not run.
#[actix_rt::test]
async fn a_repeated_call_gets_the_same_grant() {
    let entry = Entry::standalone("");
    let _engine = start_engine("m1", &[&entry]);
    entry.caller().wait_until_served().await;
    let connect = || WsClientBuilder::default().build(format!("ws://{}", entry.daemon.peers()));
    let acquire = Acquire { pool: "coal/north/0".into(), holder: "h1".into(), request: request(7) };
    let mut grants = Vec::new();
    for _ in 0..2 {
        let client = connect().await.unwrap();
        let call = client.request::<Acquired, _>(method::ACQUIRE, rpc_params![&acquire]);
        match call.await.unwrap() {
            Acquired::Granted(grant) => grants.push(grant),
            other => panic!("not granted: {other:?}"),
        }
    }
    assert_eq!(grants[0], grants[1]);
}

/// Guards against a grant whose release was lost, for example on saturated links, and that the owner
/// counts until after its deadline although a later report of its holder does not contain it.
#[actix_rt::test]
async fn a_grant_that_its_holder_does_not_report_is_released() {
    let entry = Entry::standalone("");
    let change = |settings: &mut wasabi_standin::Settings| settings.concurrency = 1;
    let _engine = start_standin("m1", endpoint::Kind::Model, "coal", &[&entry], change);
    entry.caller().wait_until_served().await;
    let address = format!("ws://{}", entry.daemon.peers());
    let client = WsClientBuilder::default().build(address).await.unwrap();
    let pool: id::Pool = "coal/north/0".into();
    let acquire =
        |number| Acquire { pool: pool.clone(), holder: "h1".into(), request: request(number) };
    let first =
        client.request::<Acquired, _>(method::ACQUIRE, rpc_params![acquire(7)]).await.unwrap();
    assert!(matches!(first, Acquired::Granted(_)), "{first:?}");
    let report = async {
        // For a second after a grant, its absence from a report does not release it, since the
        // report may have been sent before the grant arrived.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let asking = Some(vec![id::Attempt(8)]);
        let pool = pool.clone();
        let holdings = Holdings { pool, holder: "h1".into(), running: Vec::new(), asking };
        client.request::<(), _>(method::REPORT, rpc_params![holdings]).await.unwrap();
    };
    let second = client.request::<Acquired, _>(method::ACQUIRE, rpc_params![acquire(8)]);
    let second = tokio::time::timeout(Duration::from_secs(5), second);
    let (second, ()) = futures_util::future::join(second, report).await;
    let second = second.expect("the release of the first grant frees the endpoint").unwrap();
    assert!(matches!(second, Acquired::Granted(_)), "{second:?}");
}

fn request(number: u128) -> Request {
    Request {
        attempt: id::Attempt(number),
        organisation: "hospital".into(),
        route: "query".into(),
        backend: "coal".into(),
        tier: Tier::TOP,
        share: 10,
        idempotent: true,
        prompt_tokens: 10,
        output_tokens: 10,
        prefix: Vec::new(),
        fingerprint: fingerprint::Body(7),
        parts: Vec::new(),
        waited: Millis::ZERO,
        remaining: Millis(20_000),
        first_token: Millis(2_000),
        between_tokens: Millis(500),
        leaves_after: Millis::ZERO,
        avoid: Vec::new(),
        closed: Vec::new(),
        patience: Default::default(),
    }
}

/// Guards against requests that wait for a dead owner: one that answered quickly and then stops
/// answering loses its pool after 1 s, and its requests run at the next owner.
#[actix_rt::test]
async fn the_pool_of_a_silent_owner_is_taken_over() {
    let control = Control::start().await;
    let peer = Peer::start(&higher_ranked_names(1)[0], Mode::NotOwner(None)).await;
    let relay = Relay::start(peer.address()).unwrap();
    let mut first = peer.entry();
    first.peer_address = relay.address().to_string();
    let entry = start_holder(&control, vec![first]).await;
    let engine = start_engine("m1", &[&entry]);
    peer.set_mode(Mode::Grant(engine.address()));
    let caller = entry.caller();
    wait_until("the first owner is called", async || {
        assert!(caller.chat("stock", 1).await.is_done());
        0 < peer.acquire_count()
    })
    .await;
    relay.cut_both();
    let cut = Instant::now();
    assert!(caller.chat("stock", 1).await.is_done());
    let took = cut.elapsed();
    println!("taken over after {took:?}");
    assert!(took < Duration::from_secs(1) + RECOVERY_BOUND, "taken over after {took:?}");
}

/// Guards against a restarted owner that gets the requests of all entries at its first answer, while
/// it has no confirmed configuration yet and its successor has already handed the pool over.
#[actix_rt::test]
async fn a_restarted_owner_gets_its_pool_back_once_it_is_ready() {
    let control = Control::start().await;
    let peer = Peer::start(&higher_ranked_names(1)[0], Mode::NotOwner(None)).await;
    let entry = start_holder(&control, vec![peer.entry()]).await;
    let engine = start_engine("m1", &[&entry]);
    peer.set_mode(Mode::Grant(engine.address()));
    assert!(entry.caller().chat("stock", 1).await.is_done());
    wait_until("the first owner is called", async || 0 < peer.acquire_count()).await;
    // A restarted process answers like this until a leader has confirmed its configuration.
    peer.set_mode(Mode::NotOwner(None));
    peer.set_ready_for(Millis::ZERO);
    let caller = entry.caller();
    wait_until("the next owner serves", async || {
        let before = peer.acquire_count();
        caller.chat("stock", 1).await.is_done() && peer.acquire_count() == before
    })
    .await;
    let before = peer.acquire_count();
    for ready_for in [0, 0, 100, 600, 1_100] {
        peer.set_ready_for(Millis(ready_for));
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(700) {
            let sent = Instant::now();
            assert!(caller.chat("stock", 1).await.is_done());
            assert!(sent.elapsed() < RECOVERY_BOUND, "a request took {:?}", sent.elapsed());
        }
        assert_eq!(peer.acquire_count(), before, "called when ready for {ready_for} ms");
    }
    peer.set_mode(Mode::Grant(engine.address()));
    peer.set_ready_for(Millis(2_000));
    wait_until("the first owner is called again", async || {
        assert!(caller.chat("stock", 1).await.is_done());
        before < peer.acquire_count()
    })
    .await;
}

/// Guards against a departure that is never acknowledged since the owner of its pool takes some hundred
/// milliseconds under load, although it applies each one.
#[rstest]
#[case::busy(450)]
#[case::very_busy(650)]
#[actix_rt::test]
async fn a_departure_is_acknowledged_by_a_busy_owner(#[case] delay_ms: u64) {
    let control = Control::start().await;
    let owner = Peer::start(&higher_ranked_names(1)[0], Mode::Silent).await;
    owner.set_leave_delay(Millis(delay_ms));
    let entry = start_holder(&control, vec![owner.entry()]).await;
    let address = format!("ws://{}", entry.daemon.peers());
    let client = WsClientBuilder::default().build(address).await.unwrap();
    for number in 0..3 {
        let endpoint = id::Endpoint::from(format!("m{number}"));
        let retired = client.request::<(), _>(method::RETIRE, rpc_params![endpoint]).await;
        assert!(retired.is_ok(), "departure {number}: {retired:?}");
    }
}
