//! Progress of endpoints against the median of their own kind, stragglers and progress bounds.

use std::collections::BTreeMap;

use wasabi_protocol::{
    clock::Millis,
    endpoint::Announcement,
    id,
    request::{End, Report},
};

/// Time per token, relative to the median of the kind, from which on a sample is bad.
pub const SLOW_RATIO: f64 = 2.0;

/// Time per token, relative to the median of the kind, up to which a sample on probation is good.
///
/// It is below [`SLOW_RATIO`], because an endpoint that runs a single request is faster than under
/// its usual batch.
pub const RECOVERY_RATIO: f64 = 1.5;

/// Bad samples in a row that put an endpoint on probation.
pub const PROBATION_AFTER: u32 = 3;

/// Good samples in a row that end a first probation.
pub const RECOVERY_AFTER: u32 = 3;

/// Most good samples in a row that a repeated probation asks for.
pub const RECOVERY_AFTER_MAX: u32 = 24;

/// Time after a probation in which another one counts as a relapse and doubles the good samples
/// that it asks for.
pub const RELAPSE_WINDOW: Millis = Millis::from_secs(60);

/// Time between two requests to an endpoint on probation. Without them it could never recover,
/// since the choice avoids slow endpoints.
pub const PROBE_INTERVAL: Millis = Millis(1_000);

/// Output tokens below which a stream is too short to show a time per token.
pub const STREAM_TOKENS_MIN: u32 = 8;

/// Prompt tokens that count as read at least, so that fixed costs do not show as a slow prefill.
pub const PREFILL_TOKENS_MIN: u32 = 256;

/// Time to the first token below which samples count as equal, in milliseconds.
///
/// Below it the scheduling of threads shows more than the endpoint's pace: a lone endpoint that
/// usually answers in 1 ms went on probation for three answers in 3 ms.
pub const FIRST_TOKEN_NOISE_FLOOR: Millis = Millis(20);

/// Time per token below which samples count as equal, in milliseconds, for the same reason.
pub const PER_TOKEN_NOISE_FLOOR_MS: f64 = 1.0;

/// Progress bounds: a multiple of the endpoint's own expected time, between a floor and a cap.
const FIRST_TOKEN_FACTOR: f64 = 4.0;
const FIRST_TOKEN_FLOOR: Millis = Millis(1_000);
const FIRST_TOKEN_UNKNOWN: Millis = Millis(10_000);
const BETWEEN_FACTOR: f64 = 12.0;
const BETWEEN_FLOOR: Millis = Millis(500);
const BETWEEN_UNKNOWN: Millis = Millis(5_000);
const BOUND_MAX: Millis = Millis(60_000);

/// Weight of a new sample in an endpoint's moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of a new sample in the long average that a lone endpoint is compared with.
const SETTLED_WEIGHT: f64 = 0.01;

/// Endpoints whose pace is comparable.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class {
    /// The model or service.
    pub backend: id::Backend,
    /// The version.
    pub version: id::Version,
    /// The hardware generation.
    pub hardware: String,
}

impl From<&Announcement> for Class {
    fn from(announcement: &Announcement) -> Self {
        Self {
            backend: announcement.backend.clone(),
            version: announcement.version.clone(),
            hardware: announcement.hardware.clone(),
        }
    }
}

/// What one ended request showed about its endpoint's pace.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Sample {
    /// Time per output token, in milliseconds.
    pub per_token_ms: Option<f64>,
    /// Time per prompt token that was not cached, in milliseconds.
    pub per_prompt_token_ms: Option<f64>,
    /// Whether the endpoint made no progress within its bound.
    pub silent: bool,
}

impl Sample {
    /// Returns the sample in a report, or `None` when the report shows no pace.
    ///
    /// `prefill_tokens` are the prompt tokens granted to the endpoint that had to be read before
    /// the first token: those of this request and of the ones before it, without cached ones.
    pub fn of(report: &Report, prefill_tokens: u32) -> Option<Self> {
        if report.end == End::Silent {
            return Some(Self { silent: true, ..Self::default() });
        }
        if report.end != End::Finished {
            return None;
        }
        let per_token_ms = (STREAM_TOKENS_MIN <= report.output_tokens)
            .then(|| report.stream.0 as f64 / f64::from(report.output_tokens - 1))
            .map(|per_token| per_token.max(PER_TOKEN_NOISE_FLOOR_MS));
        let per_prompt_token_ms = report.first_token.map(|first| {
            let first = first.max(FIRST_TOKEN_NOISE_FLOOR);
            first.0 as f64 / f64::from(prefill_tokens.max(PREFILL_TOKENS_MIN))
        });
        (per_token_ms.is_some() || per_prompt_token_ms.is_some()).then_some(Self {
            per_token_ms,
            per_prompt_token_ms,
            silent: false,
        })
    }
}

/// How an endpoint may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Up to its in-flight bound.
    Normal,
    /// One request at a time.
    Probation,
}

