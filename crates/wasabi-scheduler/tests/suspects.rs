//! Tests of the isolation and quarantine of requests that crash endpoints.

mod common;

use common::{acquire, announcement, grants, ready_pool, refusals, release, request};
use wasabi_protocol::{clock::Millis, fault::Kind, fingerprint, request::End, rpc::Grant};
use wasabi_scheduler::pool::{Event, Pool};

fn acquire_with_fingerprint(ticket: u64, fingerprint: u64, avoid: &[&str]) -> Event<'static> {
    let mut request = request(ticket, 2);
    request.fingerprint = fingerprint::Body(fingerprint);
    request.avoid = avoid.iter().map(|name| (*name).into()).collect();
    Event::Acquire { ticket, request }
}

fn on_endpoint<'a>(held: &'a [(u64, Grant)], endpoint: &str) -> Vec<&'a (u64, Grant)> {
    held.iter().filter(|(_, grant)| grant.endpoint.as_str() == endpoint).collect()
}

/// Returns a pool of three endpoints, each of which runs three of the requests 0 to 8.
fn busy_pool() -> (Pool, Vec<(u64, Grant)>) {
    let mut pool = ready_pool(3, 4);
    let held: Vec<_> = (0..9).flat_map(|n| grants(&acquire(&mut pool, 1_000, n, 2))).collect();
    assert_eq!(on_endpoint(&held, "a").len(), 3);
    (pool, held)
}

fn crash_endpoint(pool: &mut Pool, now: u64, held: &[&(u64, Grant)]) {
    for (ticket, grant) in held {
        let mut release = release(grant, request(*ticket, 2).attempt, End::Broken);
        if let Event::Release(release) = &mut release {
            release.report.first_token = None;
        }
        pool.step(Millis(now), release);
    }
}

/// Guards against a request that repeatedly crashes endpoints along with other requests. After a
/// crash, the requests of the batch run one at a time, each alone on an endpoint.
#[test]
fn runs_suspects_alone_and_one_at_a_time() {
    let (mut pool, held) = busy_pool();
    let batch = on_endpoint(&held, "a");
    crash_endpoint(&mut pool, 1_100, &batch);
    let (first, second) = (batch[0].0, batch[1].0);
    for (ticket, fingerprint) in [(100, first), (101, second)] {
        assert!(
            grants(
                &pool.step(Millis(1_100), acquire_with_fingerprint(ticket, fingerprint, &["a"]))
            )
            .is_empty()
        );
    }
    // The reserved endpoint drains, so new requests go to the other one.
    let mut others = Vec::new();
    for number in 200..203 {
        others.extend(grants(&acquire(&mut pool, 1_101, number, 2)));
    }
    assert_eq!(others.len(), 1, "only one slot is left besides the reserved endpoint");
    let apart = if others[0].1.endpoint.as_str() == "b" { "c" } else { "b" };
    let mut alone = Vec::new();
    for (ticket, grant) in on_endpoint(&held, apart) {
        let attempt = request(*ticket, 2).attempt;
        alone.extend(grants(&pool.step(Millis(1_200), release(grant, attempt, End::Finished))));
    }
    assert_eq!(alone.len(), 1, "exactly one suspect runs");
    assert_eq!(alone[0].1.endpoint.as_str(), apart);
    assert!(
        grants(&acquire(&mut pool, 1_201, 300, 0)).is_empty(),
        "no request runs beside the suspect"
    );
    let mut beside = grants(&pool.step(Millis(1_202), Event::Announce(announcement("d", 4))));
    // The waiting tier-0 request takes `d`; the next endpoint stays idle.
    beside.extend(grants(&pool.step(Millis(1_203), Event::Announce(announcement("e", 4)))));
    assert!(!beside.is_empty());
    assert!(
        beside.iter().all(|(ticket, _)| 200 <= *ticket),
        "a second suspect started on a new endpoint"
    );
    let attempt = request(alone[0].0, 2).attempt;
    let next = grants(&pool.step(Millis(1_300), release(&alone[0].1, attempt, End::Finished)));
    assert!(next.iter().any(|(ticket, _)| [100, 101].contains(ticket)), "the next suspect starts");
}

