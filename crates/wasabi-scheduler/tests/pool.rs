//! Tests of the basic rules of a pool owner: tiers, concurrency, departures, refusals, takeover.

mod common;

use common::{acquire, announcement, config, grants, pool, ready_pool, refusals, release, request};
use wasabi_protocol::{
    clock::Millis,
    endpoint::{self, Announcement},
    fault::{Kind, Ran},
    id,
    request::End,
    rpc::{Grant, Holdings, Running},
};
use wasabi_scheduler::pool::{Action, Event, Pool};

/// Guards against starting a lower tier while a higher one waits, and against exceeding the
/// announced concurrency of an endpoint.
#[test]
fn starts_higher_tiers_first_and_never_exceeds_the_concurrency() {
    let mut pool = ready_pool(1, 1);
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

/// Guards against counting a repeated release twice, which would overload the endpoint.
#[test]
fn counts_a_repeated_release_once() {
    let mut pool = ready_pool(1, 2);
    let first = grants(&acquire(&mut pool, 1_000, 0, 0));
    acquire(&mut pool, 1_000, 1, 0);
    let attempt = request(0, 0).attempt;
    pool.step(Millis(1_001), release(&first[0].1, attempt, End::Finished));
    pool.step(Millis(1_001), release(&first[0].1, attempt, End::Finished));
    assert_eq!(grants(&acquire(&mut pool, 1_002, 2, 0)).len(), 1);
    assert!(grants(&acquire(&mut pool, 1_002, 3, 0)).is_empty());
}

/// Guards invariant 7: an endpoint gets no new requests after it left, even if a relayed
/// announcement arrives later, nor after it fell silent.
#[test]
fn grants_nothing_on_departed_or_silent_endpoints() {
    let mut pool = ready_pool(2, 8);
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
    assert_eq!(granted[0].1.endpoint.as_str(), "a", "a new process under the same name may serve");
}

/// Guards invariant 5: a refused request was not granted, and a refused or cancelled ticket is
/// never granted later.
#[test]
fn refuses_only_once_and_only_what_did_not_run() {
    let mut pool = ready_pool(1, 1);
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
        let mut other = ready_pool(1, 1);
        grants(&acquire(&mut other, 1_000, 0, 0))[0].1.clone()
    };
    assert!(pool.step(Millis(1_300), release(&grant, held, End::Finished)).is_empty());
}

/// Guards against sending a request to an endpoint that it must avoid, and against a request that
/// waits forever because it must avoid every endpoint.
#[test]
fn respects_the_avoid_list() {
    let mut pool = ready_pool(2, 1);
    let mut retry = request(1, 0);
    retry.avoid = vec!["a".into()];
    let granted = grants(&pool.step(Millis(1_000), Event::Acquire { ticket: 1, request: retry }));
    assert_eq!(granted[0].1.endpoint.as_str(), "b");
    let mut retry = request(2, 0);
    retry.avoid = vec!["a".into(), "b".into()];
    let actions = pool.step(Millis(1_000), Event::Acquire { ticket: 2, request: retry });
    assert_eq!(refusals(&actions), [(2, Kind::NoEndpoint)]);
}

/// Guards against refusing requests before a new owner has received announcements, and against
/// waiting forever when there are no endpoints.
#[test]
fn waits_for_endpoints_before_it_refuses() {
    let mut pool = common::pool();
    assert!(refusals(&acquire(&mut pool, 0, 0, 0)).is_empty());
    assert!(pool.step(Millis(2_900), Event::Tick).is_empty());
    assert_eq!(refusals(&pool.step(Millis(3_000), Event::Tick)), [(0, Kind::NoEndpoint)]);
}

