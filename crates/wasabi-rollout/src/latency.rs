//! The old version's pace by length, load and hardware, and how far its requests stray from it.

use std::collections::BTreeMap;

use wasabi_protocol::{clock::Millis, id, request::Report};

use crate::evidence::{Observation, SERVING_WINDOW};

/// Least time relative to the old version's, from which on a request counts as slow.
pub const SLOW_RATIO: f64 = 1.5;

/// Ratios from which the bound of a whole request is picked.
const WHOLE_RATIOS: [f64; RATIOS] = [SLOW_RATIO, 2.0, 2.5, 3.0, 4.0, 6.0, 8.0];

/// Ratios from which the bounds of the first token alone and of the stream alone are picked.
///
/// A long stream hides a late first token and a long prompt hides a slow stream. One of them alone
/// varies more than the whole request, so only several times the usual counts.
const PART_RATIOS: [f64; RATIOS] = [3.0, 4.0, 5.0, 6.0, 8.0, 12.0, 16.0];
const RATIOS: usize = 7;

/// Part of the requests of the slowest old endpoints that may lie above the bound.
const WHOLE_ABOVE_MAX: f64 = 0.05;
const PART_ABOVE_MAX: f64 = 0.01;

/// Part of the old endpoints, the slowest first, that set the bounds, as a divisor.
///
/// Endpoints of one announced hardware may be of unlike speeds, and the new version may run on the
/// slowest kind. One slow endpoint alone must not hide a slow version.
const SLOWEST_DIVISOR: usize = 4;
const SLOWEST_MIN: usize = 2;

/// Requests that an endpoint needs before it counts among the slowest.
const SPREAD_REQUESTS_MIN: f64 = 8.0;

/// Requests of one endpoint after which its counts are halved, so that they follow its pace.
const SPREAD_REQUESTS_MAX: f64 = 400.0;

/// Part of a request's own prompt that other prompts ahead of it may have, as a divisor, so that
/// its first token is compared.
const AHEAD_DIVISOR: u32 = 4;

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

/// The old version's pace on each hardware.
#[derive(Debug, Clone, Default)]
pub struct LatencyModel {
    references: BTreeMap<String, Reference>,
}

impl LatencyModel {
    /// Learns from a finished request of the old version, of whose prompt the endpoint had `cached`
    /// tokens in its prefix cache.
    pub fn learn(&mut self, now: Millis, seen: &Observation<'_>, cached: u32) {
        if !self.references.contains_key(seen.hardware) {
            self.references.insert(seen.hardware.to_owned(), Reference::default());
        }
        if let Some(reference) = self.references.get_mut(seen.hardware) {
            reference.learn(now, seen, cached);
        }
    }

    /// Returns whether a request was slower than the old version's slowest endpoints allow.
    pub(crate) fn is_slow(&self, now: Millis, seen: &Observation<'_>, cached: u32) -> bool {
        self.references.get(seen.hardware).is_some_and(|reference| {
            let ratios = reference.ratios(seen, cached).list();
            let bounds = reference.bounds(now).list();
            ratios.into_iter().zip(bounds).any(|(ratio, bound)| ratio.is_some_and(|r| bound < r))
        })
    }
}

/// One value for each time of a request that is compared.
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

/// The old version's pace on one hardware generation, by prompt tokens to read and by load.
#[derive(Debug, Clone, Default)]
struct Reference {
    cells: [[Cell; LOAD_CLASSES]; PROMPT_CLASSES],
    /// Time per token over all prompt lengths, for cells that have too few samples, as those of
    /// high load do.
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

/// How the requests of one endpoint compare with the reference.
#[derive(Debug, Clone, Copy, Default)]
struct Spread {
    last: Millis,
    requests: f64,
    /// Sum of the logarithms of the ratios of whole requests.
    log_ratio: f64,
    /// Requests above each of the ratios.
    above: Times<[f64; RATIOS]>,
}

impl Reference {
    fn learn(&mut self, now: Millis, seen: &Observation<'_>, cached: u32) {
        let ratios = self.ratios(seen, cached);
        if let Some(whole) = ratios.whole {
            if !self.spreads.contains_key(seen.endpoint) {
                self.spreads.retain(|_, spread| spread.is_recent(now));
            }
            self.spreads.entry(seen.endpoint.clone()).or_default().add(now, whole, ratios);
        }
        let report = seen.report;
        let cell = &mut self.cells[prompt_class(report, cached)][load_class(seen.load)];
        if let Some(first) = report.first_token.filter(|_| has_turn(seen, cached)) {
            cell.first_token.add(first.0 as f64);
        }
        if let Some(per_token) = per_token(report) {
            cell.per_token.add(per_token);
            self.per_token[load_class(seen.load)].add(per_token);
        }
    }

