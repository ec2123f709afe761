//! Simulations of the error bounds of the sequential test over many seeds.

use fastrand::Rng;
use wasabi_rollout::sequential::{Bounds, Rates, Test, Verdict};

const BOUNDS: Bounds = Bounds { false_alarm: 0.01, miss: 0.01 };
const RATES: Rates = Rates { good: 0.002, bad: 0.02 };

/// Adds up to `requests` requests one by one. Returns after how many the test rejects.
fn rejected_after(test: &mut Test, rng: &mut Rng, requests: u32, rate: f64) -> Option<u32> {
    (1..=requests).find(|_| {
        let failed = u64::from(rng.f64() < rate);
        test.add(1, failed, RATES) == Verdict::Rejected
    })
}

/// Guards against a false-alarm bound that does not hold over repeated looks: the true rate is the
/// highest good rate, over 100 rounds and with a look after each request.
#[test]
fn false_alarms_stay_within_their_bound() {
    let alarms = (0..2_000)
        .filter(|seed| {
            let mut test = Test::new(BOUNDS);
            rejected_after(&mut test, &mut Rng::with_seed(*seed), 20_000, RATES.good).is_some()
        })
        .count();
    // At 1% of 2,000 runs, 35 is more than three standard deviations above the mean of 20.
    assert!(alarms <= 35, "{alarms} false alarms in 2,000 runs");
}

/// Guards against a bad version that is accepted more often than the miss bound allows.
#[test]
fn misses_stay_within_their_bound() {
    let misses = (0..2_000)
        .filter(|seed| {
            let (mut test, mut rng) = (Test::new(BOUNDS), Rng::with_seed(*seed));
            let first = (0..100_000)
                .map(|_| test.add(1, u64::from(rng.f64() < RATES.bad), RATES))
                .find(|verdict| *verdict != Verdict::Undecided);
            first != Some(Verdict::Rejected)
        })
        .count();
    assert!(misses <= 35, "{misses} misses in 2,000 runs");
}

/// Guards against a late fault that is detected too late because of many good requests before it.
#[test]
fn a_late_fault_is_detected_as_fast_as_an_early_one() {
    let mut after = (0..400)
        .map(|seed| {
            let (mut test, mut rng) = (Test::new(BOUNDS), Rng::with_seed(seed));
            test.add(50_000, 0, RATES);
            rejected_after(&mut test, &mut rng, 50_000, RATES.bad).unwrap_or(u32::MAX)
        })
        .collect::<Vec<_>>();
    after.sort_unstable();
    assert!(after[380] < 1_500, "the 95th percentile is {} requests", after[380]);
}

/// Guards against a rejection while events occur at the good rate, and against no rejection at the
/// bad rate.
#[test]
fn event_rates_keep_the_same_bounds() {
    let rates = Rates { good: 1.0 / 2_000.0, bad: 1.0 / 200.0 };
    let rejected = |seed, rate: f64| {
        let (mut test, mut rng) = (Test::new(BOUNDS), Rng::with_seed(seed));
        (0..20_000).any(|_| {
            let events = u64::from(rng.f64() < rate);
            test.add_events(events, 1.0, rates) == Verdict::Rejected
        })
    };
    let alarms = (0..1_000).filter(|seed| rejected(*seed, rates.good)).count();
    let detected = (0..200).filter(|seed| rejected(*seed, rates.bad)).count();
    assert!(alarms <= 20, "{alarms} false alarms in 1,000 runs");
    assert_eq!(detected, 200);
}
