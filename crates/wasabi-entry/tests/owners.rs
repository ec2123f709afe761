//! Requests that wait at a holder while nobody, or somebody else than it believes, owns their pool.

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

/// Requests that wait at the holder.
const WAITING: usize = 60;

/// Time for which the owner is unsettled.
const UNSETTLED: Duration = Duration::from_secs(2);

/// Most calls for grants while the owner is unsettled: one in 50 ms.
const CALLS_MAX: u64 = 41;

/// Longest time from the first answer of an owner until every request has run: the longest pause
/// between two calls, and time to run them.
const SETTLED_IN: Duration = Duration::from_secs(1);

/// Sends requests at the same time and returns their answers in the background.
fn send(entry: &Entry, count: usize) -> Vec<actix_rt::task::JoinHandle<support::Answer>> {
    let address = entry.address();
    let chat =
        |address: String| async move { support::Caller::new(address).chat("stock", 1).await };
    (0..count).map(|_| actix_rt::spawn(chat(address.clone()))).collect()
}

/// Guards against a holder that asks again for each waiting request while no entry owns the pool:
/// on a large site these calls alone filled the links, so that heartbeats were late as well and the
/// pool changed its owner again.
#[rstest]
#[case::not_owner(Mode::NotOwner(None))]
#[case::silent(Mode::Silent)]
#[actix_rt::test]
async fn an_unsettled_owner_is_not_asked_for_each_waiting_request(#[case] unsettled: Mode) {
    let control = Control::start().await;
    let peer = Peer::start(&higher_ranked_names(1)[0], Mode::NotOwner(None)).await;
    let entry = start_holder(&control, vec![peer.entry()]).await;
    let engine = start_engine("m1", &[]);
    let mut answers = send(&entry, 1);
    wait_until("the first request was not granted", async || 0 < peer.acquire_count()).await;
    peer.set_mode(unsettled);
    answers.extend(send(&entry, WAITING));
    let before = peer.acquire_count();
    tokio::time::sleep(UNSETTLED).await;
    let calls = peer.acquire_count() - before;
    peer.set_mode(Mode::Grant(engine.address()));
    let settled = Instant::now();
    for answer in answers {
        let answer = tokio::time::timeout(Duration::from_secs(10), answer).await.unwrap().unwrap();
        assert!(answer.is_done(), "{} {}", answer.status, answer.body);
    }
    let took = settled.elapsed();
    assert!(calls <= CALLS_MAX, "{calls} calls in {UNSETTLED:?} for {WAITING} waiting requests");
    assert!(took < SETTLED_IN, "the last request had run only after {took:?}");
}

/// Guards against requests that wait for as long as their entry and the owner disagree about who
/// owns the pool, and against grants whose release goes to an entry that did not give them.
#[actix_rt::test]
async fn the_owner_that_an_asked_entry_names_is_asked() {
    let control = Control::start().await;
    let names = higher_ranked_names(2);
    let engine = start_engine("m1", &[]);
    let believed = Peer::start(&names[0], Mode::NotOwner(Some(names[1].clone()))).await;
    let owner = Peer::start(&names[1], Mode::Grant(engine.address())).await;
    let entry = start_holder(&control, vec![believed.entry(), owner.entry()]).await;
    let started = Instant::now();
    for _ in 0..10 {
        let [answer]: [_; 1] = send(&entry, 1).try_into().unwrap();
        let answer = tokio::time::timeout(Duration::from_secs(3), answer).await;
        let answer = answer.expect("the request waits though somebody owns its pool").unwrap();
        assert!(answer.is_done(), "{} {}", answer.status, answer.body);
    }
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert!(believed.acquire_count() <= 2, "asked {} times in vain", believed.acquire_count());
    wait_until("each grant is given back to its owner", async || owner.release_count() == 10).await;
}

