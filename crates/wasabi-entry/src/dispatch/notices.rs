//! Notices in the responses of endpoints: that they leave, or accept no requests for some time.

use actix_http::{
    StatusCode,
    header::{self, HeaderMap, HeaderName},
};
use wasabi_protocol::{
    clock::Millis,
    rpc::{Departure, EndpointRate, Grant, NamedRate, RateReport},
};
use wasabi_routing::{
    notice::{self, Notice},
    rate,
};

use crate::{callers::server::Worker, message::Message};

/// Response header with the requests per second that an endpoint accepts from all hosts together.
const RATE_HEADER: HeaderName = HeaderName::from_static("x-wasabi-rate");

/// Response header of an endpoint that leaves.
const LEAVING_HEADER: HeaderName = HeaderName::from_static("x-wasabi-leaving");

/// What a response says about further requests to its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Notices {
    /// Whether the endpoint leaves.
    pub is_leaving: bool,
    /// Whether the endpoint wants a rest.
    pub rest: Rest,
    /// The rate of requests that the endpoint accepts.
    pub rate: Rate,
}

/// The rate that a response names.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Rate {
    /// None.
    #[default]
    Absent,
    /// The endpoint accepts so many requests per second from all hosts together.
    PerSecond(f64),
    /// The stated rate is not a number of requests within bounds.
    Invalid,
}

impl Rate {
    /// Reads the rate in this header.
    pub fn read(header: &HeaderName, headers: &HeaderMap) -> Self {
        let Some(value) = headers.get(header) else { return Self::Absent };
        let parsed = value.to_str().map(rate::parse);
        parsed.map_or(Self::Invalid, |rate| rate.map_or(Self::Invalid, Self::PerSecond))
    }
}

/// The rest that a response asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Rest {
    /// None.
    #[default]
    Absent,
    /// The endpoint accepts no requests for this time, in milliseconds.
    For(Millis),
    /// The stated time is not a number of seconds within bounds.
    Invalid,
}

impl Rest {
    /// Reads the rest that a refusal with this status asks for in `Retry-After`. The value may have
    /// a fraction.
    pub fn read(status: StatusCode, headers: &HeaderMap) -> Self {
        let value = headers.get(header::RETRY_AFTER);
        let Some(value) = value.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) else {
            return Self::Absent;
        };
        let parsed = value.to_str().map(notice::parse_rest);
        parsed.map_or(Self::Invalid, |rest| rest.map_or(Self::Invalid, Self::For))
    }
}

/// Reads the notices of an endpoint that speaks this system's own interface.
pub(super) fn read(status: StatusCode, headers: &HeaderMap) -> Notices {
    let is_leaving = headers.get(LEAVING_HEADER).is_some_and(|value| value.as_bytes() == b"1");
    Notices {
        is_leaving,
        rest: Rest::read(status, headers),
        rate: Rate::read(&RATE_HEADER, headers),
    }
}

/// Records the notices in a response of the granted endpoint.
pub(crate) fn record(worker: &Worker, grant: &Grant, status: StatusCode, notices: Notices) {
    record_rate(worker, grant, status, notices.rate);
    let (shared, endpoint) = (&worker.shared, &grant.endpoint);
    let (now, incarnation) = (shared.clock.now(), grant.incarnation);
    if notices.is_leaving && shared.notices().record(now, endpoint, incarnation, Notice::Leaving) {
        tracing::info!(%endpoint, incarnation, "endpoint says that it leaves");
        report_departure(worker, grant);
    }
    match notices.rest {
        Rest::Absent => {}
        Rest::For(rest) => {
            shared.metrics.rests.inc();
            tracing::info!(%endpoint, rest_ms = rest.0, "endpoint accepts no requests for a while");
            shared.notices().record(now, endpoint, incarnation, Notice::Rest(rest));
        }
        Rest::Invalid => {
            let count = shared.metrics.invalid_rests.inc() + 1;
            // An endpoint may repeat it with every response.
            if count.is_power_of_two() {
                tracing::warn!(%endpoint, count, "ignoring an invalid Retry-After of an endpoint");
            }
        }
    }
}

/// Reports to the pool's owner that the granted endpoint leaves.
pub(super) fn report_departure(worker: &Worker, grant: &Grant) {
    let departure = Departure {
        endpoint: grant.endpoint.clone(),
        incarnation: Some(grant.incarnation),
        age: Millis::ZERO,
    };
    worker.handle.send(Message::Departed { pool: grant.pool.clone(), departure });
}

/// Records the rate that a response names, and reports it to the pool's owner when its grant shows
/// that it knows another one.
///
/// A success without a rate ends the one that the owner knew when it granted the request: it was sent
/// after that, so the endpoint accepts more again.
fn record_rate(worker: &Worker, grant: &Grant, status: StatusCode, rate: Rate) {
    let shared = &worker.shared;
    let known = grant.rate.and_then(|named| named.per_s);
    let per_s = match rate {
        Rate::PerSecond(per_s) => Some(per_s),
        Rate::Absent if known.is_some() && status.is_success() => None,
        Rate::Absent => return,
        Rate::Invalid => {
            let count = shared.metrics.invalid_rates.inc() + 1;
            // An endpoint may repeat it with every response.
            if count.is_power_of_two() {
                let endpoint = &grant.endpoint;
                tracing::warn!(%endpoint, count, "ignoring an invalid rate of an endpoint");
            }
            return;
        }
    };
    let named = NamedRate { per_s, age: Millis::ZERO };
    let (endpoint, incarnation) = (grant.endpoint.clone(), grant.incarnation);
    let rate = EndpointRate { endpoint, incarnation, named };
    shared.rates().record(shared.clock.now(), &rate);
    if !rate::is_same(known, per_s) {
        let report = RateReport { pool: grant.pool.clone(), rates: vec![rate] };
        worker.handle.send(Message::Rates(report));
    }
}

/// Reports the rates that this entry knows to the pool's owner, whose grant shows that it does not know
/// that of the granted endpoint.
pub(super) fn report_rates(worker: &Worker, grant: &Grant) {
    let shared = &worker.shared;
    shared.metrics.unpaced_grants.inc();
    let rates = shared.rates().limited(shared.clock.now());
    worker.handle.send(Message::Rates(RateReport { pool: grant.pool.clone(), rates }));
}
