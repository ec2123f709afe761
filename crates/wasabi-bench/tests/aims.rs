//! Tests of the aims that a short run can show.

use wasabi_bench::{
    owner::Owner,
    policy::Fault,
    run::run,
    traffic::{User, capacity},
};

/// Guards against a change of the policy that loses tier-0 goodput or wastes prefill when a tenth
/// of the endpoints straggle at 1.5 times the capacity, and against a policy whose runs cannot be
/// repeated.
#[test]
fn keeps_the_aims_with_stragglers_and_repeats_itself() {
    let rate = 1.5 * capacity(User::Amman, 1);
    let once = || run(User::Amman, &mut Owner::new(2), rate, &[Fault::Straggle], 2);
    let score = once();
    assert!(99.0 <= score.goodput(0), "tier-0 goodput is {:.1}%", score.goodput(0));
    assert!(100 * score.wasted < 3 * score.read, "wasted {} of {}", score.wasted, score.read);
    assert_eq!(once().line(), score.line());
}
