//! Tests of the pool owner's basic rules: tiers, in-flight counts, leaving, refusals, takeover.

mod kit;

use kit::{acquire, announcement, config, grants, pool, ready, refusals, release, request};
use wasabi_protocol::{
    clock::Millis,
    endpoint::{self, Announcement},
    fault::{Kind, Ran},
    id,
    request::End,
    rpc::{Grant, Holdings, Running},
};
use wasabi_scheduler::pool::{Action, Event, Pool};

/// Guards against a lower tier that starts while a higher one waits, and against an endpoint that
/// gets more than its announced concurrency.
#[test]
fn starts_higher_tiers_first_and_never_exceeds_the_concurrency() {
    let mut pool = ready(1, 1);
    let first = grants(&acquire(&mut pool, 1_000, 0, 4));
    assert_eq!(first.len(), 1);
    for (ticket, tier) in [(1, 4), (2, 2), (3, 0)] {
        assert!(grants(&acquire(&mut pool, 1_001, ticket, tier)).is_empty());
    }
    let mut order = Vec::new();
    let mut held = (first[0].1.clone(), 0);
    for _ in 0..3 {
        let attempt = request(held.1, 0).attempt;
        let next = grants(&pool.step(Millis(1_002), release(&held.0, attempt, End::Finished)));
        assert_eq!(next.len(), 1);
        order.push(next[0].0);
        held = (next[0].1.clone(), next[0].0);
    }
    assert_eq!(order, [3, 2, 1]);
}

/// Guards against a release that is counted twice, which would overrun the endpoint.
#[test]
fn counts_a_repeated_release_once() {
    let mut pool = ready(1, 2);
    let first = grants(&acquire(&mut pool, 1_000, 0, 0));
    acquire(&mut pool, 1_000, 1, 0);
    let attempt = request(0, 0).attempt;
    pool.step(Millis(1_001), release(&first[0].1, attempt, End::Finished));
    pool.step(Millis(1_001), release(&first[0].1, attempt, End::Finished));
    assert_eq!(grants(&acquire(&mut pool, 1_002, 2, 0)).len(), 1);
    assert!(grants(&acquire(&mut pool, 1_002, 3, 0)).is_empty());
}

/// Guards invariant 7: new work for an endpoint that said it leaves, also when an announcement
/// relayed by another entry arrives later, and for one that fell silent.
#[test]
fn gives_no_work_to_an_endpoint_that_left_or_is_silent() {
    let mut pool = ready(2, 8);
    pool.step(Millis(1_100), Event::Leave { endpoint: "a".into() });
    pool.step(Millis(1_200), Event::Announce(announcement("a", 8)));
    for ticket in 0..4 {
        let granted = grants(&acquire(&mut pool, 1_300, ticket, 0));
        assert_eq!(granted[0].1.endpoint.as_str(), "b");
    }
    pool.step(Millis(3_500), Event::Tick);
    assert!(grants(&acquire(&mut pool, 3_501, 9, 0)).is_empty());
    pool.step(Millis(3_600), Event::Announce(announcement("b", 8)));
    let mut restarted = announcement("a", 8);
    restarted.incarnation = 2;
    pool.step(Millis(3_600), Event::Announce(restarted));
    let granted = grants(&acquire(&mut pool, 3_601, 10, 0));
    assert_eq!(granted[0].1.endpoint.as_str(), "a", "a new process under the name may serve");
}

