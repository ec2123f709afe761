//! Tests of overload control: refusals on arrival, refusals after a wait, and retry hints.

mod common;

use common::{acquire, announce_all, grants, ready_pool, refusals, release, request};
use wasabi_protocol::{clock::Millis, fault::Kind, request::End};
use wasabi_scheduler::pool::{Action, Event, Pool};

/// Time at which the pool has learned that an attempt takes a second.
const LEARNED_AT_MS: u64 = 40_000;

/// Returns a pool with a concurrency of one that has learned that an attempt takes a second, and
/// that is running an attempt.
fn busy_pool() -> Pool {
    let mut pool = ready_pool(1, 1);
    for ticket in 0..38 {
        let now = 1_000 * (ticket + 1);
        announce_all(&mut pool, Millis(now), 1, 1);
        let granted = grants(&acquire(&mut pool, now, ticket, 2));
        let ended = release(&granted[0].1, request(ticket, 2).attempt, End::Finished);
        pool.step(Millis(now + 999), ended);
    }
    announce_all(&mut pool, Millis(LEARNED_AT_MS), 1, 1);
    assert_eq!(grants(&acquire(&mut pool, LEARNED_AT_MS, 100, 2)).len(), 1);
    pool
}

fn retry_after(actions: &[Action]) -> Option<Millis> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { fault, .. } => fault.retry_after,
        _ => None,
    })
}

/// Guards against callers of a burst that wait for a refusal until they have no time left to retry.
/// With a maximum wait of 15 s and a second per attempt ahead, the seventeenth request is refused
/// at once with a retry time.
#[test]
fn refuses_a_burst_on_arrival_beyond_what_can_start_in_time() {
    let mut pool = busy_pool();
    let mut first = None;
    for ticket in 200..240 {
        let actions = acquire(&mut pool, LEARNED_AT_MS, ticket, 2);
        if let [(refused, kind)] = refusals(&actions)[..] {
            assert_eq!((refused, kind), (ticket, Kind::Overloaded));
            first = first.or(Some((ticket, retry_after(&actions))));
        }
    }
    let Some((ticket, Some(after))) = first else {
        panic!("no request was refused with a retry time")
    };
    assert!((214..220).contains(&ticket), "{} requests wait instead of about 15", ticket - 200);
    assert!(
        (14_000..20_000).contains(&after.0),
        "retry after {} ms instead of about 15 s",
        after.0
    );
    let urgent = acquire(&mut pool, LEARNED_AT_MS, 300, 0);
    assert!(refusals(&urgent).is_empty(), "a more urgent tier starts first and is not refused");
}

/// Guards against requests that wait until their deadline while a lasting burst of more urgent
/// requests keeps the queue from advancing.
#[test]
fn refuses_requests_that_exceed_their_maximum_wait() {
    let mut pool = busy_pool();
    for ticket in 200..215 {
        acquire(&mut pool, LEARNED_AT_MS, ticket, 2);
    }
    let mut refused = Vec::new();
    for now in (LEARNED_AT_MS..LEARNED_AT_MS + 17_000).step_by(50) {
        announce_all(&mut pool, Millis(now), 1, 1);
        // More urgent requests keep arriving.
        if now % 1_000 == 0 {
            acquire(&mut pool, now, now, 1);
        }
        refused.extend(refusals(&pool.step(Millis(now), Event::Tick)));
    }
    for ticket in 200..215 {
        assert!(refused.contains(&(ticket, Kind::Overloaded)), "{ticket} was not refused");
    }
}

/// Guards against requests that stay queued after their caller has disconnected. A caller that
/// disconnects after 3.2 s without a token is answered before that.
#[test]
fn answers_a_caller_before_it_disconnects() {
    let mut pool = busy_pool();
    let mut brief = request(200, 2);
    brief.leaves_after = Millis(3_200);
    pool.step(Millis(LEARNED_AT_MS), Event::Acquire { ticket: 200, request: brief });
    let refused = (LEARNED_AT_MS..LEARNED_AT_MS + 10_000).step_by(50).find(|now| {
        announce_all(&mut pool, Millis(*now), 1, 1);
        !refusals(&pool.step(Millis(*now), Event::Tick)).is_empty()
    });
    let Some(at) = refused else { panic!("the request was not refused") };
    assert!(at < LEARNED_AT_MS + 3_100, "refused after {} ms", at - LEARNED_AT_MS);
}

/// Guards against refusing resumed streams and retries because of the time that earlier attempts
/// ran. That time was not spent in the queue, so a request with nothing ahead of it starts.
#[test]
fn starts_an_old_request_when_the_queue_is_empty() {
    let mut pool = ready_pool(1, 1);
    let mut resumed = request(0, 2);
    resumed.waited = Millis(30_000);
    resumed.remaining = Millis(10_000);
    resumed.leaves_after = Millis(33_200);
    let actions = pool.step(Millis(LEARNED_AT_MS), Event::Acquire { ticket: 0, request: resumed });
    assert!(refusals(&actions).is_empty());
}

/// Guards against refusing requests with short deadlines because the disconnect margin is
/// subtracted although their callers do not disconnect early.
#[test]
fn queues_a_request_with_a_short_deadline() {
    let mut pool = busy_pool();
    let mut brief = request(200, 2);
    (brief.prompt_tokens, brief.output_tokens) = (1, 0);
    brief.remaining = Millis(150);
    pool.step(Millis(LEARNED_AT_MS), Event::Acquire { ticket: 200, request: brief });
    assert!(refusals(&pool.step(Millis(LEARNED_AT_MS + 50), Event::Tick)).is_empty());
}
