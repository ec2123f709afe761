//! What ended attempts tell of the time that waiting ones will take.

use std::collections::HashMap;

use wasabi_protocol::{
    clock::Millis,
    id,
    request::{End, Report, Request},
};

use super::running::Running;

/// Weight of a new sample in the pool's moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Time to the next free slot that is assumed before any was freed, in milliseconds.
const GAP_UNKNOWN: f64 = 50.0;

/// Longest time to the next free slot that is believed, in milliseconds.
const GAP_MAX: f64 = 1_000.0;

/// Time that a dispatch decision may come late: one tick, in milliseconds.
const TICK: Millis = Millis(50);

/// Part of a route's requests that get no more output than the length forecast for them.
const LENGTH_QUANTILE: f64 = 0.9;

/// Step by which a route's length forecast follows a new sample.
const LENGTH_STEP: f64 = 0.02;

/// Most routes whose lengths are kept; the others are taken to use all that they ask for.
const ROUTES_MAX: usize = 4_096;

/// Averages over the ended attempts of a pool.
#[derive(Debug)]
pub(super) struct Forecast {
    last_end: Millis,
    end_gap: f64,
    per_token_ms: f64,
    /// Mean time from the start to the end of an attempt; none ended while this is zero.
    service_ms: f64,
    /// By route: output as a part of the output asked for, at the quantile.
    lengths: HashMap<id::Route, f64>,
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            last_end: Millis::ZERO,
            end_gap: GAP_UNKNOWN,
            per_token_ms: 0.0,
            service_ms: 0.0,
            lengths: HashMap::new(),
        }
    }
}

impl Forecast {
    /// Takes an ended attempt into account.
    pub(super) fn ended(&mut self, now: Millis, running: &Running, report: &Report) {
        let gap = now.since(self.last_end).0 as f64;
        self.last_end = now;
        self.end_gap += SAMPLE_WEIGHT * (gap.min(GAP_MAX) - self.end_gap);
        let service = now.since(running.started).0 as f64;
        let weight = if self.service_ms == 0.0 { 1.0 } else { SAMPLE_WEIGHT };
        self.service_ms += weight * (service - self.service_ms);
        if report.end != End::Finished {
            return;
        }
        if 1 < report.output_tokens {
            let per_token = report.stream.0 as f64 / f64::from(report.output_tokens - 1);
            self.per_token_ms += SAMPLE_WEIGHT * (per_token - self.per_token_ms);
        }
        let request = &running.request;
        let part = f64::from(report.output_tokens) / f64::from(request.output_tokens.max(1));
        if !self.lengths.contains_key(&request.route) && self.lengths.len() < ROUTES_MAX {
            self.lengths.insert(request.route.clone(), 1.0);
        }
        if let Some(length) = self.lengths.get_mut(&request.route) {
            let is_longer = if *length < part { 1.0 } else { 0.0 };
            *length += LENGTH_STEP * (is_longer - (1.0 - LENGTH_QUANTILE));
            *length = length.clamp(0.0, 1.0);
        }
    }

    /// Returns the time within which the next slot will be free, as a rule.
    pub(super) fn patience(&self) -> Millis {
        Millis((2.0 * self.end_gap) as u64) + TICK
    }

    /// Returns the time until a request behind `ahead` others may start when `capacity` attempts run
    /// at a time.
    pub(super) fn wait(&self, ahead: usize, capacity: u32) -> Millis {
        Millis((ahead as f64 * self.service_ms / f64::from(capacity.max(1))) as u64)
    }

    /// Returns the time from the first to the last token of a request, at the pool's mean pace.
    pub(super) fn stream(&self, request: &Request) -> Millis {
        Millis((self.output_tokens(request) * self.per_token_ms) as u64)
    }

    /// Returns the output tokens of a request. Nine in ten requests of its route get no more.
    pub(super) fn output_tokens(&self, request: &Request) -> f64 {
        let part = self.lengths.get(&request.route).copied().unwrap_or(1.0);
        f64::from(request.output_tokens) * part
    }
}