/// Guards against a new owner that overloads endpoints which still run grants of the old owner.
#[test]
fn counts_reported_grants_and_halves_bounds_during_takeover() {
    let mut pool = common::pool();
    pool.step(Millis::ZERO, Event::Config(&config(1, &["e1", "e2"])));
    pool.step(Millis::ZERO, Event::Announce(announcement("a", 4)));
    let running = vec![Running { request: request(90, 0), endpoint: "a".into() }];
    let holdings =
        Holdings { pool: common::POOL.into(), holder: "e1".into(), running, asking: None };
    pool.step(Millis(10), Event::Holdings(holdings.clone()));
    pool.step(Millis(11), Event::Holdings(holdings));
    assert_eq!(grants(&acquire(&mut pool, 20, 0, 0)).len(), 1);
    assert!(
        grants(&acquire(&mut pool, 20, 1, 0)).is_empty(),
        "half of the limit of 4 is in flight"
    );
    let empty = Holdings {
        pool: common::POOL.into(),
        holder: "e2".into(),
        running: Vec::new(),
        asking: None,
    };
    let actions = pool.step(Millis(30), Event::Holdings(empty));
    assert_eq!(grants(&actions).len(), 1, "all entries have reported");
    assert_eq!(grants(&acquire(&mut pool, 40, 2, 0)).len(), 1);
    assert!(grants(&acquire(&mut pool, 40, 3, 0)).is_empty(), "4 are in flight");
}

/// Guards against a new owner that leaves half of its capacity idle because an entry never reports.
#[test]
fn ends_the_takeover_after_half_a_second() {
    let mut pool = common::pool();
    pool.step(Millis::ZERO, Event::Config(&config(1, &["e1", "e2"])));
    pool.step(Millis::ZERO, Event::Announce(announcement("a", 2)));
    acquire(&mut pool, 1, 0, 0);
    acquire(&mut pool, 1, 1, 0);
    assert!(grants(&pool.step(Millis(499), Event::Tick)).is_empty());
    assert_eq!(grants(&pool.step(Millis(500), Event::Tick)).len(), 1);
}

/// Guards against a full queue that refuses urgent requests while less urgent ones wait.
#[test]
fn sheds_the_lowest_tier_for_a_higher_one() {
    let mut pool = common::pool();
    for ticket in 0..4_096 {
        acquire(&mut pool, 0, ticket, if ticket == 7 { 4 } else { 1 });
    }
    let actions = acquire(&mut pool, 0, 5_000, 0);
    assert_eq!(refusals(&actions), [(7, Kind::Overloaded)]);
    let actions = acquire(&mut pool, 0, 5_001, 2);
    assert_eq!(refusals(&actions), [(5_001, Kind::Overloaded)]);
    assert!(!actions.iter().any(|action| matches!(action, Action::Grant { .. })));
}

/// Guards against treating a service as an engine that prefills prompts one after another. It then
/// got only 20 calls per second, whatever its concurrency, and the others waited until refused.
#[test]
fn a_service_is_used_up_to_its_concurrency() {
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
    assert_eq!(refused, 0, "100 calls per second of 30 ms each use 3 of 6 slots");
}

/// Guards against an endpoint that gets no requests for a minute after it has drained, left and started
/// again under its name: the leave after the drain made the pool forget which process had left.
#[test]
fn an_endpoint_that_left_twice_may_start_again() {
    let mut pool = ready_pool(1, 8);
    let old = announcement("a", 8);
    // The first says that the endpoint drains, the second that it leaves.
    for at in [1_100, 3_300] {
        pool.step(Millis(at), Event::Leave { endpoint: "a".into() });
    }
    pool.step(Millis(3_400), Event::Announce(old.clone()));
    assert_eq!(pool.endpoints().count(), 0, "a late announcement of the old process is ignored");
    let restarted = Announcement { incarnation: old.incarnation + 1, ..old };
    pool.step(Millis(3_600), Event::Announce(restarted));
    assert_eq!(grants(&acquire(&mut pool, 3_601, 0, 0)).len(), 1, "the new process serves");
}

