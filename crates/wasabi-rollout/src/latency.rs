//! Latency of the old version by length, load and hardware, and the spread of its requests around
//! it.

use std::collections::BTreeMap;

use wasabi_protocol::{clock::Millis, id, request::Report};

use crate::evidence::{Observation, SERVING_WINDOW};

/// Lowest ratio to the old version's time from which a request may count as slow.
pub const SLOW_RATIO: f64 = 1.5;

/// Candidate ratios for the bound on a whole request.
const WHOLE_RATIOS: [f64; RATIOS] = [SLOW_RATIO, 2.0, 2.5, 3.0, 4.0, 6.0, 8.0];

/// Candidate ratios for the bounds on the first token alone and on the stream alone.
///
/// They are compared separately because a long stream hides a late first token, and a long prompt
/// hides a slow stream. Each varies more than the whole request, so these ratios are higher.
const PHASE_RATIOS: [f64; RATIOS] = [3.0, 4.0, 5.0, 6.0, 8.0, 12.0, 16.0];
const RATIOS: usize = 7;

/// Fractions of the requests of the slowest old endpoints that may exceed the bounds.
const WHOLE_EXCEEDING_MAX: f64 = 0.05;
const PHASE_EXCEEDING_MAX: f64 = 0.01;

/// Divisor of the number of old endpoints that gives how many of the slowest set the bounds, and
/// the least number of them.
///
/// Endpoints with the same announced hardware may differ in speed, and the new version may run on
/// the slowest kind. A single slow endpoint must not hide a slow version.
const SLOWEST_DIVISOR: usize = 4;
const SLOWEST_MIN: usize = 2;

/// Requests that an endpoint needs before it may count among the slowest.
const SPREAD_REQUESTS_MIN: f64 = 8.0;

/// Requests of one endpoint after which its counts are halved, so that they follow its latency.
const SPREAD_REQUESTS_MAX: f64 = 400.0;

/// Divisor of a request's own prompt tokens. Its first token is compared only if the prompts queued
/// before it have at most that many tokens.
const QUEUED_PROMPT_DIVISOR: u32 = 4;

/// Samples of the old version that a mean needs before it is used as a reference.
const REFERENCE_SAMPLES_MIN: u32 = 8;

/// Samples after which a mean becomes an exponential moving average.
const REFERENCE_SAMPLES_MAX: f64 = 200.0;

/// Output tokens below which a stream gives no time per token.
const STREAM_TOKENS_MIN: u32 = 8;

/// Number of classes of prompt length, which are powers of two.
const PROMPT_CLASSES: usize = 20;

/// Number of classes of load, which are quarters of the concurrency.
const LOAD_CLASSES: usize = 4;

/// The old version's latency on each hardware generation.
#[derive(Debug, Clone, Default)]
pub struct LatencyModel {
    references: BTreeMap<String, Reference>,
}

impl LatencyModel {
    /// Adds a finished request of the old version, of whose prompt the endpoint had `cached` tokens
    /// in its prefix cache.
    pub fn learn(&mut self, now: Millis, observation: &Observation<'_>, cached: u32) {
        if !self.references.contains_key(observation.hardware) {
            self.references.insert(observation.hardware.to_owned(), Reference::default());
        }
        if let Some(reference) = self.references.get_mut(observation.hardware) {
            reference.learn(now, observation, cached);
        }
    }

    /// Returns whether a request exceeded the bounds that the old version's slowest endpoints set.
    pub(crate) fn is_slow(&self, now: Millis, observation: &Observation<'_>, cached: u32) -> bool {
        self.references.get(observation.hardware).is_some_and(|reference| {
            let ratios = reference.ratios(observation, cached).list();
            let bounds = reference.bounds(now).list();
            ratios.into_iter().zip(bounds).any(|(ratio, bound)| ratio.is_some_and(|r| bound < r))
        })
    }
}

/// One value for each of the compared times of a request.
#[derive(Debug, Clone, Copy, Default)]
struct Times<T> {
    /// First token and stream together.
    whole: T,
    first: T,
    stream: T,
}

impl<T> Times<T> {
    fn list(self) -> [T; 3] {
        [self.whole, self.first, self.stream]
    }
}

/// The old version's latency on one hardware generation, by uncached prompt tokens and load.
#[derive(Debug, Clone, Default)]
struct Reference {
    cells: [[Cell; LOAD_CLASSES]; PROMPT_CLASSES],
    /// Time per token over all prompt lengths, for cells with too few samples, which are common at
    /// high load.
    per_token: [Mean; LOAD_CLASSES],
    spreads: BTreeMap<id::Endpoint, Spread>,
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

/// Ratios of the requests of one endpoint to the reference.
#[derive(Debug, Clone, Copy, Default)]
struct Spread {
    /// Time of the last request.
    last: Millis,
    requests: f64,
    /// Sum of the logarithms of the ratios of whole requests.
    log_ratio: f64,
    /// Number of requests that exceed each candidate ratio.
    exceeding: Times<[f64; RATIOS]>,
}

impl Reference {
    fn learn(&mut self, now: Millis, observation: &Observation<'_>, cached: u32) {
        let ratios = self.ratios(observation, cached);
        if let Some(whole) = ratios.whole {
            if !self.spreads.contains_key(observation.endpoint) {
                self.spreads.retain(|_, spread| spread.is_recent(now));
            }
            self.spreads.entry(observation.endpoint.clone()).or_default().add(now, whole, ratios);
        }
        let report = observation.report;
        let cell = &mut self.cells[prompt_class(report, cached)][load_class(observation.load)];
        if let Some(first) = report.first_token.filter(|_| is_prompt_undelayed(observation, cached))
        {
            cell.first_token.add(first.0 as f64);
        }
        if let Some(per_token) = per_token(report) {
            cell.per_token.add(per_token);
            self.per_token[load_class(observation.load)].add(per_token);
        }
    }

