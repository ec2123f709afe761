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

/// Time within which lost connections to one endpoint count as one event.
///
/// A dead endpoint or link breaks all its requests; they say no more than one of them.
pub const SAME_EVENT_WITHIN: Millis = Millis(2_000);

/// Time in which the requests of a crash are run alone and one of them may prove to be its cause.
pub const EXPLAINED_WITHIN: Millis = Millis::from_secs(30);

/// Most unexplained events that are held at one time.
const EVENTS_MAX: usize = 64;

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

/// The evidence of one move in one pool.
#[derive(Debug, Clone, Default)]
pub struct Book {
    counts: BTreeMap<id::Route, [Count; 2]>,
    references: BTreeMap<String, Reference>,
    events: Vec<Event>,
}

/// Requests of one endpoint that ended without an answer at about the same time.
#[derive(Debug, Clone)]
struct Event {
    endpoint: id::Endpoint,
    side: Side,
    first: Millis,
    requests: Vec<(id::Route, Body)>,
}

impl Book {
    /// Takes an ended request into account.
    pub fn observe(&mut self, now: Millis, seen: Observation<'_>) {
        match seen.report.end {
            End::Abandoned => {}
            End::Finished => {
                let slow = self.is_slow(&seen);
                if seen.side == Side::Old {
                    self.learn(&seen);
                }
                self.count(
                    seen.route,
                    seen.side,
                    Count { requests: 1, errors: 0, slow: u64::from(slow) },
                );
            }
            End::Failed => {
                self.count(seen.route, seen.side, Count { requests: 1, errors: 1, slow: 0 });
            }
            End::Unreachable | End::Broken | End::Silent => self.lost(now, &seen),
        }
    }

    /// Counts the lost connections whose cause is settled. Call it at least once a second.
    ///
    /// `is_quarantined` tells whether a request is known to crash endpoints. An event with such a
    /// request does not count. Two events without a common request cannot have a request as their
    /// cause and count at once. The others count when [`EXPLAINED_WITHIN`] has passed. An event
    /// counts as one error on each of its routes.
    pub fn settle(&mut self, now: Millis, is_quarantined: impl Fn(Body) -> bool) {
        self.events.retain(|event| {
            !event.requests.iter().any(|(_, fingerprint)| is_quarantined(*fingerprint))
        });
        let is_settled = |event: &Event| {
            EXPLAINED_WITHIN <= now.since(event.first)
                || self.events.iter().any(|other| {
                    other.side == event.side
                        && other.endpoint != event.endpoint
                        && !event.shares_request(other)
                })
        };
        let settled = self.events.iter().map(is_settled).collect::<Vec<_>>();
        let mut settled = settled.into_iter();
        let (counted, held) =
            self.events.drain(..).partition::<Vec<_>, _>(|_| settled.next().unwrap_or(true));
        self.events = held;
        for event in counted {
            self.count_event(&event);
        }
    }

    /// Returns the counts since the last call, of the old and the new version.
    pub fn take(&mut self) -> BTreeMap<id::Route, [Count; 2]> {
        std::mem::take(&mut self.counts)
    }

    fn count(&mut self, route: &id::Route, side: Side, count: Count) {
        self.counts.entry(route.clone()).or_default()[side as usize].add(count);
    }

    fn count_event(&mut self, event: &Event) {
        let mut routes = event.requests.iter().map(|(route, _)| route).collect::<Vec<_>>();
        routes.sort_unstable();
        routes.dedup();
        for route in routes {
            self.count(route, event.side, Count { requests: 1, errors: 1, slow: 0 });
        }
    }

    fn lost(&mut self, now: Millis, seen: &Observation<'_>) {
        let request = (seen.route.clone(), seen.fingerprint);
        let same = self.events.iter_mut().find(|event| {
            event.endpoint == *seen.endpoint && now.since(event.first) < SAME_EVENT_WITHIN
        });
        if let Some(event) = same {
            event.requests.push(request);
            return;
        }
        if EVENTS_MAX <= self.events.len() {
            let oldest = self.events.remove(0);
            self.count_event(&oldest);
        }
        self.events.push(Event {
            endpoint: seen.endpoint.clone(),
            side: seen.side,
            first: now,
            requests: vec![request],
        });
    }

    fn learn(&mut self, seen: &Observation<'_>) {
        if !self.references.contains_key(seen.hardware) {
            self.references.insert(seen.hardware.to_owned(), Reference::default());
        }
        if let Some(reference) = self.references.get_mut(seen.hardware) {
            reference.learn(seen.load, seen.report);
        }
    }

    fn is_slow(&self, seen: &Observation<'_>) -> bool {
        self.references
            .get(seen.hardware)
            .and_then(|reference| reference.ratio(seen.load, seen.report))
            .is_some_and(|ratio| SLOW_RATIO < ratio)
    }
}

impl Event {
    fn shares_request(&self, other: &Self) -> bool {
        self.requests
            .iter()
            .any(|(_, mine)| other.requests.iter().any(|(_, theirs)| mine == theirs))
    }
}

/// The old version's pace on one hardware generation, by prompt length and load.
#[derive(Debug, Clone, Default)]
struct Reference {
    cells: [[Cell; LOAD_CLASSES]; PROMPT_CLASSES],
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
    fn learn(&mut self, load: f64, report: &Report) {
        let cell = &mut self.cells[prompt_class(report)][load_class(load)];
        if let Some(first) = report.first_token {
            cell.first_token.add(first.0 as f64);
        }
        if let Some(per_token) = per_token(report) {
            cell.per_token.add(per_token);
        }
    }

    /// Returns the request's time relative to the reference for its length and load, or `None`
    /// when the old version did not show enough of them.
    fn ratio(&self, load: f64, report: &Report) -> Option<f64> {
        let cell = &self.cells[prompt_class(report)][load_class(load)];
        let first = cell
            .first_token
            .known()
            .and_then(|expected| Some((report.first_token?.0 as f64, expected)));
        let stream = cell.per_token.known().and_then(|expected| {
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

fn prompt_class(report: &Report) -> usize {
    let class = u32::BITS - report.prompt_tokens.leading_zeros();
    (class as usize).min(PROMPT_CLASSES - 1)
}

fn load_class(load: f64) -> usize {
    ((load.max(0.0) * LOAD_CLASSES as f64) as usize).min(LOAD_CLASSES - 1)
}
