//! Tests of the endpoint choice and of prefix affinity.

use proptest::{prelude::*, test_runner::RngSeed};
use wasabi_protocol::clock::Millis;
use wasabi_routing::{
    affinity::{self, Cache, Event},
    choice::{self, Candidate, SCORE_STEP_MS},
};

fn candidate() -> impl Strategy<Value = Candidate> {
    (0_u32..9, 0_u32..9, 0_u32..4_000, 0.5_f64..20.0, 0_u32..3_000).prop_map(
        |(in_flight, bound, prefill_waiting, prefill_rate, cached)| Candidate {
            in_flight,
            bound,
            prefill_waiting,
            prefill_rate,
            cached,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(2), ..ProptestConfig::default() })]

    /// Guards against a choice that differs from the rule: the lowest predicted time in whole steps,
    /// then the fewest requests in flight, among the endpoints with room.
    #[test]
    fn choice_agrees_with_the_reference(
        candidates in prop::collection::vec(candidate(), 0..64), prompt in 0_u32..4_000,
        rotation in any::<usize>(),
    ) {
        let mut best: Option<(u64, u32)> = None;
        for one in candidates.iter().filter(|one| one.in_flight < one.bound) {
            let tokens = one.prefill_waiting + prompt.saturating_sub(one.cached);
            let rank =
                ((f64::from(tokens) / one.prefill_rate / SCORE_STEP_MS) as u64, one.in_flight);
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        let chosen = choice::choose(&candidates, prompt, rotation).map(|index| {
            let one = candidates[index];
            ((one.first_token_ms(prompt) / SCORE_STEP_MS) as u64, one.in_flight)
        });
        prop_assert_eq!(chosen, best);
    }

    /// Guards against a prefix cache that grows without bound, and against one that evicts the prompt
    /// just sent.
    #[test]
    fn cache_is_bounded_and_keeps_the_last_prompt(prompts in prop::collection::vec(0_u64..50, 1..60)) {
        let mut cache = Cache::new(100);
        for (time, prompt) in prompts.iter().enumerate() {
            let prefix = (0..20).map(|block| prompt * 1_000 + block).collect::<Vec<_>>();
            let now = Millis(time as u64);
            cache.record_sent(now, &prefix);
            prop_assert_eq!(cache.cached_blocks(now, &prefix), 20);
            prop_assert!(cache.len() <= 100);
        }
    }
}

/// Guards against sending all requests to the first of several equal endpoints.
#[test]
fn equal_endpoints_are_chosen_round_robin() {
    let one =
        Candidate { in_flight: 0, bound: 1, prefill_waiting: 0, prefill_rate: 1.0, cached: 0 };
    let chosen = (0..4).map(|rotation| choice::choose(&[one; 4], 10, rotation)).collect::<Vec<_>>();
    assert_eq!(chosen, [Some(0), Some(1), Some(2), Some(3)]);
}

/// Guards against a small traffic share that never loads any endpoint fully.
#[test]
fn choose_fullest_fills_one_endpoint_first() {
    let one = |in_flight| Candidate {
        in_flight,
        bound: 4,
        prefill_waiting: 0,
        prefill_rate: 1.0,
        cached: 0,
    };
    assert_eq!(choice::choose_fullest(&[one(0), one(3), one(4)]), Some(1));
    assert_eq!(choice::choose_fullest(&[one(4)]), None);
}

const PREFIX: [u64; 3] = [1, 2, 3];

/// Guards against a late eviction event that removes a block sent after the eviction, and against one
/// that is ignored although it must be newer than the send.
#[test]
fn sent_blocks_take_precedence_over_late_events() {
    let mut cache = Cache::default();
    cache.record_sent(Millis(0), &PREFIX);
    cache.apply_event(Millis(100), Event::Evicted(&PREFIX));
    cache.apply_event(Millis(100), Event::Cleared);
    assert_eq!(cache.cached_blocks(Millis(100), &PREFIX), 3);
    cache.apply_event(affinity::EVENT_LAG_MAX, Event::Evicted(&[3]));
    assert_eq!(cache.cached_blocks(Millis(2_000), &PREFIX), 2);
}

/// Guards against blocks known from events only that remain after a gap, which may hide their
/// eviction.
#[test]
fn a_gap_removes_blocks_known_from_events_only() {
    let mut cache = Cache::default();
    cache.apply_event(Millis(0), Event::Stored(&PREFIX));
    assert_eq!(cache.cached_blocks(Millis(0), &PREFIX), 3);
    cache.record_sent(Millis(0), &PREFIX[..1]);
    cache.apply_event(Millis(1), Event::Gap);
    assert_eq!(cache.cached_blocks(Millis(1), &PREFIX), 1);
}

/// Guards against a prompt that counts as cached although the endpoint never prefilled it, and against
/// the removal of blocks that were sent again since.
#[test]
fn an_attempt_that_did_not_run_leaves_no_blocks() {
    let mut cache = Cache::default();
    cache.record_sent(Millis(5), &PREFIX);
    cache.record_sent(Millis(9), &PREFIX[..1]);
    cache.undo_sent(Millis(5), &PREFIX);
    assert_eq!(cache.cached_blocks(Millis(9), &PREFIX), 1);
    assert_eq!(cache.cached_blocks(Millis(9) + affinity::BLOCK_TTL, &PREFIX), 0);
}
