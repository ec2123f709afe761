//! What versions show on each route: errors, and time corrected for prompt and output length.

use std::collections::BTreeMap;

use wasabi_protocol::{
    clock::Millis,
    fingerprint::Body,
    id,
    request::{End, Report},
};

use crate::credit::Side;

/// Time relative to the old version's, from which on a request counts as slow.
pub const SLOW_RATIO: f64 = 1.5;

/// Samples of the old version that a length class needs before it serves as a reference.
const REFERENCE_SAMPLES_MIN: u32 = 8;

/// Samples after which a reference follows new samples as a moving average.
const REFERENCE_SAMPLES_MAX: f64 = 200.0;

/// Output tokens below which a stream shows no time per token.
const STREAM_TOKENS_MIN: u32 = 8;

/// Classes of prompt length: powers of two.
const PROMPT_CLASSES: usize = 20;

/// Classes of load: quarters of the concurrency.
const LOAD_CLASSES: usize = 4;

/// Time within which lost connections to one endpoint count as one loss.
///
/// A dead endpoint or link breaks all its requests; they say no more than one of them. Streams on
/// a silent link end one after the other, each by its own progress bound.
pub const SAME_LOSS_WITHIN: Millis = Millis::from_secs(10);

/// Time in which the requests of a crash are run alone and one of them may prove to be its cause.
pub const EXPLAINED_WITHIN: Millis = Millis::from_secs(30);

/// Time after its last ended request for which an endpoint counts as serving.
///
/// At a start share of 1% a replica may get its groups minutes apart.
pub const SERVES_FOR: Millis = Millis::from_secs(300);

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
    /// What the attempt showed.
    pub report: &'a Report,
}

/// Counts of one version on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Count {
    /// Requests that ended, without abandoned ones.
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
pub struct Book {
    counts: BTreeMap<id::Route, Counts>,
    references: BTreeMap<String, Reference>,
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

impl Book {
    /// Takes an ended request into account, of whose prompt the endpoint had `cached` tokens in its
    /// prefix cache, by the owner's own knowledge.
    ///
    /// The new version's caches are colder than the old one's; without the correction a good
    /// version would look slow.
    pub fn observe(&mut self, now: Millis, seen: Observation<'_>, cached: u32) {
        self.served.insert(seen.endpoint.clone(), (seen.side, now));
        match seen.report.end {
            End::Abandoned => {}
            End::Finished => {
                let slow = self.is_slow(&seen, cached);
                if seen.side == Side::Old {
                    self.learn(&seen, cached);
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
    /// cause and count at once. The others count when [`EXPLAINED_WITHIN`] has passed.
    pub fn settle(&mut self, now: Millis, is_quarantined: impl Fn(Body) -> bool) -> [u64; 2] {
        self.losses.retain(|loss| !loss.requests.iter().any(|request| is_quarantined(*request)));
        let is_settled = |loss: &Loss| {
            EXPLAINED_WITHIN <= now.since(loss.first)
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
    pub fn serving(&mut self, now: Millis) -> [usize; 2] {
        self.served.retain(|_, (_, last)| now.since(*last) < SERVES_FOR);
        let new = self.served.values().filter(|(side, _)| *side == Side::New).count();
        [self.served.len() - new, new]
    }

    /// Returns the counts of requests since the last call.
    pub fn take(&mut self) -> BTreeMap<id::Route, Counts> {
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
            loss.endpoint == *seen.endpoint && now.since(loss.first) < SAME_LOSS_WITHIN
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

    fn learn(&mut self, seen: &Observation<'_>, cached: u32) {
        if !self.references.contains_key(seen.hardware) {
            self.references.insert(seen.hardware.to_owned(), Reference::default());
        }
        if let Some(reference) = self.references.get_mut(seen.hardware) {
            reference.learn(seen, cached);
        }
    }

    fn is_slow(&self, seen: &Observation<'_>, cached: u32) -> bool {
        self.references
            .get(seen.hardware)
            .and_then(|reference| reference.ratio(seen, cached))
            .is_some_and(|ratio| SLOW_RATIO < ratio)
    }
}

impl Loss {
    fn shares_request(&self, other: &Self) -> bool {
        self.requests.iter().any(|request| other.requests.contains(request))
    }
}

/// The old version's pace on one hardware generation, by prompt tokens to read and by load.
#[derive(Debug, Clone, Default)]
struct Reference {
    cells: [[Cell; LOAD_CLASSES]; PROMPT_CLASSES],
    /// Time per token over all prompt lengths, for cells that have too few samples, as those of
    /// high load do.
    per_token: [Mean; LOAD_CLASSES],
}

#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    first_token: Mean,
    per_token: Mean,
}

#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    samples: u32,
    value: f64,
}

impl Reference {
    fn learn(&mut self, seen: &Observation<'_>, cached: u32) {
        let report = seen.report;
        let cell = &mut self.cells[prompt_class(report, cached)][load_class(seen.load)];
        if let Some(first) = report.first_token {
            cell.first_token.add(first.0 as f64);
        }
        if let Some(per_token) = per_token(report) {
            cell.per_token.add(per_token);
            self.per_token[load_class(seen.load)].add(per_token);
        }
    }

    /// Returns the request's time relative to the reference for its length and load, or `None`
    /// when the old version did not show enough of them.
    fn ratio(&self, seen: &Observation<'_>, cached: u32) -> Option<f64> {
        let report = seen.report;
        let cell = &self.cells[prompt_class(report, cached)][load_class(seen.load)];
        let first = cell
            .first_token
            .known()
            .and_then(|expected| Some((report.first_token?.0 as f64, expected)));
        let any_length = || self.per_token[load_class(seen.load)].known();
        let stream = cell.per_token.known().or_else(any_length).and_then(|expected| {
            let tokens = f64::from(report.output_tokens);
            Some((per_token(report)? * tokens, expected * tokens))
        });
        let (actual, expected) = match (first, stream) {
            (Some(first), Some(stream)) => (first.0 + stream.0, first.1 + stream.1),
            (Some(part), None) | (None, Some(part)) => part,
            (None, None) => return None,
        };
        Some(actual / expected.max(1.0))
    }
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        self.value += (value - self.value) / f64::from(self.samples).min(REFERENCE_SAMPLES_MAX);
    }

    fn known(&self) -> Option<f64> {
        (REFERENCE_SAMPLES_MIN <= self.samples).then_some(self.value)
    }
}

fn per_token(report: &Report) -> Option<f64> {
    (STREAM_TOKENS_MIN <= report.output_tokens)
        .then(|| report.stream.0 as f64 / f64::from(report.output_tokens - 1))
}

fn prompt_class(report: &Report, cached: u32) -> usize {
    let read = report.prompt_tokens.saturating_sub(cached);
    let class = u32::BITS - read.leading_zeros();
    (class as usize).min(PROMPT_CLASSES - 1)
}

fn load_class(load: f64) -> usize {
    ((load.max(0.0) * LOAD_CLASSES as f64) as usize).min(LOAD_CLASSES - 1)
}
