//! Notices in the responses of endpoints: that they leave, or accept no requests for some time.

use actix_http::{
    StatusCode,
    header::{self, HeaderMap, HeaderName},
};
use wasabi_protocol::{
    clock::Millis,
    rpc::{Departure, Grant},
};
use wasabi_routing::notice::{self, Notice};

use crate::{callers::server::Worker, message::Message};

/// Response header of an endpoint that leaves.
const LEAVING_HEADER: HeaderName = HeaderName::from_static("x-wasabi-leaving");

/// What a response says about further requests to its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notices {
    /// Whether the endpoint leaves.
    pub is_leaving: bool,
    /// Whether the endpoint wants a rest.
    pub rest: Rest,
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
    Notices { is_leaving, rest: Rest::read(status, headers) }
}

/// Records the notices in a response of the granted endpoint.
pub(crate) fn record(worker: &Worker, grant: &Grant, notices: Notices) {
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
