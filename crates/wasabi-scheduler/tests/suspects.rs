//! Tests of requests that crash endpoints.

mod kit;

use kit::{acquire, announcement, grants, ready, refusals, release, request};
use wasabi_protocol::{clock::Millis, fault::Kind, fingerprint, request::End, rpc::Grant};
use wasabi_scheduler::pool::{Event, Pool};

fn again(ticket: u64, fingerprint: u64, avoid: &[&str]) -> Event<'static> {
    let mut request = request(ticket, 2);
    request.fingerprint = fingerprint::Body(fingerprint);
    request.avoid = avoid.iter().map(|name| (*name).into()).collect();
    Event::Acquire { ticket, request }
}

fn on<'a>(held: &'a [(u64, Grant)], endpoint: &str) -> Vec<&'a (u64, Grant)> {
    held.iter().filter(|(_, grant)| grant.endpoint.as_str() == endpoint).collect()
}

/// Returns a pool of three endpoints that each run three of the requests 0 to 8.
fn busy() -> (Pool, Vec<(u64, Grant)>) {
    let mut pool = ready(3, 4);
    let held: Vec<_> = (0..9).flat_map(|n| grants(&acquire(&mut pool, 1_000, n, 2))).collect();
    assert_eq!(on(&held, "a").len(), 3);
    (pool, held)
}

fn crash(pool: &mut Pool, now: u64, held: &[&(u64, Grant)]) {
    for (ticket, grant) in held {
        let mut release = release(grant, request(*ticket, 2).attempt, End::Broken);
        if let Event::Release(release) = &mut release {
            release.report.first_token = None;
        }
        pool.step(Millis(now), release);
    }
}

/// Guards against a request that crashes endpoints and takes others' answers with it again: after
/// a crash its batch runs one at a time, each alone on an endpoint.
#[test]
fn runs_suspects_alone_and_one_at_a_time() {
    let (mut pool, held) = busy();
    let batch = on(&held, "a");
    crash(&mut pool, 1_100, &batch);
    let (first, second) = (batch[0].0, batch[1].0);
    for (ticket, fingerprint) in [(100, first), (101, second)] {
        assert!(grants(&pool.step(Millis(1_100), again(ticket, fingerprint, &["a"]))).is_empty());
    }
    // The endpoint set apart drains: new work goes to the other one.
    let mut others = Vec::new();
    for number in 200..203 {
        others.extend(grants(&acquire(&mut pool, 1_101, number, 2)));
    }
    assert_eq!(others.len(), 1, "only one place is left beside the endpoint set apart");
    let apart = if others[0].1.endpoint.as_str() == "b" { "c" } else { "b" };
    let mut alone = Vec::new();
    for (ticket, grant) in on(&held, apart) {
        let attempt = request(*ticket, 2).attempt;
        alone.extend(grants(&pool.step(Millis(1_200), release(grant, attempt, End::Finished))));
    }
    assert_eq!(alone.len(), 1, "one suspect runs");
    assert_eq!(alone[0].1.endpoint.as_str(), apart);
    assert!(grants(&acquire(&mut pool, 1_201, 300, 0)).is_empty(), "nothing runs beside it");
    let mut beside = grants(&pool.step(Millis(1_202), Event::Announce(announcement("d", 4))));
    // The urgent request that waited takes `d`; the next endpoint stays empty.
    beside.extend(grants(&pool.step(Millis(1_203), Event::Announce(announcement("e", 4)))));
    assert!(!beside.is_empty());
    assert!(beside.iter().all(|(ticket, _)| 200 <= *ticket), "no second suspect on a new one");
    let attempt = request(alone[0].0, 2).attempt;
    let next = grants(&pool.step(Millis(1_300), release(&alone[0].1, attempt, End::Finished)));
    assert!(next.iter().any(|(ticket, _)| [100, 101].contains(ticket)), "then the next one");
}

