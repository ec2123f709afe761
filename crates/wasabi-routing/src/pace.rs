//! Detection of slow endpoints against the median of their class, and progress bounds.

use std::collections::BTreeMap;

use wasabi_protocol::{
    clock::Millis,
    endpoint::Announcement,
    id,
    request::{End, Report},
};

/// Time per token, relative to the median of the class, above which a sample is slow.
pub const SLOW_RATIO: f64 = 2.0;

/// Time per token, relative to the median of the class, up to which a sample during probation is
/// good.
///
/// It is below [`SLOW_RATIO`], because an endpoint that runs a single request is faster than with
/// its usual batch.
pub const RECOVERY_RATIO: f64 = 1.5;

/// Consecutive slow samples that put an endpoint on probation.
pub const PROBATION_AFTER: u32 = 3;

/// Consecutive good samples that end a first probation.
pub const RECOVERY_AFTER: u32 = 3;

/// Upper limit of the consecutive good samples that a repeated probation requires.
pub const RECOVERY_AFTER_MAX: u32 = 24;

/// Time after a probation within which another one is a relapse and requires twice as many good
/// samples.
pub const RELAPSE_WINDOW: Millis = Millis::from_secs(60);

/// Interval between probe requests to an endpoint on probation. Without them it could never recover,
/// since endpoint choice avoids slow endpoints.
pub const PROBE_INTERVAL: Millis = Millis(1_000);

/// Minimum number of output tokens for a measurement of the time per token.
pub const STREAM_TOKENS_MIN: u32 = 8;

/// Lower bound of the prompt tokens in a prefill measurement, so that fixed costs do not appear as a
/// slow prefill.
pub const PREFILL_TOKENS_MIN: u32 = 256;

/// Time to first token below which samples count as equal, in milliseconds.
///
/// Shorter times mostly reflect thread scheduling. Without the floor, a lone endpoint that usually
/// answers in 1 ms went on probation after three answers in 3 ms.
pub const FIRST_TOKEN_NOISE_FLOOR: Millis = Millis(20);

/// Time per token below which samples count as equal, in milliseconds, for the same reason.
pub const PER_TOKEN_NOISE_FLOOR_MS: f64 = 1.0;

/// Progress bounds: a multiple of the expected time of the endpoint, between a floor and
/// [`BOUND_MAX`], or a default while nothing has been measured.
const FIRST_TOKEN_FACTOR: f64 = 4.0;
const FIRST_TOKEN_FLOOR: Millis = Millis(1_000);
const FIRST_TOKEN_DEFAULT: Millis = Millis(10_000);
const TOKEN_GAP_FACTOR: f64 = 12.0;
const TOKEN_GAP_FLOOR: Millis = Millis(500);
const TOKEN_GAP_DEFAULT: Millis = Millis(5_000);
const BOUND_MAX: Millis = Millis(60_000);

/// Weight of a new sample in the recent moving average.
const RECENT_WEIGHT: f64 = 0.2;

/// Weight of a new sample in the long-term average that a lone endpoint is compared with.
const BASELINE_WEIGHT: f64 = 0.01;

/// A class of endpoints whose speed is comparable.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class {
    /// The model or service.
    pub backend: id::Backend,
    /// The version of the model or service.
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

/// The speed of an endpoint as measured with one ended request.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Sample {
    /// Time per output token, in milliseconds.
    pub per_token_ms: Option<f64>,
    /// Time per uncached prompt token, in milliseconds.
    pub per_prompt_token_ms: Option<f64>,
    /// Whether the endpoint made no progress within its progress bound.
    pub silent: bool,
}

impl Sample {
    /// Returns the sample from a report, or `None` when the report contains no measurement.
    ///
    /// `prefill_tokens` are the uncached prompt tokens that the endpoint had to prefill before the
    /// first token: those of this request and of the requests before it.
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

/// How far an endpoint may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Up to its in-flight bound.
    Normal,
    /// One request at a time.
    Probation,
}

/// Tracks the speed of the endpoints of one pool.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    endpoints: BTreeMap<id::Endpoint, Record>,
    medians: BTreeMap<Class, Median>,
}

