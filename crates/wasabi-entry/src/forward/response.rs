//! Answers to callers whose requests are passed on.

use actix_http::{
    Response, StatusCode,
    body::{BoxBody, MessageBody},
    header::{self, HeaderMap, HeaderValue},
};
use wasabi_protocol::{
    clock::Millis,
    fault::{Fault, Kind, Ran, Retry},
};

use crate::{callers::response, forward::call::is_of_hop};

/// Pause after which a refused request is sent again to another entry.
const ELSEWHERE: Millis = Millis(100);

/// Pause after which a request that found no room is sent again.
const CROWDED: Millis = Millis(600);

/// Returns the answer for a fault.
///
/// A request that did not run gets a status that promises so, with the time after which it may be
/// sent again; callers then repeat also what must not run twice.
pub(crate) fn from_fault(fault: &Fault) -> Response<BoxBody> {
    let status = status(fault);
    let mut response = response::json(status, response::fault_json(fault));
    if let Some(pause) = retry_after(fault)
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", pause.seconds()))
    {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    // The rest of a body that was not read would stand before the next request.
    if matches!(fault.kind, Kind::BodyTooLarge | Kind::RequestTimeout | Kind::EntryDraining) {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

/// Returns the time after which the caller is told to come back, when it is told one.
pub(crate) fn retry_after(fault: &Fault) -> Option<Millis> {
    let status = status(fault);
    if status != StatusCode::SERVICE_UNAVAILABLE && status != StatusCode::TOO_MANY_REQUESTS {
        return None;
    }
    let pause = match fault.kind {
        Kind::EntryIsolated | Kind::EntryDraining | Kind::EndpointUnreachable => ELSEWHERE,
        _ => CROWDED,
    };
    Some(fault.retry_after.unwrap_or(pause))
}

fn status(fault: &Fault) -> StatusCode {
    let table = fault.kind.answer();
    match (table.ran, table.retry, fault.kind) {
        (Ran::NotRun, _, Kind::LimitReached) => StatusCode::TOO_MANY_REQUESTS,
        (Ran::NotRun, Retry::Safe | Retry::WithKey, kind) if kind != Kind::RequestTimeout => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        (Ran::NotRun, _, Kind::Quarantined) => StatusCode::SERVICE_UNAVAILABLE,
        // No status may promise more than is known.
        (Ran::MayHaveRun, ..) if table.status == 503 => StatusCode::BAD_GATEWAY,
        _ => StatusCode::from_u16(table.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns an endpoint's answer.
pub(crate) fn from_endpoint(
    status: StatusCode,
    headers: &HeaderMap,
    body: impl MessageBody + 'static,
) -> Response<BoxBody> {
    let mut response = Response::build(status).message_body(body).map_or_else(
        |_| Response::new(StatusCode::INTERNAL_SERVER_ERROR),
        Response::map_into_boxed_body,
    );
    for (name, value) in headers {
        if !is_of_hop(name) {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    response
}
