//! Tests of preemption, aging, contract limits, retry limits and slow endpoints.

mod common;

use common::{announce_all, config, contract, grants, ready_pool, refusals, release, request};
use rstest::rstest;
use wasabi_protocol::{
    clock::Millis,
    contract::Limits,
    fault::Kind,
    request::{End, Request},
    rpc::Grant,
};
use wasabi_scheduler::pool::{Action, Event, Pool};

fn preemption_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Preempt { .. })).count()
}

fn tier_0_request(ticket: u64) -> Event<'static> {
    let mut request = request(ticket, 0);
    request.first_token = Millis(100);
    Event::Acquire { ticket, request }
}

/// Guards the preemption rule: an idempotent request of a lower tier without a first token yields
/// to tier 0; one that is not idempotent, has produced a token, or is of tier 0 itself does not.
#[rstest]
#[case::idempotent(2, true, 1_000, 1)]
#[case::not_idempotent(2, false, 1_000, 0)]
#[case::has_first_token(2, true, 60_000, 0)]
#[case::tier_0(0, true, 1_000, 0)]
fn preempts_only_idempotent_lower_tiers_before_their_first_token(
    #[case] tier: u8,
    #[case] idempotent: bool,
    #[case] at: u64,
    #[case] expected: usize,
) {
    let mut pool = ready_pool(1, 1);
    let mut long = request(0, tier);
    long.idempotent = idempotent;
    long.prompt_tokens = 20_000;
    long.remaining = Millis(500_000);
    pool.step(Millis(1_000), Event::Acquire { ticket: 0, request: long });
    announce_all(&mut pool, Millis(at), 1, 1);
    let mut actions = pool.step(Millis(at), tier_0_request(1));
    for now in 1..4 {
        actions.extend(pool.step(Millis(at + now * 50), Event::Tick));
    }
    assert_eq!(preemption_count(&actions), expected);
}

/// Guards against preempting more attempts than tier-0 requests wait.
#[test]
fn preempts_one_attempt_per_tier_0_request() {
    let mut pool = ready_pool(4, 1);
    for ticket in 0..4 {
        let mut long = request(ticket, 2);
        long.prompt_tokens = 20_000;
        pool.step(Millis(1_000), Event::Acquire { ticket, request: long });
    }
    let mut actions = pool.step(Millis(1_001), tier_0_request(9));
    for now in 0..10 {
        actions.extend(pool.step(Millis(1_010 + now), Event::Tick));
    }
    assert_eq!(preemption_count(&actions), 1);
}

/// Saturates a pool of two endpoints with tier-1 requests for a minute. Returns when an earlier
/// tier-4 request started.
fn start_of_aged_request(first_token: Millis) -> Option<u64> {
    let mut pool = ready_pool(2, 4);
    let mut held: Vec<(u64, Grant)> = Vec::new();
    let mut ticket = 1;
    for now in (1_000..61_000).step_by(50) {
        if now % 1_000 == 0 {
            announce_all(&mut pool, Millis(now), 2, 4);
        }
        let mut actions = Vec::new();
        if now == 2_000 {
            let mut old = request(0, 4);
            old.first_token = Millis(1_000);
            old.remaining = Millis(600_000);
            actions.extend(pool.step(Millis(now), Event::Acquire { ticket: 0, request: old }));
        }
        while pool.pressure(Millis(now)).waiting[1] < 4 {
            let mut next = request(ticket, 1);
            next.first_token = first_token;
            actions.extend(pool.step(Millis(now), Event::Acquire { ticket, request: next }));
            ticket += 1;
        }
        if 8 <= held.len() {
            let (done, grant) = held.remove(0);
            let attempt = request(done, 1).attempt;
            actions.extend(pool.step(Millis(now), release(&grant, attempt, End::Finished)));
        }
        actions.extend(pool.step(Millis(now), Event::Tick));
        held.extend(grants(&actions));
        if held.iter().any(|(ticket, _)| *ticket == 0) {
            return Some(now);
        }
    }
    None
}

