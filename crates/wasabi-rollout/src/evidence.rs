//! What versions show on each route: errors, and time corrected for prompt and output length.

use std::collections::BTreeMap;

use wasabi_protocol::{
    clock::Millis,
    fingerprint::Body,
    id,
    request::{End, Report},
};

use crate::{credit::Side, latency::LatencyModel};

/// Time within which lost connections to one endpoint count as one loss.
///
/// A dead endpoint or link breaks all its requests; they say no more than one of them. Streams on
/// a silent link end one after the other, each by its own progress bound.
pub const LOSS_MERGE_WINDOW: Millis = Millis::from_secs(10);

/// Time in which the requests of a crash are run alone and one of them may prove to be its cause.
pub const CRASH_CAUSE_WAIT: Millis = Millis::from_secs(30);

/// Time after its last ended request for which an endpoint counts as serving.
///
/// At a start share of 1% a replica may get its groups minutes apart.
pub const SERVING_WINDOW: Millis = Millis::from_secs(300);

/// Load from which on requests are counted as under high load too, as a part of the concurrency.
pub const HIGH_LOAD: f64 = 0.75;

/// Most unsettled losses that are held at one time.
const LOSSES_MAX: usize = 64;

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
    /// Requests in flight on the endpoint at dispatch, as a part of its concurrency.
    pub load: f64,
    /// Prompt tokens of other requests that the endpoint still had to read at dispatch.
    pub queued_prompt_tokens: u32,
    /// What the attempt showed.
    pub report: &'a Report,
}

/// Counts of one version on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Count {
    /// Requests that ended, without abandoned ones that were not slow.
    pub requests: u64,
    /// Requests that failed by the endpoint's fault.
    pub errors: u64,
    /// Requests slower than the old version's pace for their length allows.
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
    /// The part of the old version's that met a load of [`HIGH_LOAD`] or more.
    pub old_high_load: Count,
    /// The part of the new version's that met such a load.
    pub new_high_load: Count,
}

/// The evidence of one move in one pool.
#[derive(Debug, Clone, Default)]
pub struct Collector {
    counts: BTreeMap<id::Route, Counts>,
    pace: LatencyModel,
    served: BTreeMap<id::Endpoint, (Side, Millis)>,
    losses: Vec<Loss>,
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
    /// Returns a book that knows the old version's pace from before the move.
    pub fn new(pace: LatencyModel) -> Self {
        Self { pace, ..Self::default() }
    }

    /// Takes an ended request into account, of whose prompt the endpoint had `cached` tokens in its
    /// prefix cache, by the owner's own knowledge.
    ///
    /// The new version's caches are colder than the old one's; without the correction a good
    /// version would look slow.
    pub fn observe(&mut self, now: Millis, seen: Observation<'_>, cached: u32) {
        self.served.insert(seen.endpoint.clone(), (seen.side, now));
        match seen.report.end {
            End::Abandoned => {
                // A caller that leaves says nothing of the endpoint, but what came until then may
                // already be too slow. A slow version would otherwise hide its longest answers.
                if self.pace.is_slow(now, &seen, cached) {
                    self.count(&seen, Count { requests: 1, errors: 0, slow: 1 });
                }
            }
            End::Finished => {
                let slow = self.pace.is_slow(now, &seen, cached);
                if seen.side == Side::Old {
                    self.pace.learn(now, &seen, cached);
                }
                self.count(&seen, Count { requests: 1, errors: 0, slow: u64::from(slow) });
            }
            End::Failed => self.count(&seen, Count { requests: 1, errors: 1, slow: 0 }),
            End::Unreachable | End::Broken | End::Silent => self.lost(now, &seen),
        }
    }

    /// Returns how many losses of the old and the new version are settled since the last call.
    /// Call it at least once a second.
    ///
    /// `is_quarantined` tells whether a request is known to crash endpoints. A loss with such a
    /// request does not count. Two losses without a common request cannot have a request as their
    /// cause and count at once. The others count when [`CRASH_CAUSE_WAIT`] has passed.
    pub fn settle_losses(
        &mut self,
        now: Millis,
        is_quarantined: impl Fn(Body) -> bool,
    ) -> [u64; 2] {
        self.losses.retain(|loss| !loss.requests.iter().any(|request| is_quarantined(*request)));
        let is_settled = |loss: &Loss| {
            CRASH_CAUSE_WAIT <= now.since(loss.first)
                || self
                    .losses
                    .iter()
                    .any(|other| other.side == loss.side && !loss.shares_request(other))
        };
        let settled = self.losses.iter().map(is_settled).collect::<Vec<_>>();
        let mut counts = std::mem::take(&mut self.overflow);
        let mut settled = settled.into_iter();
        self.losses.retain(|loss| {
            let is_settled = settled.next().unwrap_or(false);
            counts[loss.side as usize] += u64::from(is_settled);
            !is_settled
        });
        counts
    }

    /// Returns how many endpoints of the old and the new version served of late.
    pub fn serving_endpoints(&mut self, now: Millis) -> [usize; 2] {
        self.served.retain(|_, (_, last)| now.since(*last) < SERVING_WINDOW);
        let new = self.served.values().filter(|(side, _)| *side == Side::New).count();
        [self.served.len() - new, new]
    }

    /// Returns the counts of requests since the last call.
    pub fn take_counts(&mut self) -> BTreeMap<id::Route, Counts> {
        std::mem::take(&mut self.counts)
    }

    fn count(&mut self, seen: &Observation<'_>, count: Count) {
        let counts = self.counts.entry(seen.route.clone()).or_default();
        let (all, high_load) = match seen.side {
            Side::Old => (&mut counts.old, &mut counts.old_high_load),
            Side::New => (&mut counts.new, &mut counts.new_high_load),
        };
        all.add(count);
        if HIGH_LOAD <= seen.load {
            high_load.add(count);
        }
    }

    fn lost(&mut self, now: Millis, seen: &Observation<'_>) {
        let same = self.losses.iter_mut().find(|loss| {
            loss.endpoint == *seen.endpoint && now.since(loss.first) < LOSS_MERGE_WINDOW
        });
        if let Some(loss) = same {
            loss.requests.push(seen.fingerprint);
            return;
        }
        if LOSSES_MAX <= self.losses.len() {
            let oldest = self.losses.remove(0);
            self.overflow[oldest.side as usize] += 1;
        }
        self.losses.push(Loss {
            endpoint: seen.endpoint.clone(),
            side: seen.side,
            first: now,
            requests: vec![seen.fingerprint],
        });
    }
}

impl Loss {
    fn shares_request(&self, other: &Self) -> bool {
        self.requests.iter().any(|request| other.requests.contains(request))
    }
}