/// Guards invariant 5: every refusal of the pool means that the request was not granted, and a
/// refused or cancelled ticket is never granted later.
#[test]
fn refuses_truthfully_and_only_once() {
    let mut pool = ready(1, 1);
    acquire(&mut pool, 1_000, 0, 0);
    let mut late = request(1, 0);
    late.remaining = Millis(100);
    pool.step(Millis(1_000), Event::Acquire { ticket: 1, request: late });
    acquire(&mut pool, 1_000, 2, 0);
    pool.step(Millis(1_001), Event::Cancel { ticket: 2 });
    let actions = pool.step(Millis(1_200), Event::Tick);
    assert_eq!(refusals(&actions), [(1, Kind::DeadlineInQueue)]);
    assert_eq!(Kind::DeadlineInQueue.answer().ran, Ran::NotRun);
    let held = id::Attempt(1);
    let grant = {
        let mut other = ready(1, 1);
        grants(&acquire(&mut other, 1_000, 0, 0))[0].1.clone()
    };
    assert!(pool.step(Millis(1_300), release(&grant, held, End::Finished)).is_empty());
}

/// Guards against a request that waits for ever because it met every endpoint, and against one
/// that is sent again to an endpoint that it must avoid.
#[test]
fn respects_the_avoid_list() {
    let mut pool = ready(2, 1);
    let mut retry = request(1, 0);
    retry.avoid = vec!["a".into()];
    let granted = grants(&pool.step(Millis(1_000), Event::Acquire { ticket: 1, request: retry }));
    assert_eq!(granted[0].1.endpoint.as_str(), "b");
    let mut retry = request(2, 0);
    retry.avoid = vec!["a".into(), "b".into()];
    let actions = pool.step(Millis(1_000), Event::Acquire { ticket: 2, request: retry });
    assert_eq!(refusals(&actions), [(2, Kind::NoEndpoint)]);
}

/// Guards against refusing at once while a new owner has not yet heard the endpoints, and against
/// waiting for ever when there are none.
#[test]
fn waits_for_endpoints_before_it_refuses() {
    let mut pool = kit::pool();
    assert!(refusals(&acquire(&mut pool, 0, 0, 0)).is_empty());
    assert!(pool.step(Millis(2_900), Event::Tick).is_empty());
    assert_eq!(refusals(&pool.step(Millis(3_000), Event::Tick)), [(0, Kind::NoEndpoint)]);
}

/// Guards against a new owner that fills endpoints which still run grants of the old owner.
#[test]
fn counts_reported_grants_and_halves_bounds_during_takeover() {
    let mut pool = kit::pool();
    pool.step(Millis::ZERO, Event::Config(&config(1, &["e1", "e2"])));
    pool.step(Millis::ZERO, Event::Announce(announcement("a", 4)));
    let running = vec![Running { request: request(90, 0), endpoint: "a".into() }];
    let holdings = Holdings { pool: kit::POOL.into(), holder: "e1".into(), running };
    pool.step(Millis(10), Event::Holdings(holdings.clone()));
    pool.step(Millis(11), Event::Holdings(holdings));
    assert_eq!(grants(&acquire(&mut pool, 20, 0, 0)).len(), 1);
    assert!(grants(&acquire(&mut pool, 20, 1, 0)).is_empty(), "half of 4 are in flight");
    let empty = Holdings { pool: kit::POOL.into(), holder: "e2".into(), running: Vec::new() };
    let actions = pool.step(Millis(30), Event::Holdings(empty));
    assert_eq!(grants(&actions).len(), 1, "all entries have reported");
    assert_eq!(grants(&acquire(&mut pool, 40, 2, 0)).len(), 1);
    assert!(grants(&acquire(&mut pool, 40, 3, 0)).is_empty(), "4 are in flight");
}

/// Guards against a new owner that keeps half its capacity idle when an entry never reports.
#[test]
fn ends_the_takeover_after_half_a_second() {
    let mut pool = kit::pool();
    pool.step(Millis::ZERO, Event::Config(&config(1, &["e1", "e2"])));
    pool.step(Millis::ZERO, Event::Announce(announcement("a", 2)));
    acquire(&mut pool, 1, 0, 0);
    acquire(&mut pool, 1, 1, 0);
    assert!(grants(&pool.step(Millis(499), Event::Tick)).is_empty());
    assert_eq!(grants(&pool.step(Millis(500), Event::Tick)).len(), 1);
}

