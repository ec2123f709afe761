//! Tests of endpoint selection, and of requests that wait although an endpoint has room.

mod common;

use common::{acquire, announce_all, grants, ready_pool, refusals, release, request};
use wasabi_protocol::{
    clock::Millis,
    endpoint::Closed,
    fault::{Kind, Ran},
    request::{End, Patience, Request},
    rpc::Grant,
};
use wasabi_scheduler::pool::{Action, Event, Pool};

fn step(pool: &mut Pool, now: u64, request: Request) -> Vec<Action> {
    let ticket = request.attempt.0 as u64 - 1;
    pool.step(Millis(now), Event::Acquire { ticket, request })
}

fn finish(pool: &mut Pool, now: u64, ticket: u64, grant: &Grant) -> Vec<Action> {
    pool.step(Millis(now), release(grant, request(ticket, 0).attempt, End::Finished))
}

/// Guards against repeating prefill on another endpoint although one has the prefix cached, and
/// against sending requests with other prefixes to that endpoint.
#[test]
fn prefers_the_endpoint_with_the_cached_prefix() {
    let mut pool = ready_pool(3, 8);
    let long = |ticket: u64, start: u64| {
        let mut long = request(ticket, 2);
        long.prompt_tokens = 4_000;
        long.prefix = (start..start + 60).collect();
        long
    };
    let first = grants(&step(&mut pool, 1_000, long(0, 1_000)));
    finish(&mut pool, 2_000, 0, &first[0].1);
    // With their next announcement, the other endpoints get the prefill rate measured for their
    // kind.
    announce_all(&mut pool, Millis(2_000), 3, 8);
    for ticket in 1..4 {
        let next = grants(&step(&mut pool, 2_000 + ticket, long(ticket, 1_000)));
        assert_eq!(next[0].1.endpoint, first[0].1.endpoint, "the prefix is cached there");
    }
    let other = grants(&step(&mut pool, 2_010, long(9, 5_000)));
    assert_ne!(
        other[0].1.endpoint, first[0].1.endpoint,
        "a request with another prefix goes elsewhere"
    );
}

/// Guards against a tier-0 request that starts behind a long prompt and misses its first-token
/// target although another endpoint soon has room, and against delaying it until it is late.
#[test]
fn delays_tier_0_for_an_endpoint_that_meets_its_target() {
    for frees in [true, false] {
        let mut pool = ready_pool(2, 2);
        let mut long = request(0, 2);
        long.prompt_tokens = 60_000;
        let busy = grants(&step(&mut pool, 1_000, long));
        let short: Vec<_> = (1..3).flat_map(|n| grants(&acquire(&mut pool, 1_000, n, 2))).collect();
        assert!(short.iter().all(|(_, grant)| grant.endpoint != busy[0].1.endpoint));
        let mut urgent = request(10, 0);
        urgent.first_token = Millis(1_000);
        assert!(
            grants(&step(&mut pool, 1_001, urgent)).is_empty(),
            "it would miss its target there"
        );
        if frees {
            let next = grants(&finish(&mut pool, 1_020, 1, &short[0].1));
            assert_eq!((next[0].0, &next[0].1.endpoint), (10, &short[0].1.endpoint));
        } else {
            let started = (1_050..2_100)
                .step_by(50)
                .find(|now| !grants(&pool.step(Millis(*now), Event::Tick)).is_empty());
            assert!(started.is_some_and(|now| now <= 2_000), "started at {started:?}");
        }
    }
}

/// Guards against prefill that is wasted on a request which its deadline cuts off. Such a request
/// is refused as not run once too little time is left.
#[test]
fn refuses_a_request_that_cannot_finish_before_its_deadline() {
    let mut pool = ready_pool(1, 1);
    // Streams of 100 tokens, as requested, at 50 ms per token take about 5 s.
    for ticket in 0..200 {
        let now = 1_000 + ticket;
        let granted = grants(&acquire(&mut pool, now, ticket, 2));
        let mut release = release(&granted[0].1, request(ticket, 2).attempt, End::Finished);
        if let Event::Release(release) = &mut release {
            release.report.stream = Millis(50 * 99);
        }
        pool.step(Millis(now), release);
    }
    let mut held = request(300, 2);
    held.prompt_tokens = 1;
    assert_eq!(grants(&step(&mut pool, 1_500, held)).len(), 1);
    let mut late = request(301, 3);
    late.remaining = Millis(20_000);
    step(&mut pool, 1_500, late);
    let refused = (1_550..30_000).step_by(50).find_map(|now| {
        announce_all(&mut pool, Millis(now), 1, 1);
        let refused = refusals(&pool.step(Millis(now), Event::Tick));
        (!refused.is_empty()).then_some((now, refused))
    });
    let Some((now, refused)) = refused else { panic!("the request was not refused") };
    assert_eq!(refused, [(301, Kind::DeadlineInQueue)]);
    assert_eq!(Kind::DeadlineInQueue.answer().ran, Ran::NotRun);
    assert!(
        (15_000..19_000).contains(&now),
        "refused at {now} ms instead of 4 to 5 s before its deadline at 21.5 s"
    );
}

