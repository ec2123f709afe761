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
    let holdings = Holdings { pool: kit::POOL.into(), holder: "e1".into(), running, asking: None };
    pool.step(Millis(10), Event::Holdings(holdings.clone()));
    pool.step(Millis(11), Event::Holdings(holdings));
    assert_eq!(grants(&acquire(&mut pool, 20, 0, 0)).len(), 1);
    assert!(grants(&acquire(&mut pool, 20, 1, 0)).is_empty(), "half of 4 are in flight");
    let empty =
        Holdings { pool: kit::POOL.into(), holder: "e2".into(), running: Vec::new(), asking: None };
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
    after.step(Millis(2_100), Event::Departed(&left));
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
    after.step(Millis(2_400), Event::Departed(&left));
    assert_eq!(names(&after), ["a", "b"], "a later process is another one");
}

/// Guards against a holder that asks again with an attempt that still waits, after it took the owner
/// for lost: the attempt had two tickets, the first was granted to a call that nobody waited for, and
/// the second was refused as if the request might have run.
#[test]
fn an_attempt_that_asks_again_while_it_waits_gets_one_grant() {
    let mut pool = ready(1, 1);
    let first = grants(&acquire(&mut pool, 1_000, 0, 0));
    assert!(grants(&acquire(&mut pool, 1_001, 1, 0)).is_empty());
    let again = Event::Acquire { ticket: 2, request: request(1, 0) };
    let mut actions = pool.step(Millis(1_500), again);
    let ended = release(&first[0].1, request(0, 0).attempt, End::Finished);
    actions.extend(pool.step(Millis(1_600), ended));
    actions.extend(pool.step(Millis(1_650), Event::Tick));
    let granted = grants(&actions);
    assert_eq!(granted.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [2]);
    assert_eq!(refusals(&actions), []);
    let ended = release(&granted[0].1, request(1, 0).attempt, End::Finished);
    assert!(grants(&pool.step(Millis(1_700), ended)).is_empty(), "nothing waits any more");
    assert_eq!(grants(&acquire(&mut pool, 1_701, 3, 0)).len(), 1, "the endpoint is free");
}

/// Guards against a holder that asks again with an attempt whose grant was lost on its way: it was
/// refused as if the request might have run, and the endpoint looked full until after the deadline.
/// A second place for it would overrun the endpoint when the first grant is in use after all.
#[test]
fn an_attempt_that_asks_again_after_its_grant_gets_the_same_grant() {
    let mut pool = ready(1, 2);
    let first = grants(&acquire(&mut pool, 1_000, 0, 0));
    let again = pool.reissue_grant(Millis(1_500), request(0, 0).attempt);
    assert_eq!(again.as_ref(), Some(&first[0].1));
    assert_eq!(grants(&acquire(&mut pool, 1_501, 2, 0)).len(), 1);
    assert!(grants(&acquire(&mut pool, 1_502, 3, 0)).is_empty(), "two run on the endpoint");
    let ended = || release(&first[0].1, request(0, 0).attempt, End::Finished);
    assert_eq!(grants(&pool.step(Millis(1_600), ended())).len(), 1);
    pool.step(Millis(1_601), ended());
    assert!(grants(&acquire(&mut pool, 1_602, 4, 0)).is_empty(), "one grant freed one place");
}

/// Guards against a lost grant that is given again for an endpoint that has left since.
#[test]
fn a_lost_grant_is_not_given_again_at_an_endpoint_that_left() {
    let mut pool = ready(2, 1);
    let first = grants(&acquire(&mut pool, 1_000, 0, 0));
    let endpoint = first[0].1.endpoint.clone();
    pool.step(Millis(1_100), Event::Leave { endpoint: endpoint.clone() });
    assert_eq!(pool.reissue_grant(Millis(1_200), request(0, 0).attempt), None);
    let again = Event::Acquire { ticket: 1, request: request(0, 0) };
    let granted = grants(&pool.step(Millis(1_200), again));
    assert_eq!(granted.len(), 1);
    assert_ne!(granted[0].1.endpoint, endpoint);
}

