//! Tests of the performance targets that a short run can verify.

use wasabi_bench::{
    owner::Owner,
    policy::Fault,
    run::run,
    traffic::{User, capacity},
};

/// Guards against policy changes that lower tier-0 goodput or waste prefill when a tenth of the
/// endpoints are slow at 1.5 times the capacity, and against results that differ between runs with the
/// same seed.
#[test]
fn meets_targets_with_stragglers_and_is_deterministic() {
    let rate = 1.5 * capacity(User::Amman, 1);
    let simulate = || run(User::Amman, &mut Owner::new(2), rate, &[Fault::Straggle], 2);
    let score = simulate();
    assert!(99.0 <= score.goodput(0), "tier-0 goodput is {:.1}%", score.goodput(0));
    assert!(
        100 * score.wasted_prefill_tokens < 3 * score.prefill_tokens,
        "wasted {} of {} prefill tokens",
        score.wasted_prefill_tokens,
        score.prefill_tokens
    );
    assert_eq!(simulate().line(), score.line());
}