/// Guards against departed endpoints that get requests from the next owner of the pool, and against
/// a new process of such an endpoint that gets none.
#[test]
fn endpoints_that_left_under_an_earlier_owner_stay_excluded() {
    let mut before = ready_pool(2, 8);
    before.step(Millis(1_100), Event::Leave { endpoint: "a".into() });
    before.step(Millis(1_100), Event::Leave { endpoint: "c".into() });
    let left = before.departed(Millis(2_000));
    let mut after = ready_pool(3, 8);
    after.step(Millis(2_100), Event::Departed(&left));
    let names = |pool: &Pool| {
        let mut names: Vec<_> = pool.endpoints().map(|one| one.name.to_string()).collect();
        names.sort_unstable();
        names
    };
    assert_eq!(names(&after), ["b"]);
    let late = announcement("a", 8);
    after.step(Millis(2_200), Event::Announce(late.clone()));
    assert_eq!(names(&after), ["b"], "a late announcement is ignored");
    let restarted = Announcement { incarnation: late.incarnation + 1, ..late };
    after.step(Millis(2_300), Event::Announce(restarted));
    after.step(Millis(2_400), Event::Departed(&left));
    assert_eq!(names(&after), ["a", "b"], "a newer process may join");
}

/// Guards against two tickets of one attempt. A holder that considered the owner lost repeated the
/// call of a waiting attempt; the grant went to the dropped call, and the repeated one was refused
/// as if the request might have run.
#[test]
fn a_repeated_acquire_of_a_waiting_attempt_gets_one_grant() {
    let mut pool = ready_pool(1, 1);
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
    assert!(grants(&pool.step(Millis(1_700), ended)).is_empty(), "the queue is empty");
    assert_eq!(grants(&acquire(&mut pool, 1_701, 3, 0)).len(), 1, "the endpoint is idle");
}

/// Guards against refusing a repeated call of an attempt whose grant was lost in transit. The
/// request failed as if it might have run, and its slot stayed in use until after the deadline. A
/// second slot would overload the endpoint if the first grant is in use after all.
#[test]
fn a_repeated_acquire_of_a_granted_attempt_returns_the_same_grant() {
    let mut pool = ready_pool(1, 2);
    let first = grants(&acquire(&mut pool, 1_000, 0, 0));
    let again = pool.reissue_grant(Millis(1_500), request(0, 0).attempt);
    assert_eq!(again.as_ref(), Some(&first[0].1));
    assert_eq!(grants(&acquire(&mut pool, 1_501, 2, 0)).len(), 1);
    assert!(grants(&acquire(&mut pool, 1_502, 3, 0)).is_empty(), "two run on the endpoint");
    let ended = || release(&first[0].1, request(0, 0).attempt, End::Finished);
    assert_eq!(grants(&pool.step(Millis(1_600), ended())).len(), 1);
    pool.step(Millis(1_601), ended());
    assert!(grants(&acquire(&mut pool, 1_602, 4, 0)).is_empty(), "one grant frees one slot");
}

/// Guards against reissuing a lost grant for an endpoint that has left in the meantime.
#[test]
fn a_grant_is_not_reissued_for_a_departed_endpoint() {
    let mut pool = ready_pool(2, 1);
    let first = grants(&acquire(&mut pool, 1_000, 0, 0));
    let endpoint = first[0].1.endpoint.clone();
    pool.step(Millis(1_100), Event::Leave { endpoint: endpoint.clone() });
    assert_eq!(pool.reissue_grant(Millis(1_200), request(0, 0).attempt), None);
    let again = Event::Acquire { ticket: 1, request: request(0, 0) };
    let granted = grants(&pool.step(Millis(1_200), again));
    assert_eq!(granted.len(), 1);
    assert_ne!(granted[0].1.endpoint, endpoint);
}

/// Returns the release of an acquire call that its holder dropped before it was answered.
fn release_of_dropped_call(owner: &str, attempt: id::Attempt) -> Event<'static> {
    let mut other = ready_pool(1, 1);
    let grant = grants(&acquire(&mut other, 1_000, 0, 0)).remove(0).1;
    let mut event = release(&grant, attempt, End::Abandoned);
    if let Event::Release(release) = &mut event {
        release.owner = owner.into();
        release.grant = id::Grant(0);
    }
    event
}