/// Guards against starving low-tier requests while more urgent ones keep arriving, and against
/// starting an aged request that makes a more urgent one miss its target.
#[test]
fn starts_aged_requests_only_while_no_urgent_request_becomes_late() {
    assert!(
        start_of_aged_request(Millis(20_000)).is_some(),
        "the aged request starts beside requests with loose targets"
    );
    assert_eq!(
        start_of_aged_request(Millis(110)),
        None,
        "every waiting request is about to miss its target"
    );
}

/// Guards the contract limits in a pool: requests over the limit wait and are refused once their
/// first-token target has passed, and other organisations are not affected.
#[test]
fn enforces_the_limits_of_a_contract() {
    let mut pool = ready_pool(4, 64);
    let mut config = config(1, &["e1"]);
    let limits =
        Limits { requests_per_s: 40, tokens_per_s: 1_000_000, concurrency: 200, burst: None };
    config.contracts = vec![contract("org", limits)];
    pool.step(Millis(1_000), Event::Config(&config));
    let mut granted = 0;
    let mut asked = 0;
    for ticket in 0..60 {
        let mut next = request(ticket, 2);
        next.first_token = Millis(500);
        let actions = pool.step(Millis(1_000), Event::Acquire { ticket, request: next });
        granted += grants(&actions).len();
        asked += actions.iter().filter(|a| matches!(a, Action::RequestBudget { .. })).count();
    }
    assert_eq!(granted, 10, "one slice of 250 ms");
    assert!(0 < asked);
    let mut other: Request = request(100, 4);
    other.organisation = "other".into();
    let actions = pool.step(Millis(1_001), Event::Acquire { ticket: 100, request: other });
    assert_eq!(grants(&actions).len(), 1, "another organisation is not delayed");
    let refused = refusals(&pool.step(Millis(1_600), Event::Tick));
    assert_eq!(refused.len(), 50);
    assert!(refused.iter().all(|(_, kind)| *kind == Kind::LimitReached));
}

/// Guards against retries that amplify an overload.
#[test]
fn limits_retries_by_a_budget() {
    let mut pool = ready_pool(2, 64);
    let mut refused = 0;
    for ticket in 0..20 {
        let mut retry = request(ticket, 0);
        retry.avoid = vec!["a".into()];
        refused +=
            refusals(&pool.step(Millis(1_000), Event::Acquire { ticket, request: retry })).len();
    }
    assert_eq!(refused, 17, "3 retries are allowed without recent successes");
}

/// Returns a pool that has measured endpoint `a` to be ten times slower than `b` and `c`.
fn pool_with_slow_endpoint() -> Pool {
    let mut pool = ready_pool(3, 8);
    let mut ticket = 0;
    for now in 1_000..1_100 {
        let mut patient = request(ticket, 2);
        patient.between_tokens = Millis(1_000);
        let actions = pool.step(Millis(now), Event::Acquire { ticket, request: patient });
        let Some((_, grant)) = grants(&actions).pop() else { continue };
        let mut release = release(&grant, request(ticket, 2).attempt, End::Finished);
        if let Event::Release(release) = &mut release
            && grant.endpoint.as_str() == "a"
        {
            release.report.stream = Millis(10_000);
        }
        pool.step(Millis(now), release);
        ticket += 1;
    }
    pool
}

/// Guards against sending tier-0 or non-idempotent requests to an endpoint known to be slow, and
/// against sending such an endpoint more than one request at a time.
#[test]
fn keeps_urgent_requests_off_a_slow_endpoint() {
    let mut pool = pool_with_slow_endpoint();
    let mut places = Vec::new();
    for ticket in 1_000..1_026 {
        // The 16 slots of the other endpoints are just enough for the tier-0 and non-idempotent
        // requests.
        let is_careful = ticket < 1_016;
        let mut next = request(ticket, if is_careful && ticket % 2 == 0 { 0 } else { 3 });
        next.idempotent = !is_careful || ticket % 2 == 0;
        next.between_tokens = Millis(1_000);
        let actions = pool.step(Millis(2_200), Event::Acquire { ticket, request: next });
        places.extend(grants(&actions).into_iter().map(|(_, grant)| (is_careful, grant.endpoint)));
    }
    let on = |careful: bool| {
        places.iter().filter(|(is, name)| *is == careful && name.as_str() == "a").count()
    };
    assert_eq!(places.len(), 17);
    assert_eq!(on(true), 0);
    assert_eq!(on(false), 1);
}