/// Guards against a request that crashes one endpoint after another when its caller sends it
/// again, and against refusing the innocent requests of its batch.
#[test]
fn quarantines_the_crashing_request_only() {
    let (mut pool, held) = busy();
    let batch = on(&held, "a");
    let bad = batch[0].0;
    crash(&mut pool, 1_100, &batch);
    for (ticket, grant) in held.iter().filter(|(_, grant)| grant.endpoint.as_str() != "a") {
        let attempt = request(*ticket, 2).attempt;
        pool.step(Millis(1_150), release(grant, attempt, End::Finished));
    }
    let alone = grants(&pool.step(Millis(1_200), again(100, bad, &["a"])));
    crash(&mut pool, 1_300, &alone.iter().collect::<Vec<_>>());
    let actions = pool.step(Millis(1_400), again(101, bad, &[]));
    assert_eq!(refusals(&actions), [(101, Kind::Quarantined)]);
    assert!(pool.suspects(Millis(1_400)).iter().any(|suspect| suspect.fingerprint.0 == bad));
    pool.step(Millis(1_500), Event::Announce(announcement("a", 4)));
    let innocent = grants(&pool.step(Millis(1_500), again(102, batch[1].0, &[])));
    assert_eq!(innocent.len(), 1);
}

/// Guards against an endpoint that dies without breaking its connections: what ran on it when it
/// fell silent, or when its next process announced itself, is suspected too.
#[test]
fn suspects_the_batch_of_a_silent_or_restarted_endpoint() {
    let (mut pool, held) = busy();
    let mut restarted = announcement("a", 4);
    restarted.incarnation = 2;
    pool.step(Millis(1_100), Event::Announce(restarted));
    let mut known: Vec<_> =
        pool.suspects(Millis(1_100)).iter().map(|suspect| suspect.fingerprint.0).collect();
    known.sort_unstable();
    let mut expected: Vec<_> = on(&held, "a").iter().map(|(ticket, _)| *ticket).collect();
    expected.sort_unstable();
    assert_eq!(known, expected);
    // The owner runs meanwhile; one that was paused would not know who was silent.
    for now in (1_150..3_500).step_by(50) {
        pool.step(Millis(now), Event::Tick);
    }
    pool.step(Millis(3_500), Event::Announce(announcement("c", 4)));
    pool.step(Millis(3_500), Event::Tick);
    assert_eq!(pool.suspects(Millis(3_500)).len(), 6, "the batch of `b` too");
}

/// Guards against a quarantine that only the entry knows which saw the crashes, for requests that
/// arrive later and for one that waits already.
#[test]
fn refuses_what_a_peer_quarantined() {
    let mut pool = ready(1, 1);
    acquire(&mut pool, 1_000, 0, 2);
    assert!(refusals(&pool.step(Millis(1_000), again(499, 77, &[]))).is_empty());
    let suspect = wasabi_protocol::rpc::Suspect {
        fingerprint: fingerprint::Body(77),
        organisation: "org".into(),
        crashes: 2,
        weight: 1.5,
        age: Millis(100),
    };
    pool.step(Millis(1_000), Event::Suspects(std::slice::from_ref(&suspect)));
    let actions = pool.step(Millis(1_001), again(500, 77, &[]));
    assert_eq!(refusals(&actions), [(500, Kind::Quarantined)], "also while the pool is full");
    let actions = pool.step(Millis(1_001), Event::Announce(announcement("b", 1)));
    assert_eq!(refusals(&actions), [(499, Kind::Quarantined)], "it waited before");
}

/// Guards against an owner that was frozen and takes the silence of that time for crashes: what
/// ran on its endpoints would be suspected, and quarantined after the second freeze.
#[test]
fn a_frozen_owner_suspects_nothing() {
    let (mut pool, held) = busy();
    for thawed in [10_000, 20_000] {
        pool.step(Millis(thawed), Event::Tick);
        assert!(pool.suspects(Millis(thawed)).is_empty());
        kit::announce_all(&mut pool, Millis(thawed + 1), 3, 4);
    }
    // Endpoints that fall silent while the owner runs are still suspected.
    for now in (20_050..24_000).step_by(50) {
        pool.step(Millis(now), Event::Tick);
        if now < 21_500 {
            kit::announce_all(&mut pool, Millis(now), 3, 4);
        }
    }
    assert_eq!(pool.endpoints().count(), 0);
    assert_eq!(pool.suspects(Millis(24_000)).len(), held.len());
}

/// Guards against a suspect that waits until its deadline for an endpoint that it may not meet
/// again.
#[test]
fn a_suspect_that_met_every_endpoint_is_refused() {
    let mut pool = ready(1, 4);
    let held: Vec<_> = (0..2).flat_map(|n| grants(&acquire(&mut pool, 1_000, n, 2))).collect();
    crash(&mut pool, 1_100, &on(&held, "a"));
    pool.step(Millis(1_200), Event::Announce(announcement("a", 4)));
    let refused = refusals(&pool.step(Millis(1_300), again(100, 0, &["a"])));
    assert_eq!(refused, [(100, Kind::NoEndpoint)]);
}

