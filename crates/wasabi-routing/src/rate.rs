//! Rates of requests that endpoints accept from all hosts together.
//!
//! The owner of an endpoint's pool spaces its grants, since it sees those of all entries. Entries
//! remember what endpoints said to them, and use no grant of an owner that does not know it. What was
//! observed last counts, whoever observed it; a rate holds for one incarnation.

use std::collections::HashMap;

use wasabi_protocol::{
    clock::Millis,
    id,
    rpc::{EndpointRate, NamedRate},
};

/// Maximum number of endpoints whose rates are kept.
pub const ENDPOINTS_MAX: usize = 4_096;

/// Time after which an observation is forgotten.
pub const OBSERVATION_TTL: Millis = Millis::from_secs(60);

/// Longest time between two requests to a limited endpoint. Without requests it could not say that it
/// accepts more again, even one that accepts none.
pub const SPACING_MAX: Millis = Millis::from_secs(10);

/// Time without requests that the next ones may make up for, in milliseconds. Requests come in bursts,
/// and an owner that decides in ticks must not stay below the rate.
const CATCH_UP_MS: f64 = 500.0;

/// Highest rate that an endpoint may name, per second. A higher one is taken for an error.
pub const RATE_MAX: f64 = 1_000_000.0;

/// Relative difference up to which two rates are the same, after a way through a text format.
const SAME_RATE_TOLERANCE: f64 = 1e-9;

/// What one process knows of the rates of endpoints.
#[derive(Debug, Default)]
pub struct Table {
    endpoints: HashMap<id::Endpoint, Known>,
}

/// What is known of one endpoint.
#[derive(Debug, Clone, Copy)]
struct Known {
    incarnation: u64,
    per_s: Option<f64>,
    /// When the response arrived that said so.
    observed: Millis,
    /// When the next request may be granted, in milliseconds.
    next_ms: f64,
}

/// The effect of an observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The rate that holds is another one than before, or the first one, or none any more.
    Changed,
    /// The same rate was named again, or the observation is older than what is known.
    Unchanged,
}

/// Whether a grant for an endpoint may be used by an entry that knows rates itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The owner knows the rate, or none holds.
    Usable,
    /// The endpoint named a rate that the owner does not know, so that its grants are not spaced.
    /// Contains the time between two requests at that rate.
    Unknown(Millis),
}

impl Table {
    /// Records what an endpoint said. An observation that is older than the known one of the same
    /// incarnation, or of an earlier incarnation, changes nothing.
    pub fn record(&mut self, now: Millis, rate: &EndpointRate) -> Change {
        let observed = now - rate.named.age;
        let known = self.endpoints.get(&rate.endpoint).copied();
        if known.is_some_and(|known| {
            rate.incarnation < known.incarnation
                || (rate.incarnation == known.incarnation && observed < known.observed)
        }) {
            return Change::Unchanged;
        }
        let before = known.filter(|known| known.incarnation == rate.incarnation);
        let per_s = rate.named.per_s;
        self.make_room(now, &rate.endpoint);
        let first_ms = now.0 as f64 + per_s.map_or(0.0, spacing_ms);
        let next_ms = match before {
            // Requests that were sent before the rate was known are not counted, so the first one
            // waits as long as after another one.
            None | Some(Known { per_s: None, .. }) => first_ms,
            Some(known) => known.next_ms.min(first_ms),
        };
        let known = Known { incarnation: rate.incarnation, per_s, observed, next_ms };
        self.endpoints.insert(rate.endpoint.clone(), known);
        let was = before.and_then(|before| before.per_s);
        if is_same(was, per_s) { Change::Unchanged } else { Change::Changed }
    }

    /// Returns what is known of an endpoint's incarnation.
    pub fn named(
        &self,
        now: Millis,
        endpoint: &id::Endpoint,
        incarnation: u64,
    ) -> Option<NamedRate> {
        let known = self.known(endpoint, incarnation)?;
        Some(NamedRate { per_s: known.per_s, age: now.since(known.observed) })
    }

    /// Returns the rate that an endpoint's incarnation named last, in requests per second.
    pub fn per_s(&self, endpoint: &id::Endpoint, incarnation: u64) -> Option<f64> {
        self.known(endpoint, incarnation)?.per_s
    }