    /// Returns the ratios of the request's times to the reference for its length and load, where
    /// the reference has enough samples.
    fn ratios(&self, observation: &Observation<'_>, cached: u32) -> Times<Option<f64>> {
        let report = observation.report;
        let cell = &self.cells[prompt_class(report, cached)][load_class(observation.load)];
        let compares_first = is_prompt_undelayed(observation, cached);
        let first = cell
            .first_token
            .known()
            .filter(|_| compares_first)
            .and_then(|expected| Some((report.first_token?.0 as f64, expected)));
        let any_length = || self.per_token[load_class(observation.load)].known();
        let stream = cell.per_token.known().or_else(any_length).and_then(|expected| {
            let tokens = f64::from(report.output_tokens);
            Some((per_token(report)? * tokens, expected * tokens))
        });
        let whole = match (first, stream) {
            (Some(first), Some(stream)) => Some((first.0 + stream.0, first.1 + stream.1)),
            (part, None) | (None, part) => part,
        };
        let ratio = |(actual, expected): (f64, f64)| actual / expected.max(1.0);
        Times { whole: whole.map(ratio), first: first.map(ratio), stream: stream.map(ratio) }
    }

    /// Returns the ratios above which a request is slow: the lowest candidates that the slowest old
    /// endpoints rarely exceed.
    fn bounds(&self, now: Millis) -> Times<f64> {
        let is_known =
            |spread: &&Spread| SPREAD_REQUESTS_MIN <= spread.requests && spread.is_recent(now);
        let mut known = self.spreads.values().filter(is_known).collect::<Vec<_>>();
        known.sort_by(|one, other| other.mean_log().total_cmp(&one.mean_log()));
        known.truncate(known.len().div_ceil(SLOWEST_DIVISOR).max(SLOWEST_MIN));
        let requests = known.iter().map(|spread| spread.requests).sum::<f64>();
        let bound = |ratios: [f64; RATIOS],
                     limit: f64,
                     exceeding: &dyn Fn(&Spread) -> [f64; RATIOS]| {
            let is_rarely_exceeded = |index: usize| {
                let count = known.iter().map(|spread| exceeding(spread)[index]).sum::<f64>();
                count <= limit * requests
            };
            let index = (0..RATIOS).find(|index| is_rarely_exceeded(*index)).unwrap_or(RATIOS - 1);
            ratios[index]
        };
        Times {
            whole: bound(WHOLE_RATIOS, WHOLE_EXCEEDING_MAX, &|spread| spread.exceeding.whole),
            first: bound(PHASE_RATIOS, PHASE_EXCEEDING_MAX, &|spread| spread.exceeding.first),
            stream: bound(PHASE_RATIOS, PHASE_EXCEEDING_MAX, &|spread| spread.exceeding.stream),
        }
    }
}

impl Spread {
    fn add(&mut self, now: Millis, whole: f64, ratios: Times<Option<f64>>) {
        self.last = now;
        self.requests += 1.0;
        self.log_ratio += whole.max(f64::MIN_POSITIVE).ln();
        count_exceeding(&mut self.exceeding.whole, WHOLE_RATIOS, ratios.whole);
        count_exceeding(&mut self.exceeding.first, PHASE_RATIOS, ratios.first);
        count_exceeding(&mut self.exceeding.stream, PHASE_RATIOS, ratios.stream);
        if SPREAD_REQUESTS_MAX <= self.requests {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.requests /= 2.0;
        self.log_ratio /= 2.0;
        let exceeding = &mut self.exceeding;
        for counts in [&mut exceeding.whole, &mut exceeding.first, &mut exceeding.stream] {
            counts.iter_mut().for_each(|count| *count /= 2.0);
        }
    }

    fn mean_log(&self) -> f64 {
        self.log_ratio / self.requests.max(1.0)
    }

    fn is_recent(&self, now: Millis) -> bool {
        now.since(self.last) < SERVING_WINDOW
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

fn count_exceeding(counts: &mut [f64; RATIOS], candidates: [f64; RATIOS], ratio: Option<f64>) {
    let Some(ratio) = ratio else { return };
    for (count, candidate) in counts.iter_mut().zip(candidates) {
        *count += f64::from(u8::from(candidate < ratio));
    }
}

/// Returns whether the endpoint processed the prompt with little delay by prompts of other
/// requests.
///
/// The new version's few endpoints get their requests in groups, so most first tokens wait for
/// other prompts there. Comparing these made good versions look several times slower.
fn is_prompt_undelayed(observation: &Observation<'_>, cached: u32) -> bool {
    let own = observation.report.prompt_tokens.saturating_sub(cached);
    observation.queued_prompt_tokens <= own / QUEUED_PROMPT_DIVISOR
}

fn per_token(report: &Report) -> Option<f64> {
    (STREAM_TOKENS_MIN <= report.output_tokens)
        .then(|| report.stream.0 as f64 / f64::from(report.output_tokens - 1))
}

fn prompt_class(report: &Report, cached: u32) -> usize {
    let uncached = report.prompt_tokens.saturating_sub(cached);
    let class = u32::BITS - uncached.leading_zeros();
    (class as usize).min(PROMPT_CLASSES - 1)
}

fn load_class(load: f64) -> usize {
    ((load.max(0.0) * LOAD_CLASSES as f64) as usize).min(LOAD_CLASSES - 1)
}