/// Returns the release of a call that its holder dropped before it was answered.
fn dropped(owner: &str, attempt: id::Attempt) -> Event<'static> {
    let mut ready = ready(1, 1);
    let grant = grants(&acquire(&mut ready, 1_000, 0, 0)).remove(0).1;
    let mut event = release(&grant, attempt, End::Abandoned);
    if let Event::Release(release) = &mut event {
        release.owner = owner.into();
        release.grant = id::Grant(0);
    }
    event
}

/// Guards against places that stay taken by calls that their holder has dropped, whether they wait,
/// were granted, or arrive after the word of their end.
#[test]
fn a_dropped_call_takes_no_place() {
    let mut pool = ready(1, 1);
    let first = grants(&acquire(&mut pool, 1_000, 0, 0));
    acquire(&mut pool, 1_001, 1, 0);
    pool.step(Millis(1_100), dropped("e1", request(1, 0).attempt));
    let ended = release(&first[0].1, request(0, 0).attempt, End::Finished);
    assert!(grants(&pool.step(Millis(1_200), ended)).is_empty(), "a dropped call is granted");
    assert_eq!(grants(&acquire(&mut pool, 1_300, 2, 0)).len(), 1);
    pool.step(Millis(1_400), dropped("e1", request(2, 0).attempt));
    pool.step(Millis(1_401), dropped("e1", request(3, 0).attempt));
    assert!(grants(&acquire(&mut pool, 1_402, 3, 0)).is_empty(), "the call came after its end");
    assert_eq!(grants(&acquire(&mut pool, 1_403, 4, 0)).len(), 1);
}

/// Guards against a place that is freed while it is in use, by the end of a grant that another owner
/// gave to the same attempt, or of a call that this owner never answered.
#[test]
fn the_end_of_another_grant_frees_no_place() {
    let mut pool = ready(1, 2);
    let own = grants(&acquire(&mut pool, 1_000, 0, 0)).remove(0).1;
    let running = vec![Running { request: request(1, 0), endpoint: "a".into() }];
    let holdings = Holdings { pool: kit::POOL.into(), holder: "e2".into(), running, asking: None };
    pool.step(Millis(1_001), Event::Holdings(holdings));
    let of_other = Grant { grant: id::Grant(own.grant.0 + 7), owner: "e3".into(), ..own.clone() };
    pool.step(Millis(1_100), release(&of_other, request(0, 0).attempt, End::Finished));
    pool.step(Millis(1_101), dropped("e1", request(1, 0).attempt));
    assert!(grants(&acquire(&mut pool, 1_200, 2, 0)).is_empty(), "both places are in use");
    pool.step(Millis(1_300), release(&of_other, request(1, 0).attempt, End::Finished));
    pool.step(Millis(1_301), release(&own, request(0, 0).attempt, End::Finished));
    assert!(grants(&acquire(&mut pool, 1_400, 3, 0)).len() <= 1);
    let [waiting, running] =
        [pool.pressure(Millis(1_400)).waiting, pool.pressure(Millis(1_400)).running]
            .map(|tiers| tiers.iter().sum::<u32>());
    assert_eq!((waiting, running), (0, 2), "the two that waited run in the two places");
}

/// Guards against grants whose release was lost and that count until after their deadline, and against
/// a place that is freed under a grant which is still on its way to its holder.
#[test]
fn a_grant_that_its_holder_does_not_know_is_freed_after_a_second() {
    let mut pool = ready(1, 2);
    let lost = || Event::Orphaned { attempts: vec![request(0, 0).attempt, request(9, 0).attempt] };
    assert_eq!(grants(&acquire(&mut pool, 1_000, 0, 0)).len(), 1);
    assert_eq!(grants(&acquire(&mut pool, 1_000, 1, 0)).len(), 1);
    assert!(grants(&acquire(&mut pool, 1_001, 2, 0)).is_empty());
    assert!(grants(&pool.step(Millis(1_999), lost())).is_empty(), "it may be on its way");
    assert_eq!(grants(&pool.step(Millis(2_000), lost())).len(), 1);
    assert!(grants(&acquire(&mut pool, 2_001, 3, 0)).is_empty(), "two run on the endpoint");
}