/// Guards against an endpoint that left and gets work again, because the next owner of its pool joined
/// after the leave and hears a late announcement.
#[actix_rt::test]
async fn a_new_owner_knows_which_endpoints_left() {
    let control = Control::start().await;
    let first = Entry::with_control("e1", &control.address(), "");
    // Both announce themselves for as long as the test runs.
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

/// Guards against grants of an owner that was taken for lost, to calls that nobody waits for any more:
/// it counted them until after the deadlines of their requests, and its endpoints looked full.
#[actix_rt::test]
async fn a_call_that_is_dropped_is_taken_back_at_its_owner() {
    let control = Control::start().await;
    let names = higher_ranked_names(2);
    let engine = start_engine("m1", &[]);
    let owner = Peer::start(&names[0], Mode::Silent).await;
    let next = Peer::start(&names[1], Mode::Grant(engine.address())).await;
    let entry = start_holder(&control, vec![owner.entry(), next.entry()]).await;
    let [answer]: [_; 1] = send(&entry, 1).try_into().unwrap();
    wait_until("the owner was not asked", async || 0 < owner.acquire_count()).await;
    owner.set_mode(Mode::Frozen);
    let answer = tokio::time::timeout(Duration::from_secs(10), answer).await;
    let answer = answer.expect("the next owner is not asked").unwrap();
    assert!(answer.is_done(), "{} {}", answer.status, answer.body);
    wait_until("the dropped call is not taken back", async || 0 < owner.release_count()).await;
    wait_until("the grant is not given back", async || 0 < next.release_count()).await;
    let (dropped, granted) = (owner.released().remove(0), next.released().remove(0));
    assert_eq!(dropped.attempt, granted.attempt);
    assert_eq!(dropped.owner.as_str(), names[0]);
}

/// Guards against a grant that ends while another entry is taken for the owner of its pool: the entry
/// that gave it counted it until after the request's deadline.
#[actix_rt::test]
async fn a_grant_is_given_back_to_the_owner_that_gave_it() {
    let control = Control::start().await;
    let names = higher_ranked_names(2);
    let engine = start_standin("m1", endpoint::Kind::Model, "coal", &[], |settings| {
        settings.first_token_ms = Millis(4_000);
    });
    let giver = Peer::start(&names[0], Mode::Grant(engine.address())).await;
    let next = Peer::start(&names[1], Mode::Grant(engine.address())).await;
    let entry = start_holder(&control, vec![giver.entry(), next.entry()]).await;
    let [answer]: [_; 1] = send(&entry, 1).try_into().unwrap();
    wait_until("the request does not run", async || 0 < engine.counts().requests).await;
    giver.set_mode(Mode::Frozen);
    wait_until("the next owner is not told what runs", async || 0 < next.report_count()).await;
    assert_eq!(giver.release_count(), 0);
    let answer = tokio::time::timeout(Duration::from_secs(10), answer).await;
    let answer = answer.expect("the request does not end").unwrap();
    assert!(answer.is_done(), "{} {}", answer.status, answer.body);
    wait_until("the giver is not told", async || 0 < giver.release_count()).await;
    wait_until("the next owner is not told", async || 0 < next.release_count()).await;
    assert_eq!(giver.released()[0].grant, id::Grant(1));
}

/// Guards against an owner that refuses an attempt because it gave it a grant, which was lost with its
/// call: the caller got 500 for a request that had not run.
#[actix_rt::test]
async fn a_holder_that_lost_a_grant_gets_it_again() {
    let entry = Entry::standalone("");
    let _engine = start_engine("m1", &[&entry]);
    entry.caller().wait_until_served().await;
    let client = || WsClientBuilder::default().build(format!("ws://{}", entry.daemon.peers()));
    let asked = Acquire { pool: "coal/north/0".into(), holder: "h1".into(), request: request(7) };
    let mut grants = Vec::new();
    for _ in 0..2 {
        let client = client().await.unwrap();
        let call = client.request::<Acquired, _>(method::ACQUIRE, rpc_params![&asked]);
        match call.await.unwrap() {
            Acquired::Granted(grant) => grants.push(grant),
            other => panic!("not granted: {other:?}"),
        }
    }
    assert_eq!(grants[0], grants[1]);
}

/// Guards against grants that an owner counts until after their deadline since their release was lost,
/// as on full links, though their holder has told it since what it runs.
#[actix_rt::test]
async fn a_grant_that_its_holder_does_not_report_is_freed() {
    let entry = Entry::standalone("");
    let change = |settings: &mut wasabi_standin::Settings| settings.concurrency = 1;
    let _engine = start_standin("m1", endpoint::Kind::Model, "coal", &[&entry], change);
    entry.caller().wait_until_served().await;
    let address = format!("ws://{}", entry.daemon.peers());
    let client = WsClientBuilder::default().build(address).await.unwrap();
    let pool: id::Pool = "coal/north/0".into();
    let asked =
        |number| Acquire { pool: pool.clone(), holder: "h1".into(), request: request(number) };
    let first =
        client.request::<Acquired, _>(method::ACQUIRE, rpc_params![asked(7)]).await.unwrap();
    assert!(matches!(first, Acquired::Granted(_)), "{first:?}");
    let report = async {
        // Reports of a holder may cross a grant within the first second.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let asking = Some(vec![id::Attempt(8)]);
        let pool = pool.clone();
        let holdings = Holdings { pool, holder: "h1".into(), running: Vec::new(), asking };
        client.request::<(), _>(method::REPORT, rpc_params![holdings]).await.unwrap();
    };
    let second = client.request::<Acquired, _>(method::ACQUIRE, rpc_params![asked(8)]);
    let second = tokio::time::timeout(Duration::from_secs(5), second);
    let (second, ()) = futures_util::future::join(second, report).await;
    let second = second.expect("the second request waits for the first grant").unwrap();
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
        waited: Millis::ZERO,
        remaining: Millis(20_000),
        first_token: Millis(2_000),
        between_tokens: Millis(500),
        leaves_after: Millis::ZERO,
        avoid: Vec::new(),
    }
}