/// Returns a pool of so many endpoints that each run three requests, and the number of these.
fn large(endpoints: usize) -> (Pool, usize) {
    let mut pool = ready(endpoints, 4);
    let tickets = 0..3 * endpoints as u64;
    let held: Vec<_> =
        tickets.flat_map(|ticket| grants(&acquire(&mut pool, 1_000, ticket, 2))).collect();
    (pool, held.len())
}

/// Lets time pass in ticks, while the endpoints from number `from` on announce themselves each
/// second, one after another.
fn pass(pool: &mut Pool, time: std::ops::Range<u64>, endpoints: std::ops::Range<usize>) {
    for now in time.step_by(50) {
        for index in endpoints.clone().filter(|index| (index * 50) as u64 % 1_000 == now % 1_000) {
            pool.step(Millis(now), Event::Announce(announcement(&kit::name(index), 4)));
        }
        pool.step(Millis(now), Event::Tick);
    }
}

/// Guards against an owner behind a full link that takes all endpoints for crashed: their requests
/// would be suspected and run alone, one at a time, and new ones would be refused.
#[test]
fn endpoints_that_fall_silent_together_are_kept_and_nothing_is_suspected() {
    let (mut pool, held) = large(20);
    assert_eq!(held, 60);
    pass(&mut pool, 1_000..10_000, 0..20);
    for (number, now) in (10_000..13_500).step_by(500).enumerate() {
        pass(&mut pool, now..now + 500, 0..0);
        let ticket = 1_000 + number as u64;
        let granted = grants(&acquire(&mut pool, now + 499, ticket, 2));
        assert_eq!(granted.len(), 1, "after {} ms", now + 499 - 10_000);
        assert!(pool.suspects(Millis(now + 499)).is_empty(), "{} ms", now + 499 - 10_000);
        assert_eq!(pool.endpoints().count(), 20, "after {} ms", now + 499 - 10_000);
    }
    pass(&mut pool, 13_500..20_000, 0..20);
    assert!(pool.suspects(Millis(20_000)).is_empty());
    assert_eq!(pool.endpoints().count(), 20);
}

/// Guards against endpoints that all went away and are kept for good, with requests that wait for
/// them until their deadlines.
#[test]
fn endpoints_that_stay_silent_are_gone_in_the_end() {
    let (mut pool, _) = large(20);
    pass(&mut pool, 1_000..10_000, 0..20);
    pass(&mut pool, 10_000..15_100, 0..0);
    assert_eq!(pool.endpoints().count(), 0, "after twice the time of a single one");
    assert!(pool.suspects(Millis(15_100)).is_empty());
    acquire(&mut pool, 15_100, 1_000, 2);
    let refused = (15_100..18_200).step_by(50).find(|now| {
        let refused = refusals(&pool.step(Millis(*now), Event::Tick));
        refused.contains(&(1_000, Kind::NoEndpoint))
    });
    assert!(refused.is_some(), "it is refused");
}

/// Guards against a loss of a part of a pool that is found later than it was: 23 of 90 endpoints crash
/// without breaking their connections.
#[test]
fn a_part_of_a_large_pool_that_crashes_is_found_in_time() {
    let (mut pool, held) = large(90);
    assert_eq!(held, 270);
    pass(&mut pool, 1_000..10_000, 0..90);
    // Each announced itself within the last second.
    pass(&mut pool, 10_000..12_500, 23..90);
    assert_eq!(pool.endpoints().count(), 67);
    assert_eq!(pool.suspects(Millis(12_500)).len(), 69);
}

/// Guards against a request that crashes a small pool and runs on since nobody suspects it: three
/// endpoints that fall silent together are taken for crashed.
#[test]
fn a_small_pool_that_falls_silent_is_taken_for_crashed() {
    let (mut pool, held) = large(3);
    pass(&mut pool, 1_000..10_000, 0..3);
    pass(&mut pool, 10_000..12_550, 0..0);
    assert_eq!(pool.endpoints().count(), 0);
    assert_eq!(pool.suspects(Millis(12_550)).len(), held);
}