/// The pace of the endpoints of one pool.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    endpoints: BTreeMap<id::Endpoint, Record>,
    medians: BTreeMap<Class, Median>,
}

#[derive(Debug, Clone)]
struct Record {
    kind: Class,
    per_token: Average,
    per_prompt_token: Average,
    bad: u32,
    good: u32,
    good_needed: u32,
    probation: Option<Millis>,
    recovered: Option<Millis>,
    probed: Option<Millis>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Average {
    recent: Option<f64>,
    settled: Option<f64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Median {
    per_token: Option<f64>,
    per_prompt_token: Option<f64>,
    measured: usize,
}

impl Tracker {
    /// Notes an endpoint. A changed kind is a new endpoint; a restart is a leave and a join.
    pub fn join(&mut self, endpoint: &id::Endpoint, kind: Class) {
        if self.endpoints.get(endpoint).is_some_and(|record| record.kind == kind) {
            return;
        }
        self.leave(endpoint);
        self.endpoints.insert(endpoint.clone(), Record::new(kind));
    }

    /// Forgets an endpoint that left or restarted.
    pub fn leave(&mut self, endpoint: &id::Endpoint) {
        if let Some(record) = self.endpoints.remove(endpoint) {
            self.refresh(&record.kind);
        }
    }

    /// Takes a sample into account and returns the endpoint's standing after it.
    pub fn record(&mut self, now: Millis, endpoint: &id::Endpoint, sample: Sample) -> Standing {
        let Some(record) = self.endpoints.get(endpoint) else { return Standing::Normal };
        let kind = record.kind.clone();
        let median = self.medians.get(&kind).copied().unwrap_or_default();
        let Some(record) = self.endpoints.get_mut(endpoint) else { return Standing::Normal };
        let ratio = record.ratio(&median, sample);
        record.judge(now, ratio);
        record.per_token.add(sample.per_token_ms);
        record.per_prompt_token.add(sample.per_prompt_token_ms);
        let standing = record.standing();
        self.refresh(&kind);
        standing
    }

    /// Returns how an endpoint may be used.
    pub fn standing(&self, endpoint: &id::Endpoint) -> Standing {
        self.endpoints.get(endpoint).map_or(Standing::Normal, Record::standing)
    }

    /// Returns whether an endpoint on probation is due for a request that shows its progress.
    pub fn probe_due(&self, now: Millis, endpoint: &id::Endpoint) -> bool {
        self.endpoints.get(endpoint).is_some_and(|record| {
            record.probation.is_some()
                && record.probed.is_none_or(|probed| PROBE_INTERVAL <= now.since(probed))
        })
    }

    /// Notes that a request was granted to an endpoint on probation.
    pub fn record_probe(&mut self, now: Millis, endpoint: &id::Endpoint) {
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.probed = Some(now);
        }
    }

    /// Returns the endpoint's time per output token, or its kind's, in milliseconds.
    pub fn per_token_ms(&self, endpoint: &id::Endpoint) -> Option<f64> {
        let record = self.endpoints.get(endpoint)?;
        record.per_token.recent.or_else(|| self.medians.get(&record.kind)?.per_token)
    }

    /// Returns the time per output token that is usual for the endpoint, in milliseconds.
    pub fn baseline_per_token_ms(&self, endpoint: &id::Endpoint) -> Option<f64> {
        let record = self.endpoints.get(endpoint)?;
        let median = self.medians.get(&record.kind)?;
        let kind = median.per_token?;
        record.reference(2, Some(kind), record.per_token.settled)
    }

    /// Returns the prompt tokens that the endpoint reads in a millisecond, or its kind's median.
    pub fn prefill_rate(&self, endpoint: &id::Endpoint) -> Option<f64> {
        let record = self.endpoints.get(endpoint)?;
        let per_token = record
            .per_prompt_token
            .recent
            .or_else(|| self.medians.get(&record.kind)?.per_prompt_token)?;
        Some(1.0 / per_token.max(f64::MIN_POSITIVE))
    }

    /// Returns the longest silence before the first token, scaled by the endpoint's own pace.
    pub fn first_token_bound(&self, endpoint: &id::Endpoint, prefill_tokens: u32) -> Millis {
        self.prefill_rate(endpoint).map_or(FIRST_TOKEN_UNKNOWN, |rate| {
            let expected = f64::from(prefill_tokens.max(PREFILL_TOKENS_MIN)) / rate;
            bound(FIRST_TOKEN_FACTOR * expected, FIRST_TOKEN_FLOOR)
        })
    }

    /// Returns the longest silence between tokens, scaled by the endpoint's own pace.
    pub fn between_tokens_bound(&self, endpoint: &id::Endpoint) -> Millis {
        self.per_token_ms(endpoint)
            .map_or(BETWEEN_UNKNOWN, |per_token| bound(BETWEEN_FACTOR * per_token, BETWEEN_FLOOR))
    }

    /// Returns the time within which a running request should end at the pace that is usual for the
    /// endpoint, with [`SLOW_RATIO`] allowed.
    ///
    /// A grant that is older is a bad sample already before it ends.
    pub fn overdue_after(
        &self,
        endpoint: &id::Endpoint,
        prefill_tokens: u32,
        output_tokens: u32,
    ) -> Option<Millis> {
        let record = self.endpoints.get(endpoint)?;
        let median = self.medians.get(&record.kind)?;
        let usual = |kind: Option<f64>, own: Average| record.reference(2, Some(kind?), own.settled);
        let per_prompt_token = usual(median.per_prompt_token, record.per_prompt_token)?;
        let prefill = f64::from(prefill_tokens.max(PREFILL_TOKENS_MIN)) * per_prompt_token;
        let stream = f64::from(output_tokens) * usual(median.per_token, record.per_token)?;
        Some(Millis((SLOW_RATIO * (prefill + stream)).ceil() as u64))
    }

    fn refresh(&mut self, kind: &Class) {
        let of_kind = || self.endpoints.values().filter(|record| record.kind == *kind);
        let median = Median {
            per_token: median(of_kind().filter_map(|record| record.per_token.recent)),
            per_prompt_token: median(of_kind().filter_map(|record| record.per_prompt_token.recent)),
            measured: of_kind()
                .filter(|record| {
                    record.per_token.recent.is_some() || record.per_prompt_token.recent.is_some()
                })
                .count(),
        };
        if of_kind().next().is_none() {
            self.medians.remove(kind);
        } else {
            self.medians.insert(kind.clone(), median);
        }
    }
}

impl Record {
    fn new(kind: Class) -> Self {
        Self {
            kind,
            per_token: Average::default(),
            per_prompt_token: Average::default(),
            bad: 0,
            good: 0,
            good_needed: RECOVERY_AFTER,
            probation: None,
            recovered: None,
            probed: None,
        }
    }