/// Guards against a dead owner that is waited for: one that answered quickly and falls silent loses its
/// pool after 1 s, and its requests run at the next owner.
#[actix_rt::test]
async fn a_silent_owners_pool_is_taken_over() {
    let control = Control::start().await;
    let peer = Peer::start(&higher_ranked_names(1)[0], Mode::NotOwner(None)).await;
    let relay = Relay::start(peer.address()).unwrap();
    let mut first = peer.entry();
    first.peer_address = relay.address().to_string();
    let entry = start_holder(&control, vec![first]).await;
    let engine = start_engine("m1", &[&entry]);
    peer.set_mode(Mode::Grant(engine.address()));
    let caller = entry.caller();
    wait_until("the first owner is asked", async || {
        assert!(caller.chat("stock", 1).await.is_done());
        0 < peer.acquire_count()
    })
    .await;
    relay.cut_both();
    let cut = Instant::now();
    assert!(caller.chat("stock", 1).await.is_done());
    let took = cut.elapsed();
    println!("taken over after {took:?}");
    assert!(took < Duration::from_secs(1) + SETTLED_IN, "taken over after {took:?}");
}

/// Guards against a first owner that has restarted and gets the requests of all entries at its first
/// answer, while it does not know yet what is in force and the successor has given the pool up.
#[actix_rt::test]
async fn a_restarted_owner_gets_its_pool_back_once_it_is_ready() {
    let control = Control::start().await;
    let peer = Peer::start(&higher_ranked_names(1)[0], Mode::NotOwner(None)).await;
    let entry = start_holder(&control, vec![peer.entry()]).await;
    let engine = start_engine("m1", &[&entry]);
    peer.set_mode(Mode::Grant(engine.address()));
    assert!(entry.caller().chat("stock", 1).await.is_done());
    wait_until("the first owner is asked", async || 0 < peer.acquire_count()).await;
    // What its next process answers before a leader told it what is in force.
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
            let asked = Instant::now();
            assert!(caller.chat("stock", 1).await.is_done());
            assert!(asked.elapsed() < SETTLED_IN, "a gap of {:?}", asked.elapsed());
        }
        assert_eq!(peer.acquire_count(), before, "asked when ready for {ready_for} ms");
    }
    peer.set_mode(Mode::Grant(engine.address()));
    peer.set_ready_for(Millis(2_000));
    wait_until("the first owner is asked again", async || {
        assert!(caller.chat("stock", 1).await.is_done());
        before < peer.acquire_count()
    })
    .await;
}