    /// Returns whether the rate of an endpoint allows a request now.
    pub fn is_open(&self, now: Millis, endpoint: &id::Endpoint, incarnation: u64) -> bool {
        let known = self.known(endpoint, incarnation).filter(|known| known.per_s.is_some());
        known.is_none_or(|known| known.next_ms <= now.0 as f64)
    }

    /// Counts a request that is granted now.
    pub fn take(&mut self, now: Millis, endpoint: &id::Endpoint, incarnation: u64) {
        let Some(known) = self.endpoints.get_mut(endpoint) else { return };
        let Some(per_s) = known.per_s.filter(|_| known.incarnation == incarnation) else { return };
        known.next_ms = known.next_ms.max(now.0 as f64 - CATCH_UP_MS) + spacing_ms(per_s);
    }

    /// Judges a grant for an endpoint whose owner knows `of_owner`, and learns from it.
    pub fn judge(
        &mut self,
        now: Millis,
        endpoint: &id::Endpoint,
        incarnation: u64,
        of_owner: Option<NamedRate>,
    ) -> Verdict {
        if let Some(named) = of_owner {
            let rate = EndpointRate { endpoint: endpoint.clone(), incarnation, named };
            self.record(now, &rate);
        }
        let is_known_to_owner = of_owner.is_some_and(|named| named.per_s.is_some());
        let own = self.known(endpoint, incarnation);
        let fresh = own.filter(|known| now.since(known.observed) < OBSERVATION_TTL);
        match fresh.and_then(|known| known.per_s).filter(|_| !is_known_to_owner) {
            Some(per_s) => Verdict::Unknown(Millis(spacing_ms(per_s) as u64)),
            None => Verdict::Usable,
        }
    }

    /// Returns the rates that hold, for owners that may not know them.
    pub fn limited(&self, now: Millis) -> Vec<EndpointRate> {
        let fresh = |known: &Known| now.since(known.observed) < OBSERVATION_TTL;
        let limited = self.endpoints.iter();
        let limited = limited.filter(|(_, known)| known.per_s.is_some() && fresh(known));
        limited
            .map(|(endpoint, known)| EndpointRate {
                endpoint: endpoint.clone(),
                incarnation: known.incarnation,
                named: NamedRate { per_s: known.per_s, age: now.since(known.observed) },
            })
            .collect()
    }

    fn known(&self, endpoint: &id::Endpoint, incarnation: u64) -> Option<&Known> {
        self.endpoints.get(endpoint).filter(|known| known.incarnation == incarnation)
    }

    /// Forgets what is too old when the table is full and, if that does not suffice, the oldest.
    fn make_room(&mut self, now: Millis, endpoint: &id::Endpoint) {
        if self.endpoints.len() < ENDPOINTS_MAX || self.endpoints.contains_key(endpoint) {
            return;
        }
        self.endpoints.retain(|_, known| now.since(known.observed) < OBSERVATION_TTL);
        if self.endpoints.len() < ENDPOINTS_MAX {
            return;
        }
        let oldest = self.endpoints.iter().min_by_key(|(_, known)| known.observed);
        if let Some(oldest) = oldest.map(|(endpoint, _)| endpoint.clone()) {
            self.endpoints.remove(&oldest);
        }
    }
}

/// Returns whether two rates are the same.
pub fn is_same(one: Option<f64>, other: Option<f64>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => (one - other).abs() <= SAME_RATE_TOLERANCE * one.max(other),
        (one, other) => one.is_none() && other.is_none(),
    }
}

/// Returns the time between two requests at a rate, in milliseconds.
fn spacing_ms(per_s: f64) -> f64 {
    (1_000.0 / per_s).min(SPACING_MAX.0 as f64)
}

/// Parses a rate: requests per second, a decimal number that may be 0.
///
/// # Errors
///
/// Returns an error when the text is not a number, or the rate is negative or above [`RATE_MAX`].
pub fn parse(text: &str) -> Result<f64, InvalidRate> {
    let per_s: f64 = text.trim().parse().map_err(|_| InvalidRate)?;
    if !(0.0..=RATE_MAX).contains(&per_s) {
        return Err(InvalidRate);
    }
    Ok(per_s)
}

/// A rate that is not a number of requests per second within bounds. Remedy: correct the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRate;