/// Guards against a full queue that refuses urgent work while less urgent work waits.
#[test]
fn sheds_the_lowest_tier_for_a_higher_one() {
    let mut pool = kit::pool();
    for ticket in 0..4_096 {
        acquire(&mut pool, 0, ticket, if ticket == 7 { 4 } else { 1 });
    }
    let actions = acquire(&mut pool, 0, 5_000, 0);
    assert_eq!(refusals(&actions), [(7, Kind::Overloaded)]);
    let actions = acquire(&mut pool, 0, 5_001, 2);
    assert_eq!(refusals(&actions), [(5_001, Kind::Overloaded)]);
    assert!(!actions.iter().any(|action| matches!(action, Action::Grant { .. })));
}

/// Guards against a plain service that is taken for an engine which reads prompts one after the
/// other: it then got 20 calls a second, whatever its concurrency, and the rest waited in vain.
#[test]
fn a_plain_service_gets_as_many_calls_as_it_runs_at_one_time() {
    let mut pool = pool();
    pool.step(Millis::ZERO, Event::Tick);
    let service = Announcement { kind: endpoint::Kind::Service, ..announcement("a", 6) };
    pool.step(Millis(1_000), Event::Announce(service));
    let mut refused = 0;
    let mut running: Vec<(u64, u64, Grant)> = Vec::new();
    for now in 2_000..6_000_u64 {
        let mut actions = Vec::new();
        if now % 10 == 0 {
            let mut request = request(now, 1);
            request.prompt_tokens = 200;
            request.output_tokens = 0;
            request.remaining = Millis(500);
            request.first_token = Millis(150);
            actions = pool.step(Millis(now), Event::Acquire { ticket: now, request });
        }
        if now % 50 == 0 {
            actions.extend(pool.step(Millis(now), Event::Tick));
        }
        if now % 1_000 == 0 {
            let service = Announcement { kind: endpoint::Kind::Service, ..announcement("a", 6) };
            actions.extend(pool.step(Millis(now), Event::Announce(service)));
        }
        let ended: Vec<_> = running.extract_if(.., |(end, ..)| *end <= now).collect();
        for (_, ticket, grant) in ended {
            let attempt = id::Attempt(u128::from(ticket) + 1);
            actions.extend(pool.step(Millis(now), release(&grant, attempt, End::Finished)));
        }
        refused += refusals(&actions).len();
        let granted = grants(&actions).into_iter();
        running.extend(granted.map(|(ticket, grant)| (now + 30, ticket, grant)));
    }
    assert_eq!(refused, 0, "100 calls a second of 30 ms each need 3 of 6 places");
}

/// Guards against endpoints that left and get work from the next owner of the pool, and against a new
/// process of such an endpoint that gets none.
#[test]
fn what_left_under_an_earlier_owner_stays_away() {
    let mut before = ready(2, 8);
    before.step(Millis(1_100), Event::Leave { endpoint: "a".into() });
    before.step(Millis(1_100), Event::Leave { endpoint: "c".into() });
    let left = before.departed(Millis(2_000));
    let mut after = ready(3, 8);
    after.step(Millis(2_100), Event::Left(&left));
    let names = |pool: &Pool| {
        let mut names: Vec<_> = pool.endpoints().map(|one| one.name.to_string()).collect();
        names.sort_unstable();
        names
    };
    assert_eq!(names(&after), ["b"]);
    let late = announcement("a", 8);
    after.step(Millis(2_200), Event::Announce(late.clone()));
    assert_eq!(names(&after), ["b"], "a late announcement");
    let restarted = Announcement { incarnation: late.incarnation + 1, ..late };
    after.step(Millis(2_300), Event::Announce(restarted));
    after.step(Millis(2_400), Event::Left(&left));
    assert_eq!(names(&after), ["a", "b"], "a later process is another one");
}
