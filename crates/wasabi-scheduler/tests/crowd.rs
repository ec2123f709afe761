//! Tests of overload: what is refused on arrival, what after a wait, and what the callers are told.

mod kit;

use kit::{acquire, announce_all, grants, ready, refusals, release, request};
use wasabi_protocol::{clock::Millis, fault::Kind, request::End};
use wasabi_scheduler::pool::{Action, Event, Pool};

/// When the pool has learned that an attempt takes a second, in milliseconds.
const LEARNED: u64 = 40_000;

/// Returns a pool of one place that has learned that an attempt takes a second, and whose place is
/// taken.
fn busy() -> Pool {
    let mut pool = ready(1, 1);
    for ticket in 0..38 {
        let now = 1_000 * (ticket + 1);
        announce_all(&mut pool, Millis(now), 1, 1);
        let granted = grants(&acquire(&mut pool, now, ticket, 2));
        let ended = release(&granted[0].1, request(ticket, 2).attempt, End::Finished);
        pool.step(Millis(now + 999), ended);
    }
    announce_all(&mut pool, Millis(LEARNED), 1, 1);
    assert_eq!(grants(&acquire(&mut pool, LEARNED, 100, 2)).len(), 1);
    pool
}

fn retry_after(actions: &[Action]) -> Option<Millis> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { fault, .. } => fault.retry_after,
        _ => None,
    })
}

/// Pattern: burst. Guards against callers that wait for a refusal until they have no time left to
/// come back: with 15 s of patience and a second for each attempt ahead, the seventeenth is
/// refused at once and told when to return.
#[test]
fn a_burst_is_refused_on_arrival_beyond_what_starts_in_time() {
    let mut pool = busy();
    let mut first = None;
    for ticket in 200..240 {
        let actions = acquire(&mut pool, LEARNED, ticket, 2);
        if let [(refused, kind)] = refusals(&actions)[..] {
            assert_eq!((refused, kind), (ticket, Kind::Overloaded));
            first = first.or(Some((ticket, retry_after(&actions))));
        }
    }
    let Some((ticket, Some(after))) = first else { panic!("the burst is refused with a time") };
    assert!((214..220).contains(&ticket), "about 15 wait, not {}", ticket - 200);
    assert!((14_000..20_000).contains(&after.0), "the queue takes about 15 s, not {} ms", after.0);
    let urgent = acquire(&mut pool, LEARNED, 300, 0);
    assert!(refusals(&urgent).is_empty(), "a tier that starts before all of them is not refused");
}

/// Pattern: burst that lasts. Guards against requests that wait until their deadline while the
/// queue does not move.
#[test]
fn a_request_that_waited_long_in_a_long_queue_is_refused() {
    let mut pool = busy();
    for ticket in 200..215 {
        acquire(&mut pool, LEARNED, ticket, 2);
    }
    let mut refused = Vec::new();
    for now in (LEARNED..LEARNED + 17_000).step_by(50) {
        announce_all(&mut pool, Millis(now), 1, 1);
        // More urgent work keeps coming.
        if now % 1_000 == 0 {
            acquire(&mut pool, now, now, 1);
        }
        refused.extend(refusals(&pool.step(Millis(now), Event::Tick)));
    }
    for ticket in 200..215 {
        assert!(refused.contains(&(ticket, Kind::Overloaded)), "{ticket} is refused");
    }
}

/// Pattern: callers that leave early. Guards against work kept for callers that are gone: a caller
/// that leaves after 3.2 s without a token is answered before that.
#[test]
fn a_caller_is_answered_before_it_leaves() {
    let mut pool = busy();
    let mut brief = request(200, 2);
    brief.leaves_after = Millis(3_200);
    pool.step(Millis(LEARNED), Event::Acquire { ticket: 200, request: brief });
    let refused = (LEARNED..LEARNED + 10_000).step_by(50).find(|now| {
        announce_all(&mut pool, Millis(*now), 1, 1);
        !refusals(&pool.step(Millis(*now), Event::Tick)).is_empty()
    });
    let Some(at) = refused else { panic!("it is refused") };
    assert!(at < LEARNED + 3_100, "refused after {} ms", at - LEARNED);
}

/// Guards against streams that are not resumed and requests that are not tried again: what an attempt
/// ran before is no time in this queue, so that a request behind nobody is not refused for it.
#[test]
fn a_request_behind_nobody_starts_however_long_ago_it_arrived() {
    let mut pool = ready(1, 1);
    let mut resumed = request(0, 2);
    resumed.waited = Millis(30_000);
    resumed.remaining = Millis(10_000);
    resumed.leaves_after = Millis(33_200);
    let actions = pool.step(Millis(LEARNED), Event::Acquire { ticket: 0, request: resumed });
    assert!(refusals(&actions).is_empty());
}

/// Guards against short deadlines that count as passed since the margin of callers that leave is
/// taken from requests whose callers stay.
#[test]
fn a_short_deadline_is_waited_for() {
    let mut pool = busy();
    let mut brief = request(200, 2);
    (brief.prompt_tokens, brief.output_tokens) = (1, 0);
    brief.remaining = Millis(150);
    pool.step(Millis(LEARNED), Event::Acquire { ticket: 200, request: brief });
    assert!(refusals(&pool.step(Millis(LEARNED + 50), Event::Tick)).is_empty());
}
