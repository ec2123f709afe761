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
