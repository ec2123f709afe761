//! Responses to callers of the gateway.

use actix_http::{
    Response, StatusCode,
    body::{BoxBody, MessageBody},
    header::{self, HeaderMap, HeaderValue},
};
use wasabi_protocol::{
    clock::Millis,
    fault::{Fault, Kind, Ran, Retry},
};

use crate::{callers::response, forward::call::is_hop_by_hop};

/// `Retry-After` for requests that another entry can serve.
const RETRY_AT_OTHER_ENTRY: Millis = Millis(100);

/// `Retry-After` for requests that were refused for lack of capacity.
const RETRY_WHEN_OVERLOADED: Millis = Millis(600);

/// Returns the response for a fault.
///
/// A request that did not run gets a status that promises this, and the time after which it may be
/// sent again. Callers then retry even requests that must not run twice.
pub(crate) fn from_fault(fault: &Fault) -> Response<BoxBody> {
    let status = status(fault);
    let mut response = response::json(status, response::fault_json(fault));
    if let Some(pause) = retry_after(fault)
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", pause.seconds()))
    {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    // The unread rest of the body would be parsed as the next request on this connection.
    if matches!(fault.kind, Kind::BodyTooLarge | Kind::RequestTimeout | Kind::EntryDraining) {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

/// Returns the time after which the caller may retry, if the response states one.
pub(crate) fn retry_after(fault: &Fault) -> Option<Millis> {
    let status = status(fault);
    if status != StatusCode::SERVICE_UNAVAILABLE && status != StatusCode::TOO_MANY_REQUESTS {
        return None;
    }
    let pause = match fault.kind {
        Kind::EntryIsolated | Kind::EntryDraining | Kind::EndpointUnreachable => {
            RETRY_AT_OTHER_ENTRY
        }
        _ => RETRY_WHEN_OVERLOADED,
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
        // Callers take 503 as the promise that the request did not run.
        (Ran::MayHaveRun, ..) if table.status == 503 => StatusCode::BAD_GATEWAY,
        _ => StatusCode::from_u16(table.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns an endpoint's response, without its hop-by-hop headers.
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
        if !is_hop_by_hop(name) {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    response
}
