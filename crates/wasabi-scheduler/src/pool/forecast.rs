//! Forecasts of queueing times, stream times and output lengths, based on ended attempts.

use std::collections::HashMap;

use wasabi_protocol::{
    clock::Millis,
    id,
    request::{End, Report, Request},
};

use super::running::Running;

/// Weight of a new sample in the pool's moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Interval between ended attempts that is assumed before any has ended.
const DEFAULT_END_INTERVAL_MS: f64 = 50.0;

/// Upper bound on a sampled interval between ended attempts.
const END_INTERVAL_MAX_MS: f64 = 1_000.0;

/// Maximum delay of a dispatch decision: one tick.
const TICK_INTERVAL: Millis = Millis(50);

/// Quantile of the output lengths of a route that is used as the forecast.
const OUTPUT_QUANTILE: f64 = 0.9;

/// Step size by which the quantile estimate of a route follows a new sample.
const OUTPUT_QUANTILE_STEP: f64 = 0.02;

/// Maximum number of routes with a length forecast. The others are assumed to use all of the output
/// tokens that they request.
const ROUTES_MAX: usize = 4_096;

/// Least time at an endpoint that is assumed, in milliseconds: the clock counts whole ones.
const AT_ENDPOINT_MIN_MS: f64 = 1.0;

/// Upper bound on the grants for an endpoint, as a multiple of its concurrency. An endpoint queues
/// only some calls, should the grants on their way arrive at one time.
const TRANSIT_FACTOR_MAX: f64 = 4.0;

/// Least capacity that is assumed: endpoints that accept almost nothing may accept more again.
const CAPACITY_MIN: f64 = 0.01;

/// Longest wait that is forecast.
const QUEUE_WAIT_MAX: Millis = Millis::from_secs(600);

/// Averages over the ended attempts of a pool.
#[derive(Debug)]
pub(super) struct Forecast {
    last_end: Millis,
    end_interval_ms: f64,
    per_token_ms: f64,
    /// Mean time from the start to the end of an attempt; 0 until one has ended.
    service_ms: f64,
    /// The same for the attempts that used their endpoints.
    used_ms: f64,
    /// Mean time of these at their endpoints, as their holders measured it.
    at_endpoint_ms: f64,
    /// By route: quantile of the ratio of actual to requested output tokens.
    output_fractions: HashMap<id::Route, f64>,
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            last_end: Millis::ZERO,
            end_interval_ms: DEFAULT_END_INTERVAL_MS,
            per_token_ms: 0.0,
            service_ms: 0.0,
            used_ms: 0.0,
            at_endpoint_ms: 0.0,
            output_fractions: HashMap::new(),
        }
    }
}

impl Forecast {
    /// Updates the averages with an ended attempt.
    pub(super) fn record(&mut self, now: Millis, running: &Running, report: &Report) {
        let interval = now.since(self.last_end).0 as f64;
        self.last_end = now;
        self.end_interval_ms +=
            SAMPLE_WEIGHT * (interval.min(END_INTERVAL_MAX_MS) - self.end_interval_ms);
        let service = now.since(running.started).0 as f64;
        let weight = if self.service_ms == 0.0 { 1.0 } else { SAMPLE_WEIGHT };
        self.service_ms += weight * (service - self.service_ms);
        self.record_use(service, report);
        if report.end != End::Finished {
            return;
        }
        if 1 < report.output_tokens {
            let per_token = report.stream.0 as f64 / f64::from(report.output_tokens - 1);
            self.per_token_ms += SAMPLE_WEIGHT * (per_token - self.per_token_ms);
        }
        let request = &running.request;
        let fraction = f64::from(report.output_tokens) / f64::from(request.output_tokens.max(1));
        if !self.output_fractions.contains_key(&request.route)
            && self.output_fractions.len() < ROUTES_MAX
        {
            self.output_fractions.insert(request.route.clone(), 1.0);
        }
        if let Some(estimate) = self.output_fractions.get_mut(&request.route) {
            let is_longer = if *estimate < fraction { 1.0 } else { 0.0 };
            *estimate += OUTPUT_QUANTILE_STEP * (is_longer - (1.0 - OUTPUT_QUANTILE));
            *estimate = estimate.clamp(0.0, 1.0);
        }
    }

    /// Updates the averages of how long endpoints are in use. An attempt that was abandoned without an
    /// answer may not have been sent.
    fn record_use(&mut self, service: f64, report: &Report) {
        if report.first_token.is_none() && report.end == End::Abandoned {
            return;
        }
        let answered = report.first_token.map(|first| (first + report.stream).0 as f64);
        let at_endpoint = answered.unwrap_or(service).min(service);
        let weight = if self.used_ms == 0.0 { 1.0 } else { SAMPLE_WEIGHT };
        self.used_ms += weight * (service - self.used_ms);
        self.at_endpoint_ms += weight * (at_endpoint - self.at_endpoint_ms);
    }

    /// Returns the time within which the next slot usually becomes free.
    pub(super) fn slot_wait(&self) -> Millis {
        Millis((2.0 * self.end_interval_ms) as u64) + TICK_INTERVAL
    }

    /// Returns how many attempts run at one time when `per_s` are started a second.
    pub(super) fn running_at(&self, per_s: f64) -> f64 {
        per_s * self.service_ms / 1_000.0
    }

    /// Returns how much longer grants are held than their endpoints are in use, as a factor from 1 to
    /// [`TRANSIT_FACTOR_MAX`]: the rest is the way of grants and releases.
    pub(super) fn transit_factor(&self) -> f64 {
        let factor = self.used_ms / self.at_endpoint_ms.max(AT_ENDPOINT_MIN_MS);
        factor.clamp(1.0, TRANSIT_FACTOR_MAX)
    }

    /// Returns the expected time until a request behind `ahead` others can start when `capacity`
    /// attempts run concurrently.
    pub(super) fn queue_wait(&self, ahead: usize, capacity: f64) -> Millis {
        let wait = ahead as f64 * self.service_ms / capacity.max(CAPACITY_MIN);
        Millis(wait as u64).min(QUEUE_WAIT_MAX)
    }

    /// Returns the forecast time from the first to the last token of a request.
    pub(super) fn stream_time(&self, request: &Request) -> Millis {
        Millis((self.output_tokens(request) * self.per_token_ms) as u64)
    }

    /// Returns the forecast number of output tokens of a request. Nine in ten requests of its route
    /// produce no more.
    pub(super) fn output_tokens(&self, request: &Request) -> f64 {
        let fraction = self.output_fractions.get(&request.route).copied().unwrap_or(1.0);
        f64::from(request.output_tokens) * fraction
    }
}
