//! Tests of the in-flight bound of one endpoint.

use wasabi_admission::bound::Bound;
use wasabi_protocol::clock::Millis;

/// Guards against an endpoint that keeps its full load while it is slower than its class, against a
/// slow batch that lowers the bound once for each of its requests, and against a bound that never
/// recovers or exceeds the announced concurrency.
#[test]
fn decreases_once_for_a_slow_batch_and_recovers_to_the_announced_concurrency() {
    let mut bound = Bound::new(16);
    for _ in 0..16 {
        bound.observe(Millis(1_000), 3.0);
    }
    let after_batch = bound.limit();
    assert!((10..16).contains(&after_batch), "more than one decrease for one batch: {after_batch}");
    for second in 2..60 {
        bound.observe(Millis(second * 2_000), 3.0);
    }
    assert_eq!(bound.limit(), 1, "an endpoint that stays slow keeps one request");
    for _ in 0..1_000 {
        bound.observe(Millis(200_000), 1.0);
    }
    assert_eq!(bound.limit(), 16);
    bound.observe(Millis(300_000), 3.0);
    assert!(bound.limit() < 16, "good samples build up no credit");
    bound.set_announced(8);
    assert!(bound.limit() <= 8);
}
