//! Evidence on both versions per route: errors, and slowness corrected for prompt and output
//! length.

use std::collections::BTreeMap;

use wasabi_protocol::{
    clock::Millis,
    fingerprint::Body,
    id,
    request::{End, Report},
};

use crate::{credit::Side, latency::LatencyModel};

/// Time within which broken requests on one endpoint count as one loss.
///
/// A dead endpoint or link breaks all its requests, which are no more evidence than one of them.
/// Streams on a silent link end one after the other, each by its own progress timeout.
pub const LOSS_MERGE_WINDOW: Millis = Millis::from_secs(10);

/// Time for which a crash may still turn out to be caused by one of its requests, which are run
/// alone in that time.
pub const CRASH_CAUSE_WAIT: Millis = Millis::from_secs(30);

/// Time after its last ended request for which an endpoint counts as serving.
///
/// At a start share of 1%, the groups of a replica may be minutes apart.
pub const SERVING_WINDOW: Millis = Millis::from_secs(300);

/// Load from which requests are also counted as under high load, as a fraction of the concurrency.
pub const HIGH_LOAD: f64 = 0.75;

/// Most losses that may wait for their cause. Beyond it the oldest one counts at once.
const UNSETTLED_LOSSES_MAX: usize = 64;

/// How one request ended on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation<'a> {
    /// The route.
    pub route: &'a id::Route,
    /// The version.
    pub side: Side,
    /// The endpoint.
    pub endpoint: &'a id::Endpoint,
    /// The endpoint's hardware generation.
    pub hardware: &'a str,
    /// The request's fingerprint.
    pub fingerprint: Body,
    /// Requests in flight on the endpoint at dispatch, as a fraction of its concurrency.
    pub load: f64,
    /// Prompt tokens of other requests that the endpoint still had to process at dispatch.
    pub queued_prompt_tokens: u32,
    /// Report of the attempt.
    pub report: &'a Report,
}

/// Counts of one version on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Count {
    /// Ended requests, except abandoned ones that were not slow.
    pub requests: u64,
    /// Requests that failed through the endpoint's fault.
    pub errors: u64,
    /// Requests slower than the old version's latency for their length allows.
    pub slow: u64,
}

impl Count {
    /// Adds the counts of `other`.
    pub const fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.errors += other.errors;
        self.slow += other.slow;
    }
}

/// Counts of both versions on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// The old version.
    pub old: Count,
    /// The new version.
    pub new: Count,
    /// The old version's requests at a load of at least [`HIGH_LOAD`].
    pub old_high_load: Count,
    /// The new version's requests at such a load.
    pub new_high_load: Count,
}

/// Collects the evidence on one move in one pool.
#[derive(Debug, Clone, Default)]
pub struct Collector {
    counts: BTreeMap<id::Route, Counts>,
    latency: LatencyModel,
    /// Version of each endpoint and the time of its last ended request.
    last_served: BTreeMap<id::Endpoint, (Side, Millis)>,
    unsettled: Vec<Loss>,
    /// Losses of the old and the new version that exceeded [`UNSETTLED_LOSSES_MAX`].
    overflow: [u64; 2],
}

/// Requests of one endpoint that ended without an answer at about the same time.
#[derive(Debug, Clone)]
struct Loss {
    endpoint: id::Endpoint,
    side: Side,
    first: Millis,
    requests: Vec<Body>,
}

impl Collector {
    /// Returns a collector with the old version's latency from before the move.
    pub fn new(latency: LatencyModel) -> Self {
        Self { latency, ..Self::default() }
    }