    /// Returns the request's times relative to the reference for its length and load, where the
    /// old version showed enough of them.
    fn ratios(&self, seen: &Observation<'_>, cached: u32) -> Times<Option<f64>> {
        let report = seen.report;
        let cell = &self.cells[prompt_class(report, cached)][load_class(seen.load)];
        let is_first = has_turn(seen, cached);
        let first = cell
            .first_token
            .known()
            .filter(|_| is_first)
            .and_then(|expected| Some((report.first_token?.0 as f64, expected)));
        let any_length = || self.per_token[load_class(seen.load)].known();
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

    /// Returns the ratios above which a request is slow. The slowest old endpoints seldom exceed
    /// them.
    fn bounds(&self, now: Millis) -> Times<f64> {
        let is_known =
            |spread: &&Spread| SPREAD_REQUESTS_MIN <= spread.requests && spread.is_recent(now);
        let mut known = self.spreads.values().filter(is_known).collect::<Vec<_>>();
        known.sort_by(|one, other| other.mean_log().total_cmp(&one.mean_log()));
        known.truncate(known.len().div_ceil(SLOWEST_DIVISOR).max(SLOWEST_MIN));
        let requests = known.iter().map(|spread| spread.requests).sum::<f64>();
        let bound = |ratios: [f64; RATIOS], most: f64, above: &dyn Fn(&Spread) -> [f64; RATIOS]| {
            let is_bound = |index: usize| {
                let above = known.iter().map(|spread| above(spread)[index]).sum::<f64>();
                above <= most * requests
            };
            let index = (0..RATIOS).find(|index| is_bound(*index)).unwrap_or(RATIOS - 1);
            ratios[index]
        };
        Times {
            whole: bound(WHOLE_RATIOS, WHOLE_ABOVE_MAX, &|spread| spread.above.whole),
            first: bound(PART_RATIOS, PART_ABOVE_MAX, &|spread| spread.above.first),
            stream: bound(PART_RATIOS, PART_ABOVE_MAX, &|spread| spread.above.stream),
        }
    }
}

impl Spread {
    fn add(&mut self, now: Millis, whole: f64, ratios: Times<Option<f64>>) {
        self.last = now;
        self.requests += 1.0;
        self.log_ratio += whole.max(f64::MIN_POSITIVE).ln();
        count_above(&mut self.above.whole, WHOLE_RATIOS, ratios.whole);
        count_above(&mut self.above.first, PART_RATIOS, ratios.first);
        count_above(&mut self.above.stream, PART_RATIOS, ratios.stream);
        if SPREAD_REQUESTS_MAX <= self.requests {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.requests /= 2.0;
        self.log_ratio /= 2.0;
        let above = &mut self.above;
        for counts in [&mut above.whole, &mut above.first, &mut above.stream] {
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

fn count_above(counts: &mut [f64; RATIOS], ratios: [f64; RATIOS], seen: Option<f64>) {
    let Some(seen) = seen else { return };
    for (count, ratio) in counts.iter_mut().zip(ratios) {
        *count += f64::from(u8::from(ratio < seen));
    }
}

/// Returns whether the endpoint read the prompt without a wait for those of other requests.
///
/// The new version's few endpoints get their requests in groups, so most first tokens wait for
/// other prompts there. That made good versions look several times slower.
fn has_turn(seen: &Observation<'_>, cached: u32) -> bool {
    let own = seen.report.prompt_tokens.saturating_sub(cached);
    seen.queued_prompt_tokens <= own / AHEAD_DIVISOR
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
