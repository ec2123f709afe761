//! The simulated fleets and the faults of versions.

use wasabi_protocol::clock::Millis;
use wasabi_rollout::credit::Side;

/// Time from the order to `finish_by`, and the watch period after it.
pub(crate) const MOVE: Millis = Millis::from_secs(30 * 60);
pub(crate) const WATCH: Millis = Millis::from_secs(15 * 60);
/// Time after which a late fault starts.
pub(crate) const LATE_FAULT_START: Millis = Millis::from_secs(20 * 60);
/// Load from which a fault under load occurs.
pub(crate) const HIGH_LOAD: f64 = 0.8;

pub(crate) struct Fleet {
    pub(crate) name: &'static str,
    pub(crate) replicas: usize,
    pub(crate) concurrency: usize,
    pub(crate) per_s: f64,
    /// Name, tier, fraction of the traffic, shortest prompt and shortest output in tokens. Prompts
    /// and outputs vary up to 100 times the shortest length.
    pub(crate) routes: &'static [(&'static str, u8, f64, f64, f64)],
}

pub(crate) const KOZANI: Fleet = Fleet {
    name: "Kozani",
    replicas: 20,
    concurrency: 16,
    per_s: 45.0,
    routes: &[
        ("hospital-query", 0, 0.20, 30.0, 5.0),
        ("stock", 1, 0.30, 20.0, 5.0),
        ("order-draft", 2, 0.25, 40.0, 10.0),
        ("ticket-summary", 3, 0.20, 100.0, 10.0),
        ("archive", 4, 0.049, 100.0, 15.0),
        ("audit", 4, 0.001, 100.0, 10.0),
    ],
};

pub(crate) const AMMAN: Fleet = Fleet {
    name: "Amman",
    replicas: 12,
    concurrency: 12,
    per_s: 14.0,
    routes: &[
        ("clinic-quote", 0, 0.30, 30.0, 5.0),
        ("part-question", 1, 0.30, 30.0, 8.0),
        ("status-check", 2, 0.20, 10.0, 5.0),
        ("history-summary", 3, 0.195, 200.0, 15.0),
        ("audit", 4, 0.005, 100.0, 10.0),
    ],
};

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Both versions fail on 1% of the requests.
    BothFail,
    /// Both versions fail on 30% of the requests for half a minute.
    Outage,
    /// A request that crashes every endpoint is sent repeatedly.
    Poison,
    /// Each endpoint dies once in two hours on average.
    Deaths,
    /// The old version's endpoints have most prompts in their caches, the new one's none.
    ColdCache,
    FailsAll,
    Fails2Percent,
    FailsOneRoute2Percent,
    FailsOneRoute,
    FailsRareRoute,
    FailsTopTier,
    FailsLater,
    FailsUnderLoad,
    Crashes,
    Slow,
    SlowOneRoute,
    SlowUnderLoad,
}

pub(crate) const GOOD: [Fault; 6] =
    [Fault::None, Fault::BothFail, Fault::Outage, Fault::Poison, Fault::Deaths, Fault::ColdCache];
pub(crate) const BAD: [Fault; 12] = [
    Fault::FailsAll,
    Fault::Fails2Percent,
    Fault::FailsOneRoute2Percent,
    Fault::FailsOneRoute,
    Fault::FailsRareRoute,
    Fault::FailsTopTier,
    Fault::FailsLater,
    Fault::FailsUnderLoad,
    Fault::Crashes,
    Fault::Slow,
    Fault::SlowOneRoute,
    Fault::SlowUnderLoad,
];

impl Fault {
    /// Returns the failure probability and the slowdown factor of one request.
    pub(crate) fn effect(
        self,
        side: Side,
        route: usize,
        routes: usize,
        load: f64,
        at: Millis,
    ) -> (f64, f64) {
        let is_high_load = HIGH_LOAD <= load;
        match (self, side) {
            (Self::BothFail, _) => (0.01, 1.0),
            (Self::Outage, _) if (600_000..630_000).contains(&at.0) => (0.3, 1.0),
            (_, Side::Old) => (0.0, 1.0),
            (Self::FailsAll, _) => (1.0, 1.0),
            (Self::Fails2Percent, _) => (0.02, 1.0),
            (Self::FailsOneRoute2Percent, _) if route == 2 => (0.02, 1.0),
            (Self::FailsOneRoute, _) if route == 2 => (1.0, 1.0),
            (Self::FailsRareRoute, _) if route == routes - 1 => (1.0, 1.0),
            (Self::FailsTopTier, _) if route == 0 => (0.02, 1.0),
            (Self::FailsLater, _) if LATE_FAULT_START <= at => (0.2, 1.0),
            (Self::FailsUnderLoad, _) if is_high_load => (0.2, 1.0),
            (Self::Slow, _) => (0.0, 2.0),
            (Self::SlowOneRoute, _) if route == 2 => (0.0, 2.0),
            (Self::SlowUnderLoad, _) if is_high_load => (0.0, 2.0),
            _ => (0.0, 1.0),
        }
    }
}