#[derive(Debug, Clone)]
struct Record {
    class: Class,
    per_token: Average,
    per_prompt_token: Average,
    slow_in_a_row: u32,
    good_in_a_row: u32,
    good_required: u32,
    probation_since: Option<Millis>,
    recovered_at: Option<Millis>,
    last_probe: Option<Millis>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Average {
    recent: Option<f64>,
    baseline: Option<f64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Median {
    per_token: Option<f64>,
    per_prompt_token: Option<f64>,
    measured: usize,
}

impl Tracker {
    /// Adds an endpoint. An endpoint whose class changed counts as new. On a restart, call
    /// [`Self::leave`] first.
    pub fn join(&mut self, endpoint: &id::Endpoint, class: Class) {
        if self.endpoints.get(endpoint).is_some_and(|record| record.class == class) {
            return;
        }
        self.leave(endpoint);
        self.endpoints.insert(endpoint.clone(), Record::new(class));
    }

    /// Removes an endpoint that left or restarted.
    pub fn leave(&mut self, endpoint: &id::Endpoint) {
        if let Some(record) = self.endpoints.remove(endpoint) {
            self.update_median(&record.class);
        }
    }

    /// Adds a sample and returns the resulting standing of the endpoint.
    pub fn record(&mut self, now: Millis, endpoint: &id::Endpoint, sample: Sample) -> Standing {
        let Some(record) = self.endpoints.get(endpoint) else { return Standing::Normal };
        let class = record.class.clone();
        let median = self.medians.get(&class).copied().unwrap_or_default();
        let Some(record) = self.endpoints.get_mut(endpoint) else { return Standing::Normal };
        let ratio = record.ratio(&median, sample);
        record.update_probation(now, ratio);
        record.per_token.add(sample.per_token_ms);
        record.per_prompt_token.add(sample.per_prompt_token_ms);
        let standing = record.standing();
        self.update_median(&class);
        standing
    }

    /// Returns how far an endpoint may be used.
    pub fn standing(&self, endpoint: &id::Endpoint) -> Standing {
        self.endpoints.get(endpoint).map_or(Standing::Normal, Record::standing)
    }

    /// Returns whether a probe request is due for an endpoint on probation.
    pub fn probe_due(&self, now: Millis, endpoint: &id::Endpoint) -> bool {
        self.endpoints.get(endpoint).is_some_and(|record| {
            record.probation_since.is_some()
                && record
                    .last_probe
                    .is_none_or(|last_probe| PROBE_INTERVAL <= now.since(last_probe))
        })
    }

    /// Records that a probe request was granted to an endpoint on probation.
    pub fn record_probe(&mut self, now: Millis, endpoint: &id::Endpoint) {
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.last_probe = Some(now);
        }
    }

    /// Returns the endpoint's recent time per output token, or else the median of its class, in
    /// milliseconds.
    pub fn per_token_ms(&self, endpoint: &id::Endpoint) -> Option<f64> {
        let record = self.endpoints.get(endpoint)?;
        record.per_token.recent.or_else(|| self.medians.get(&record.class)?.per_token)
    }

    /// Returns the time per output token that the endpoint is compared with, in milliseconds.
    pub fn baseline_per_token_ms(&self, endpoint: &id::Endpoint) -> Option<f64> {
        let record = self.endpoints.get(endpoint)?;
        let median = self.medians.get(&record.class)?;
        let per_token = median.per_token?;
        record.reference(2, Some(per_token), record.per_token.baseline)
    }

    /// Returns the endpoint's recent prefill rate in prompt tokens per millisecond, or else the median
    /// of its class.
    pub fn prefill_rate(&self, endpoint: &id::Endpoint) -> Option<f64> {
        let record = self.endpoints.get(endpoint)?;
        let per_token = record
            .per_prompt_token
            .recent
            .or_else(|| self.medians.get(&record.class)?.per_prompt_token)?;
        Some(1.0 / per_token.max(f64::MIN_POSITIVE))
    }

    /// Returns the longest allowed time to first token, scaled by the endpoint's own speed.
    pub fn first_token_bound(&self, endpoint: &id::Endpoint, prefill_tokens: u32) -> Millis {
        self.prefill_rate(endpoint).map_or(FIRST_TOKEN_DEFAULT, |rate| {
            let expected = f64::from(prefill_tokens.max(PREFILL_TOKENS_MIN)) / rate;
            bound(FIRST_TOKEN_FACTOR * expected, FIRST_TOKEN_FLOOR)
        })
    }

    /// Returns the longest allowed time between tokens, scaled by the endpoint's own speed.
    pub fn between_tokens_bound(&self, endpoint: &id::Endpoint) -> Millis {
        self.per_token_ms(endpoint).map_or(TOKEN_GAP_DEFAULT, |per_token| {
            bound(TOKEN_GAP_FACTOR * per_token, TOKEN_GAP_FLOOR)
        })
    }

    /// Returns the time within which a running request should end at the baseline speed of the
    /// endpoint, multiplied by [`SLOW_RATIO`].
    ///
    /// An older grant counts as a slow sample before it ends.
    pub fn overdue_after(
        &self,
        endpoint: &id::Endpoint,
        prefill_tokens: u32,
        output_tokens: u32,
    ) -> Option<Millis> {
        let record = self.endpoints.get(endpoint)?;
        let median = self.medians.get(&record.class)?;
        let baseline = |of_class: Option<f64>, own: Average| {
            record.reference(2, Some(of_class?), own.baseline)
        };
        let per_prompt_token = baseline(median.per_prompt_token, record.per_prompt_token)?;
        let prefill = f64::from(prefill_tokens.max(PREFILL_TOKENS_MIN)) * per_prompt_token;
        let stream = f64::from(output_tokens) * baseline(median.per_token, record.per_token)?;
        Some(Millis((SLOW_RATIO * (prefill + stream)).ceil() as u64))
    }

    fn update_median(&mut self, class: &Class) {
        let of_class = || self.endpoints.values().filter(|record| record.class == *class);
        let median = Median {
            per_token: median(of_class().filter_map(|record| record.per_token.recent)),
            per_prompt_token: median(
                of_class().filter_map(|record| record.per_prompt_token.recent),
            ),
            measured: of_class()
                .filter(|record| {
                    record.per_token.recent.is_some() || record.per_prompt_token.recent.is_some()
                })
                .count(),
        };
        if of_class().next().is_none() {
            self.medians.remove(class);
        } else {
            self.medians.insert(class.clone(), median);
        }
    }
}

impl Record {
    fn new(class: Class) -> Self {
        Self {
            class,
            per_token: Average::default(),
            per_prompt_token: Average::default(),
            slow_in_a_row: 0,
            good_in_a_row: 0,
            good_required: RECOVERY_AFTER,
            probation_since: None,
            recovered_at: None,
            last_probe: None,
        }
    }