    /// Adds an ended request. `cached` is the owner's estimate of how many of its prompt tokens
    /// were in the endpoint's prefix cache.
    ///
    /// The new version's caches are colder than the old one's; without the correction a good
    /// version would look slow.
    pub fn observe(&mut self, now: Millis, observation: Observation<'_>, cached: u32) {
        self.last_served.insert(observation.endpoint.clone(), (observation.side, now));
        match observation.report.end {
            End::Abandoned => {
                // An abandoned request is not the endpoint's fault, but may have been too slow by
                // then. Otherwise the longest answers of a slow version would not count.
                if self.latency.is_slow(now, &observation, cached) {
                    self.count(&observation, Count { requests: 1, errors: 0, slow: 1 });
                }
            }
            End::Finished => {
                let slow = self.latency.is_slow(now, &observation, cached);
                if observation.side == Side::Old {
                    self.latency.learn(now, &observation, cached);
                }
                self.count(&observation, Count { requests: 1, errors: 0, slow: u64::from(slow) });
            }
            End::Failed => self.count(&observation, Count { requests: 1, errors: 1, slow: 0 }),
            End::Unreachable | End::Broken | End::Silent => self.add_loss(now, &observation),
        }
    }

    /// Returns how many losses of the old and the new version were settled since the last call.
    /// Call it at least once a second.
    ///
    /// `is_quarantined` tells whether a request is known to crash endpoints. A loss with such a
    /// request does not count. Two losses without a common request cannot have a request as their
    /// cause and count at once. The others count after [`CRASH_CAUSE_WAIT`].
    pub fn settle_losses(
        &mut self,
        now: Millis,
        is_quarantined: impl Fn(Body) -> bool,
    ) -> [u64; 2] {
        self.unsettled.retain(|loss| !loss.requests.iter().any(|request| is_quarantined(*request)));
        let is_settled = |loss: &Loss| {
            CRASH_CAUSE_WAIT <= now.since(loss.first)
                || self
                    .unsettled
                    .iter()
                    .any(|other| other.side == loss.side && !loss.shares_request(other))
        };
        let settled = self.unsettled.iter().map(is_settled).collect::<Vec<_>>();
        let mut counts = std::mem::take(&mut self.overflow);
        let mut settled = settled.into_iter();
        self.unsettled.retain(|loss| {
            let is_settled = settled.next().unwrap_or(false);
            counts[loss.side as usize] += u64::from(is_settled);
            !is_settled
        });
        counts
    }

    /// Returns how many endpoints of the old and the new version served requests within
    /// [`SERVING_WINDOW`].
    pub fn serving_endpoints(&mut self, now: Millis) -> [usize; 2] {
        self.last_served.retain(|_, (_, last)| now.since(*last) < SERVING_WINDOW);
        let new = self.last_served.values().filter(|(side, _)| *side == Side::New).count();
        [self.last_served.len() - new, new]
    }

    /// Returns the counts of requests since the last call.
    pub fn take_counts(&mut self) -> BTreeMap<id::Route, Counts> {
        std::mem::take(&mut self.counts)
    }

    fn count(&mut self, observation: &Observation<'_>, count: Count) {
        let counts = self.counts.entry(observation.route.clone()).or_default();
        let (all, high_load) = match observation.side {
            Side::Old => (&mut counts.old, &mut counts.old_high_load),
            Side::New => (&mut counts.new, &mut counts.new_high_load),
        };
        all.add(count);
        if HIGH_LOAD <= observation.load {
            high_load.add(count);
        }
    }

    fn add_loss(&mut self, now: Millis, observation: &Observation<'_>) {
        let same = self.unsettled.iter_mut().find(|loss| {
            loss.endpoint == *observation.endpoint && now.since(loss.first) < LOSS_MERGE_WINDOW
        });
        if let Some(loss) = same {
            loss.requests.push(observation.fingerprint);
            return;
        }
        if UNSETTLED_LOSSES_MAX <= self.unsettled.len() {
            let oldest = self.unsettled.remove(0);
            self.overflow[oldest.side as usize] += 1;
        }
        self.unsettled.push(Loss {
            endpoint: observation.endpoint.clone(),
            side: observation.side,
            first: now,
            requests: vec![observation.fingerprint],
        });
    }
}

impl Loss {
    fn shares_request(&self, other: &Self) -> bool {
        self.requests.iter().any(|request| other.requests.contains(request))
    }
}