/// Guards against a request that crashes one endpoint after another as its caller retries it, and
/// against refusing the innocent requests of its batch.
#[test]
fn quarantines_the_crashing_request_only() {
    let (mut pool, held) = busy_pool();
    let batch = on_endpoint(&held, "a");
    let bad = batch[0].0;
    crash_endpoint(&mut pool, 1_100, &batch);
    for (ticket, grant) in held.iter().filter(|(_, grant)| grant.endpoint.as_str() != "a") {
        let attempt = request(*ticket, 2).attempt;
        pool.step(Millis(1_150), release(grant, attempt, End::Finished));
    }
    let alone = grants(&pool.step(Millis(1_200), acquire_with_fingerprint(100, bad, &["a"])));
    crash_endpoint(&mut pool, 1_300, &alone.iter().collect::<Vec<_>>());
    let actions = pool.step(Millis(1_400), acquire_with_fingerprint(101, bad, &[]));
    assert_eq!(refusals(&actions), [(101, Kind::Quarantined)]);
    assert!(pool.suspects(Millis(1_400)).iter().any(|suspect| suspect.fingerprint.0 == bad));
    pool.step(Millis(1_500), Event::Announce(announcement("a", 4)));
    let innocent =
        grants(&pool.step(Millis(1_500), acquire_with_fingerprint(102, batch[1].0, &[])));
    assert_eq!(innocent.len(), 1);
}

/// Guards against missing the crash of an endpoint whose connections did not break. The requests
/// that ran on it when it fell silent, or when a new process replaced it, are suspected too.
#[test]
fn suspects_the_batch_of_a_silent_or_restarted_endpoint() {
    let (mut pool, held) = busy_pool();
    let mut restarted = announcement("a", 4);
    restarted.incarnation = 2;
    pool.step(Millis(1_100), Event::Announce(restarted));
    let mut known: Vec<_> =
        pool.suspects(Millis(1_100)).iter().map(|suspect| suspect.fingerprint.0).collect();
    known.sort_unstable();
    let mut expected: Vec<_> = on_endpoint(&held, "a").iter().map(|(ticket, _)| *ticket).collect();
    expected.sort_unstable();
    assert_eq!(known, expected);
    // Regular ticks, since a paused owner does not attribute silence to crashes.
    for now in (1_150..3_500).step_by(50) {
        pool.step(Millis(now), Event::Tick);
    }
    pool.step(Millis(3_500), Event::Announce(announcement("c", 4)));
    pool.step(Millis(3_500), Event::Tick);
    assert_eq!(pool.suspects(Millis(3_500)).len(), 6, "the batch of `b` is suspected too");
}

/// Guards against a quarantine that only the entry which saw the crashes enforces. It applies both
/// to requests that arrive later and to those that already wait.
#[test]
fn refuses_requests_quarantined_by_a_peer() {
    let mut pool = ready_pool(1, 1);
    acquire(&mut pool, 1_000, 0, 2);
    assert!(refusals(&pool.step(Millis(1_000), acquire_with_fingerprint(499, 77, &[]))).is_empty());
    let suspect = wasabi_protocol::rpc::Suspect {
        fingerprint: fingerprint::Body(77),
        organisation: "org".into(),
        crashes: 2,
        weight: 1.5,
        age: Millis(100),
    };
    pool.step(Millis(1_000), Event::Suspects(std::slice::from_ref(&suspect)));
    let actions = pool.step(Millis(1_001), acquire_with_fingerprint(500, 77, &[]));
    assert_eq!(
        refusals(&actions),
        [(500, Kind::Quarantined)],
        "it is refused even while the pool is full"
    );
    let actions = pool.step(Millis(1_001), Event::Announce(announcement("b", 1)));
    assert_eq!(
        refusals(&actions),
        [(499, Kind::Quarantined)],
        "a request that already waits is refused too"
    );
}

/// Guards against an owner that was paused and attributes the silence during the pause to crashes.
/// The running requests would be suspected, and quarantined after the second pause.
#[test]
fn a_paused_owner_suspects_nothing() {
    let (mut pool, held) = busy_pool();
    for resumed_at in [10_000, 20_000] {
        pool.step(Millis(resumed_at), Event::Tick);
        assert!(pool.suspects(Millis(resumed_at)).is_empty());
        common::announce_all(&mut pool, Millis(resumed_at + 1), 3, 4);
    }
    // Requests on endpoints that fall silent while the owner runs are still suspected.
    for now in (20_050..24_000).step_by(50) {
        pool.step(Millis(now), Event::Tick);
        if now < 21_500 {
            common::announce_all(&mut pool, Millis(now), 3, 4);
        }
    }
    assert_eq!(pool.endpoints().count(), 0);
    assert_eq!(pool.suspects(Millis(24_000)).len(), held.len());
}