/// Guards against slots that stay in use for calls that their holder dropped, whether these wait,
/// were granted, or arrive after their own release.
#[test]
fn a_dropped_call_uses_no_capacity() {
    let mut pool = ready_pool(1, 1);
    let first = grants(&acquire(&mut pool, 1_000, 0, 0));
    acquire(&mut pool, 1_001, 1, 0);
    pool.step(Millis(1_100), release_of_dropped_call("e1", request(1, 0).attempt));
    let ended = release(&first[0].1, request(0, 0).attempt, End::Finished);
    assert!(grants(&pool.step(Millis(1_200), ended)).is_empty(), "a dropped call was granted");
    assert_eq!(grants(&acquire(&mut pool, 1_300, 2, 0)).len(), 1);
    pool.step(Millis(1_400), release_of_dropped_call("e1", request(2, 0).attempt));
    pool.step(Millis(1_401), release_of_dropped_call("e1", request(3, 0).attempt));
    assert!(
        grants(&acquire(&mut pool, 1_402, 3, 0)).is_empty(),
        "the call arrived after its release"
    );
    assert_eq!(grants(&acquire(&mut pool, 1_403, 4, 0)).len(), 1);
}

/// Guards against freeing a slot in use on the release of a grant that another owner issued to the
/// same attempt, or of a call that this owner never answered.
#[test]
fn the_release_of_another_grant_frees_no_capacity() {
    let mut pool = ready_pool(1, 2);
    let own = grants(&acquire(&mut pool, 1_000, 0, 0)).remove(0).1;
    let running = vec![Running { request: request(1, 0), endpoint: "a".into() }];
    let holdings =
        Holdings { pool: common::POOL.into(), holder: "e2".into(), running, asking: None };
    pool.step(Millis(1_001), Event::Holdings(holdings));
    let of_other = Grant { grant: id::Grant(own.grant.0 + 7), owner: "e3".into(), ..own.clone() };
    pool.step(Millis(1_100), release(&of_other, request(0, 0).attempt, End::Finished));
    pool.step(Millis(1_101), release_of_dropped_call("e1", request(1, 0).attempt));
    assert!(grants(&acquire(&mut pool, 1_200, 2, 0)).is_empty(), "both slots are in use");
    pool.step(Millis(1_300), release(&of_other, request(1, 0).attempt, End::Finished));
    pool.step(Millis(1_301), release(&own, request(0, 0).attempt, End::Finished));
    assert!(grants(&acquire(&mut pool, 1_400, 3, 0)).len() <= 1);
    let [waiting, running] =
        [pool.pressure(Millis(1_400)).waiting, pool.pressure(Millis(1_400)).running]
            .map(|tiers| tiers.iter().sum::<u32>());
    assert_eq!((waiting, running), (0, 2), "the two requests that waited use the two slots");
}

/// Guards against grants that count until after their deadline because their release was lost, and
/// against freeing a slot while its grant is still in transit to the holder.
#[test]
fn an_orphaned_grant_is_freed_after_a_second() {
    let mut pool = ready_pool(1, 2);
    let orphaned =
        || Event::Orphaned { attempts: vec![request(0, 0).attempt, request(9, 0).attempt] };
    assert_eq!(grants(&acquire(&mut pool, 1_000, 0, 0)).len(), 1);
    assert_eq!(grants(&acquire(&mut pool, 1_000, 1, 0)).len(), 1);
    assert!(grants(&acquire(&mut pool, 1_001, 2, 0)).is_empty());
    assert!(
        grants(&pool.step(Millis(1_999), orphaned())).is_empty(),
        "the grant may be in transit"
    );
    assert_eq!(grants(&pool.step(Millis(2_000), orphaned())).len(), 1);
    assert!(grants(&acquire(&mut pool, 2_001, 3, 0)).is_empty(), "two run on the endpoint");
}
