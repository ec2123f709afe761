//! Requests that wait at a holder while nobody, or somebody else than it believes, owns their pool.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    Entry,
    control::Control,
    engine,
    peer::{Mode, Peer, holder, names},
    until,
};
use wasabi_protocol::clock::Millis;
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
    let peer = Peer::start(&names(1)[0], Mode::NotOwner(None)).await;
    let entry = holder(&control, vec![peer.entry()]).await;
    let engine = engine("m1", &[]);
    let mut answers = send(&entry, 1);
    until("the first request was not granted", async || 0 < peer.acquires()).await;
    peer.set(unsettled);
    answers.extend(send(&entry, WAITING));
    let before = peer.acquires();
    tokio::time::sleep(UNSETTLED).await;
    let calls = peer.acquires() - before;
    peer.set(Mode::Grant(engine.address()));
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
    let names = names(2);
    let engine = engine("m1", &[]);
    let believed = Peer::start(&names[0], Mode::NotOwner(Some(names[1].clone()))).await;
    let owner = Peer::start(&names[1], Mode::Grant(engine.address())).await;
    let entry = holder(&control, vec![believed.entry(), owner.entry()]).await;
    let started = Instant::now();
    for _ in 0..10 {
        let [answer]: [_; 1] = send(&entry, 1).try_into().unwrap();
        let answer = tokio::time::timeout(Duration::from_secs(3), answer).await;
        let answer = answer.expect("the request waits though somebody owns its pool").unwrap();
        assert!(answer.is_done(), "{} {}", answer.status, answer.body);
    }
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert!(believed.acquires() <= 2, "asked {} times in vain", believed.acquires());
    until("each grant is given back to its owner", async || owner.releases() == 10).await;
}

/// Guards against a dead owner that is waited for: one that answered quickly and falls silent loses its
/// pool after 1 s, and its requests run at the next owner.
#[actix_rt::test]
async fn a_silent_owners_pool_is_taken_over() {
    let control = Control::start().await;
    let peer = Peer::start(&names(1)[0], Mode::NotOwner(None)).await;
    let relay = Relay::start(peer.address()).unwrap();
    let mut first = peer.entry();
    first.peer_address = relay.address().to_string();
    let entry = holder(&control, vec![first]).await;
    let engine = engine("m1", &[&entry]);
    peer.set(Mode::Grant(engine.address()));
    let caller = entry.caller();
    until("the first owner is asked", async || {
        assert!(caller.chat("stock", 1).await.is_done());
        0 < peer.acquires()
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
    let peer = Peer::start(&names(1)[0], Mode::NotOwner(None)).await;
    let entry = holder(&control, vec![peer.entry()]).await;
    let engine = engine("m1", &[&entry]);
    peer.set(Mode::Grant(engine.address()));
    assert!(entry.caller().chat("stock", 1).await.is_done());
    until("the first owner is asked", async || 0 < peer.acquires()).await;
    // What its next process answers before a leader told it what is in force.
    peer.set(Mode::NotOwner(None));
    peer.set_ready(Millis::ZERO);
    let caller = entry.caller();
    until("the next owner serves", async || {
        let before = peer.acquires();
        caller.chat("stock", 1).await.is_done() && peer.acquires() == before
    })
    .await;
    let before = peer.acquires();
    for ready_for in [0, 0, 100, 600, 1_100] {
        peer.set_ready(Millis(ready_for));
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(700) {
            let asked = Instant::now();
            assert!(caller.chat("stock", 1).await.is_done());
            assert!(asked.elapsed() < SETTLED_IN, "a gap of {:?}", asked.elapsed());
        }
        assert_eq!(peer.acquires(), before, "asked when ready for {ready_for} ms");
    }
    peer.set(Mode::Grant(engine.address()));
    peer.set_ready(Millis(2_000));
    until("the first owner is asked again", async || {
        assert!(caller.chat("stock", 1).await.is_done());
        before < peer.acquires()
    })
    .await;
}