/// Guards invariant 6 at the owner: an attempt that holds a grant gets no second one, even if its
/// holder requests it again under another ticket.
#[test]
fn grants_an_attempt_only_once() {
    let mut pool = ready_pool(2, 2);
    assert_eq!(grants(&acquire(&mut pool, 1_000, 0, 0)).len(), 1);
    let again = Event::Acquire { ticket: 77, request: request(0, 0) };
    let actions = pool.step(Millis(1_001), again);
    assert!(grants(&actions).is_empty());
    assert_eq!(refusals(&actions), [(77, Kind::Internal)]);
    assert_ne!(Kind::Internal.answer().ran, Ran::NotRun, "the attempt may be running");
}

/// Returns a request whose holder must not use these endpoints for a time.
fn closed_request(number: u64, closed: &[(&str, u64, u64)]) -> Request {
    let closed = closed.iter().map(|(name, incarnation, left)| Closed {
        endpoint: (*name).into(),
        incarnation: *incarnation,
        left: Millis(*left),
    });
    Request { closed: closed.collect(), ..request(number, 2) }
}

/// Guards against a grant for an endpoint that rests, and against one that the rest of an earlier
/// process or of another holder keeps without requests.
#[test]
fn a_closed_endpoint_is_not_granted() {
    let mut pool = ready_pool(2, 8);
    for number in 0..6 {
        let granted = grants(&step(&mut pool, 1_000, closed_request(number, &[("a", 1, 500)])));
        assert_eq!(granted[0].1.endpoint.as_str(), "b");
    }
    let of_earlier_process = closed_request(6, &[("a", 0, 500)]);
    let granted = grants(&step(&mut pool, 1_000, of_earlier_process));
    assert_eq!(granted[0].1.endpoint.as_str(), "a", "the emptier one");
    let of_other_holder = grants(&step(&mut pool, 1_000, request(7, 2)));
    assert_eq!(of_other_holder[0].1.endpoint.as_str(), "a");
}

/// Guards against a request that is refused although an endpoint opens before it is late, and
/// against one that starts before the endpoint opens.
#[test]
fn a_request_waits_for_a_short_rest() {
    let mut pool = ready_pool(1, 8);
    let actions = step(&mut pool, 1_000, closed_request(0, &[("a", 1, 500)]));
    assert!(actions.is_empty(), "{actions:?}");
    for now in [1_050, 1_250, 1_450] {
        assert!(grants(&pool.step(Millis(now), Event::Tick)).is_empty(), "granted at {now} ms");
    }
    assert_eq!(grants(&pool.step(Millis(1_500), Event::Tick)).len(), 1);
}

/// Guards against a request that queues until its deadline because every endpoint rests, and
/// against a refusal without the time at which the first one opens.
#[test]
fn a_request_is_refused_when_all_endpoints_rest_for_long() {
    let mut pool = ready_pool(2, 8);
    let actions = step(&mut pool, 1_000, closed_request(0, &[("a", 1, 30_000), ("b", 1, 20_000)]));
    let [Action::Refuse { fault, .. }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(fault.kind.answer().ran, Ran::NotRun);
    assert_eq!((fault.kind, fault.retry_after), (Kind::Overloaded, Some(Millis(20_000))));
}

/// Guards against a request that queues in a pool without room although its holder can ask another
/// pool, and against one that is refused although it can start.
#[test]
fn a_full_pool_refuses_a_request_that_another_pool_may_start() {
    let mut pool = ready_pool(1, 1);
    let impatient = |number| Request { patience: Patience::UnlessFull, ..request(number, 0) };
    let granted = grants(&step(&mut pool, 1_000, impatient(0)));
    assert_eq!(granted.len(), 1);
    let actions = step(&mut pool, 1_001, impatient(1));
    let [Action::Refuse { fault, .. }] = &actions[..] else { panic!("{actions:?}") };
    // Without a time, since another pool may have room now.
    assert_eq!((fault.kind, fault.retry_after), (Kind::Overloaded, None));
    let waiting = Request { patience: Patience::UnlessEmpty, ..request(2, 0) };
    assert!(step(&mut pool, 1_002, waiting).is_empty(), "a pool with endpoints queues it");
    let next = grants(&finish(&mut pool, 1_100, 0, &granted[0].1));
    assert_eq!(next.len(), 1, "the queued request starts");
}

/// Guards against a request that waits in a pool that has no endpoint.
#[test]
fn an_empty_pool_refuses_a_request_that_another_pool_may_start() {
    let mut pool = ready_pool(0, 1);
    for patience in [Patience::UnlessFull, Patience::UnlessEmpty] {
        let actions = step(&mut pool, 1_000, Request { patience, ..request(0, 0) });
        assert_eq!(refusals(&actions).len(), 1, "{patience:?}: {actions:?}");
    }
    let queued = step(&mut pool, 1_000, request(1, 0));
    assert!(queued.is_empty(), "{queued:?}");
}