    fn standing(&self) -> Standing {
        if self.probation_since.is_some() { Standing::Probation } else { Standing::Normal }
    }

    /// Returns the worst ratio of the sample to its reference; see [`Self::reference`].
    fn ratio(&self, median: &Median, sample: Sample) -> f64 {
        if sample.silent {
            return f64::INFINITY;
        }
        let against = |value: Option<f64>, of_class: Option<f64>, own: Option<f64>| {
            let reference = self.reference(median.measured, of_class, own);
            Some(value? / reference?.max(f64::MIN_POSITIVE))
        };
        [
            against(sample.per_token_ms, median.per_token, self.per_token.baseline),
            against(
                sample.per_prompt_token_ms,
                median.per_prompt_token,
                self.per_prompt_token.baseline,
            ),
        ]
        .into_iter()
        .flatten()
        .fold(0.0, f64::max)
    }

    /// Returns the reference that a sample is compared with: the median of the class, or the
    /// endpoint's own long-term average while no peers have been measured.
    ///
    /// Endpoints that announce no hardware may differ in speed, so they are slow only when they are
    /// slower than both. The median alone would keep each slow engine on probation permanently, and
    /// the own average alone would put all engines on probation in a burst.
    fn reference(&self, measured: usize, median: Option<f64>, own: Option<f64>) -> Option<f64> {
        match (measured, self.class.hardware.is_empty()) {
            (0 | 1, _) => own,
            (_, true) => median.map(|median| own.map_or(median, |own| median.max(own))),
            (_, false) => median,
        }
    }

    fn update_probation(&mut self, now: Millis, ratio: f64) {
        if SLOW_RATIO < ratio {
            self.slow_in_a_row += 1;
            self.good_in_a_row = 0;
        } else {
            self.slow_in_a_row = 0;
            self.good_in_a_row = if ratio <= RECOVERY_RATIO { self.good_in_a_row + 1 } else { 0 };
        }
        if self.probation_since.is_none() && PROBATION_AFTER <= self.slow_in_a_row {
            let relapsed = self.recovered_at.is_some_and(|at| now.since(at) < RELAPSE_WINDOW);
            self.good_required = if relapsed {
                (self.good_required * 2).min(RECOVERY_AFTER_MAX)
            } else {
                RECOVERY_AFTER
            };
            self.probation_since = Some(now);
            self.good_in_a_row = 0;
        } else if self.probation_since.is_some() && self.good_required <= self.good_in_a_row {
            self.probation_since = None;
            self.recovered_at = Some(now);
            self.slow_in_a_row = 0;
        }
    }
}

impl Average {
    fn add(&mut self, value: Option<f64>) {
        let Some(value) = value else { return };
        let blend = |old: Option<f64>, weight: f64| {
            Some(old.map_or(value, |old| old + weight * (value - old)))
        };
        self.recent = blend(self.recent, RECENT_WEIGHT);
        self.baseline = blend(self.baseline, BASELINE_WEIGHT);
    }
}

/// Returns the lower median. With two endpoints it is the value of the faster one, so that the slower
/// one is not compared with itself.
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
