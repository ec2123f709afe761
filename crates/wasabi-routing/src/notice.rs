//! What endpoints say in their responses about further requests: that they leave, or that they
//! accept none for some time.

use std::collections::HashMap;

use wasabi_protocol::{clock::Millis, endpoint::Closed, id};

/// Longest rest that an endpoint may ask for. A longer one is taken for an error.
pub const REST_MAX: Millis = Millis::from_secs(3_600);

/// Maximum number of endpoints whose notices are kept.
pub const ENDPOINTS_MAX: usize = 4_096;

/// What an endpoint said about further requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// It leaves and accepts no more requests.
    Leaving,
    /// It accepts no requests for this time, in milliseconds.
    Rest(Millis),
}

/// Whether an endpoint accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It accepts requests.
    Open,
    /// It accepts requests again after this time, in milliseconds.
    Resting(Millis),
    /// It leaves.
    Leaving,
}

/// The notices of the endpoints to one entry.
///
/// Notices of one incarnation add up, so that their order does not matter: an endpoint that leaves
/// does not return, and of several rests the one that ends last counts.
#[derive(Debug, Default)]
pub struct Table {
    endpoints: HashMap<id::Endpoint, Known>,
    /// When the last rest of all ends, so that tables without rests are not searched.
    last_rest_ends: Millis,
}

/// The notices of one endpoint.
#[derive(Debug)]
struct Known {
    incarnation: u64,
    is_leaving: bool,
    rests_until: Millis,
    /// When the last notice arrived.
    noted: Millis,
}

impl Known {
    fn new(incarnation: u64) -> Self {
        Self { incarnation, is_leaving: false, rests_until: Millis::ZERO, noted: Millis::ZERO }
    }

    fn verdict(&self, now: Millis) -> Verdict {
        if self.is_leaving {
            return Verdict::Leaving;
        }
        match self.rests_until.since(now) {
            Millis::ZERO => Verdict::Open,
            left => Verdict::Resting(left),
        }
    }
}

impl Table {
    /// Records a notice of an endpoint's incarnation. Returns whether it is the first one that says
    /// that this incarnation leaves.
    pub fn record(
        &mut self,
        now: Millis,
        endpoint: &id::Endpoint,
        incarnation: u64,
        notice: Notice,
    ) -> bool {
        let is_known = self.endpoints.contains_key(endpoint);
        if !is_known && ENDPOINTS_MAX <= self.endpoints.len() {
            self.make_room(now);
        }
        let known = self.endpoints.entry(endpoint.clone()).or_insert(Known::new(incarnation));
        if incarnation < known.incarnation {
            return false;
        }
        if known.incarnation < incarnation {
            *known = Known::new(incarnation);
        }
        known.noted = known.noted.max(now);
        match notice {
            Notice::Leaving => !std::mem::replace(&mut known.is_leaving, true),
            Notice::Rest(time) => {
                known.rests_until = known.rests_until.max(now + time.min(REST_MAX));
                self.last_rest_ends = self.last_rest_ends.max(known.rests_until);
                false
            }
        }
    }

    /// Returns whether an endpoint's incarnation accepts requests.
    pub fn verdict(&self, now: Millis, endpoint: &id::Endpoint, incarnation: u64) -> Verdict {
        let known = self.endpoints.get(endpoint);
        let known = known.filter(|known| incarnation <= known.incarnation);
        known.map_or(Verdict::Open, |known| known.verdict(now))
    }

    /// Returns the endpoints that rest, for the owners of their pools. Those that leave are not
    /// among them, since owners remember departures themselves.
    pub fn resting(&self, now: Millis) -> Vec<Closed> {
        if self.last_rest_ends <= now {
            return Vec::new();
        }
        let resting = self.endpoints.iter().filter_map(|(endpoint, known)| {
            let Verdict::Resting(left) = known.verdict(now) else { return None };
            Some(Closed { endpoint: endpoint.clone(), incarnation: known.incarnation, left })
        });
        resting.collect()
    }

    /// Forgets the rests that have ended and, if there are none, the oldest notice.
    fn make_room(&mut self, now: Millis) {
        self.endpoints.retain(|_, known| known.verdict(now) != Verdict::Open);
        if self.endpoints.len() < ENDPOINTS_MAX {
            return;
        }
        let oldest = self.endpoints.iter().min_by_key(|(_, known)| known.noted);
        if let Some(oldest) = oldest.map(|(endpoint, _)| endpoint.clone()) {
            self.endpoints.remove(&oldest);
        }
    }
}

/// Parses the time of a `Retry-After` header: seconds, which may have a fraction.
///
/// # Errors
///
/// Returns an error when the text is not a number, or the time is negative or longer than
/// [`REST_MAX`].
pub fn parse_rest(text: &str) -> Result<Millis, InvalidRest> {
    let seconds: f64 = text.trim().parse().map_err(|_| InvalidRest)?;
    if !(0.0..=REST_MAX.seconds()).contains(&seconds) {
        return Err(InvalidRest);
    }
    Ok(Millis((seconds * 1_000.0).ceil() as u64))
}

/// A rest that is not a number of seconds within bounds. Remedy: correct the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRest;