/// Guards against a suspect that waits until its deadline although it must avoid every endpoint.
#[test]
fn refuses_a_suspect_that_must_avoid_every_endpoint() {
    let mut pool = ready_pool(1, 4);
    let held: Vec<_> = (0..2).flat_map(|n| grants(&acquire(&mut pool, 1_000, n, 2))).collect();
    crash_endpoint(&mut pool, 1_100, &on_endpoint(&held, "a"));
    pool.step(Millis(1_200), Event::Announce(announcement("a", 4)));
    let refused = refusals(&pool.step(Millis(1_300), acquire_with_fingerprint(100, 0, &["a"])));
    assert_eq!(refused, [(100, Kind::NoEndpoint)]);
}

/// Returns a pool whose endpoints each run three requests, and the total number of requests.
fn large_pool(endpoints: usize) -> (Pool, usize) {
    let mut pool = ready_pool(endpoints, 4);
    let tickets = 0..3 * endpoints as u64;
    let held: Vec<_> =
        tickets.flat_map(|ticket| grants(&acquire(&mut pool, 1_000, ticket, 2))).collect();
    (pool, held.len())
}

/// Advances the time in ticks while the given endpoints announce themselves once per second, one
/// after another.
fn advance(pool: &mut Pool, time: std::ops::Range<u64>, endpoints: std::ops::Range<usize>) {
    for now in time.step_by(50) {
        for index in endpoints.clone().filter(|index| (index * 50) as u64 % 1_000 == now % 1_000) {
            pool.step(Millis(now), Event::Announce(announcement(&common::endpoint_name(index), 4)));
        }
        pool.step(Millis(now), Event::Tick);
    }
}

/// Guards against an owner behind a congested link that considers all endpoints crashed. Their
/// requests would be suspected and run alone, one at a time, and new ones would be refused.
#[test]
fn keeps_endpoints_that_fall_silent_together_and_suspects_nothing() {
    let (mut pool, held) = large_pool(20);
    assert_eq!(held, 60);
    advance(&mut pool, 1_000..10_000, 0..20);
    for (number, now) in (10_000..13_500).step_by(500).enumerate() {
        advance(&mut pool, now..now + 500, 0..0);
        let ticket = 1_000 + number as u64;
        let granted = grants(&acquire(&mut pool, now + 499, ticket, 2));
        assert_eq!(granted.len(), 1, "after {} ms", now + 499 - 10_000);
        assert!(pool.suspects(Millis(now + 499)).is_empty(), "{} ms", now + 499 - 10_000);
        assert_eq!(pool.endpoints().count(), 20, "after {} ms", now + 499 - 10_000);
    }
    advance(&mut pool, 13_500..20_000, 0..20);
    assert!(pool.suspects(Millis(20_000)).is_empty());
    assert_eq!(pool.endpoints().count(), 20);
}

/// Guards against keeping endpoints forever after all of them are gone, with requests that wait for
/// them until their deadlines.
#[test]
fn endpoints_that_stay_silent_together_expire() {
    let (mut pool, _) = large_pool(20);
    advance(&mut pool, 1_000..10_000, 0..20);
    advance(&mut pool, 10_000..15_100, 0..0);
    assert_eq!(pool.endpoints().count(), 0, "expired after twice the usual timeout");
    assert!(pool.suspects(Millis(15_100)).is_empty());
    acquire(&mut pool, 15_100, 1_000, 2);
    let refused = (15_100..18_200).step_by(50).find(|now| {
        let refused = refusals(&pool.step(Millis(*now), Event::Tick));
        refused.contains(&(1_000, Kind::NoEndpoint))
    });
    assert!(refused.is_some(), "the request was not refused");
}

/// Guards against detecting the loss of a part of a pool later than the loss of one endpoint. Here
/// 23 of 90 endpoints crash without breaking their connections.
#[test]
fn detects_a_partial_crash_of_a_large_pool_in_time() {
    let (mut pool, held) = large_pool(90);
    assert_eq!(held, 270);
    advance(&mut pool, 1_000..10_000, 0..90);
    // Each crashed endpoint announced itself within the second before the crash.
    advance(&mut pool, 10_000..12_500, 23..90);
    assert_eq!(pool.endpoints().count(), 67);
    assert_eq!(pool.suspects(Millis(12_500)).len(), 69);
}

/// Guards against a request that crashes a small pool without being suspected. Three endpoints that
/// fall silent together are considered crashed.
#[test]
fn treats_a_small_silent_pool_as_crashed() {
    let (mut pool, held) = large_pool(3);
    advance(&mut pool, 1_000..10_000, 0..3);
    advance(&mut pool, 10_000..12_550, 0..0);
    assert_eq!(pool.endpoints().count(), 0);
    assert_eq!(pool.suspects(Millis(12_550)).len(), held);
}