    fn standing(&self) -> Standing {
        if self.probation.is_some() { Standing::Probation } else { Standing::Normal }
    }

    /// Returns the worst ratio of the sample to the kind's median.
    ///
    /// An endpoint without measured peers is compared with its own long average.
    fn ratio(&self, median: &Median, sample: Sample) -> f64 {
        if sample.silent {
            return f64::INFINITY;
        }
        let against = |value: Option<f64>, kind: Option<f64>, own: Option<f64>| {
            let reference = self.reference(median.measured, kind, own);
            Some(value? / reference?.max(f64::MIN_POSITIVE))
        };
        [
            against(sample.per_token_ms, median.per_token, self.per_token.settled),
            against(
                sample.per_prompt_token_ms,
                median.per_prompt_token,
                self.per_prompt_token.settled,
            ),
        ]
        .into_iter()
        .flatten()
        .fold(0.0, f64::max)
    }

    /// Returns the pace that a sample is compared with.
    ///
    /// Without measured peers it is the endpoint's own long average. Endpoints that announce no
    /// hardware may be of unlike speeds, so they are only bad when they are slower than their peers
    /// and than themselves: peers alone would condemn each slow engine for good, and its own past
    /// alone would condemn all engines in a burst.
    fn reference(&self, measured: usize, kind: Option<f64>, own: Option<f64>) -> Option<f64> {
        match (measured, self.kind.hardware.is_empty()) {
            (0 | 1, _) => own,
            (_, true) => kind.map(|kind| own.map_or(kind, |own| kind.max(own))),
            (_, false) => kind,
        }
    }

    fn judge(&mut self, now: Millis, ratio: f64) {
        if SLOW_RATIO < ratio {
            self.bad += 1;
            self.good = 0;
        } else {
            self.bad = 0;
            self.good = if ratio <= RECOVERY_RATIO { self.good + 1 } else { 0 };
        }
        if self.probation.is_none() && PROBATION_AFTER <= self.bad {
            let relapsed = self.recovered.is_some_and(|at| now.since(at) < RELAPSE_WINDOW);
            self.good_needed = if relapsed {
                (self.good_needed * 2).min(RECOVERY_AFTER_MAX)
            } else {
                RECOVERY_AFTER
            };
            self.probation = Some(now);
            self.good = 0;
        } else if self.probation.is_some() && self.good_needed <= self.good {
            self.probation = None;
            self.recovered = Some(now);
            self.bad = 0;
        }
    }
}

impl Average {
    fn add(&mut self, value: Option<f64>) {
        let Some(value) = value else { return };
        let blend = |old: Option<f64>, weight: f64| {
            Some(old.map_or(value, |old| old + weight * (value - old)))
        };
        self.recent = blend(self.recent, SAMPLE_WEIGHT);
        self.settled = blend(self.settled, SETTLED_WEIGHT);
    }
}

/// Returns the lower median: with two endpoints it is the faster one, so that the slower one is
/// compared with it and not with itself.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values = values.collect::<Vec<_>>();
    if values.is_empty() {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

fn bound(expected_ms: f64, floor: Millis) -> Millis {
    Millis(expected_ms.ceil() as u64).clamp(floor, BOUND_MAX)
}
