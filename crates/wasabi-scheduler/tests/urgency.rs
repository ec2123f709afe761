//! Tests of what urgent and aged work may do to other work.

mod kit;

use kit::{announce_all, config, contract, grants, ready, refusals, release, request};
use rstest::rstest;
use wasabi_protocol::{
    clock::Millis,
    contract::Limits,
    fault::Kind,
    request::{End, Request},
    rpc::Grant,
};
use wasabi_scheduler::pool::{Action, Event, Pool};

fn preempted(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Preempt { .. })).count()
}

fn urgent(ticket: u64) -> Event<'static> {
    let mut request = request(ticket, 0);
    request.first_token = Millis(100);
    Event::Acquire { ticket, request }
}

/// Guards the preemption rule: a repeatable request of a lower tier without a first token gives
/// way to tier 0, one that must not run twice, has started to answer, or is of tier 0 does not.
#[rstest]
#[case::repeatable(2, true, 1_000, 1)]
#[case::runs_once(2, false, 1_000, 0)]
#[case::has_answered(2, true, 60_000, 0)]
#[case::as_urgent(0, true, 1_000, 0)]
fn preempts_only_what_may_be_repeated(
    #[case] tier: u8,
    #[case] idempotent: bool,
    #[case] at: u64,
    #[case] expected: usize,
) {
    let mut pool = ready(1, 1);
    let mut long = request(0, tier);
    long.idempotent = idempotent;
    long.prompt_tokens = 20_000;
    long.remaining = Millis(500_000);
    pool.step(Millis(1_000), Event::Acquire { ticket: 0, request: long });
    announce_all(&mut pool, Millis(at), 1, 1);
    let mut actions = pool.step(Millis(at), urgent(1));
    for now in 1..4 {
        actions.extend(pool.step(Millis(at + now * 50), Event::Tick));
    }
    assert_eq!(preempted(&actions), expected);
}

/// Guards against cancelling more work than the urgent requests that wait.
#[test]
fn preempts_one_attempt_for_one_urgent_request() {
    let mut pool = ready(4, 1);
    for ticket in 0..4 {
        let mut long = request(ticket, 2);
        long.prompt_tokens = 20_000;
        pool.step(Millis(1_000), Event::Acquire { ticket, request: long });
    }
    let mut actions = pool.step(Millis(1_001), urgent(9));
    for now in 0..10 {
        actions.extend(pool.step(Millis(1_010 + now), Event::Tick));
    }
    assert_eq!(preempted(&actions), 1);
}

/// Keeps a pool of two endpoints saturated with tier 1 for a minute; returns when the tier-4
/// request that came first started.
fn saturate(first_token: Millis) -> Option<u64> {
    let mut pool = ready(2, 4);
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

/// Guards against long work of a low tier that never starts while more urgent work keeps coming,
/// and against aged work that starts although it makes a more urgent request late.
#[test]
fn starts_aged_work_only_while_no_urgent_request_becomes_late() {
    assert!(saturate(Millis(20_000)).is_some(), "aged work starts beside patient requests");
    assert_eq!(saturate(Millis(110)), None, "each waiting request is about to become late");
}

/// Guards the contract limit in the pool: what is over the limit waits, is not granted, and is
/// refused as over the limit once its first-token target has passed; others go on.
#[test]
fn holds_an_organisation_to_its_contract() {
    let mut pool = ready(4, 64);
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
    assert_eq!(grants(&actions).len(), 1, "another organisation is not held up");
    let refused = refusals(&pool.step(Millis(1_600), Event::Tick));
    assert_eq!(refused.len(), 50);
    assert!(refused.iter().all(|(_, kind)| *kind == Kind::LimitReached));
}

/// Guards against retries that amplify an overload.
#[test]
fn charges_retries_to_a_budget() {
    let mut pool = ready(2, 64);
    let mut refused = 0;
    for ticket in 0..20 {
        let mut retry = request(ticket, 0);
        retry.avoid = vec!["a".into()];
        refused +=
            refusals(&pool.step(Millis(1_000), Event::Acquire { ticket, request: retry })).len();
    }
    assert_eq!(refused, 17, "3 retries are allowed without recent successes");
}

/// Returns a pool of which endpoint `a` was shown to be ten times slower than `b` and `c`.
fn straggling() -> Pool {
    let mut pool = ready(3, 8);
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

/// Guards against tier 0 and calls that run once meeting a known straggler, and against a
/// straggler that gets more than one request at a time.
#[test]
fn keeps_urgent_work_off_a_straggler() {
    let mut pool = straggling();
    let mut places = Vec::new();
    for ticket in 1_000..1_026 {
        // The 16 places of the other endpoints are just enough for the careful requests.
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
