//! HTTP responses to callers and endpoints.

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use serde::Serialize;
use wasabi_border::{ErrorAnswer, ErrorDetail, ErrorDetailRan, ErrorDetailRetry};
use wasabi_protocol::{
    command::Kept,
    fault::{Fault, Kind, Ran, Retry},
};

/// Response header with the id of the request.
pub(crate) const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-wasabi-request");

/// Response header that states whether the request ran, as far as is known.
pub(crate) const RAN_HEADER: HeaderName = HeaderName::from_static("x-wasabi-ran");

/// `Retry-After` of refused requests, in seconds.
const RETRY_AFTER_S: &str = "1";

/// The response body for a key whose outcome is known but whose first response body was not stored.
#[derive(Debug)]
#[derive(Serialize)]
struct OutcomeBody {
    outcome: OutcomeDetail,
}

#[derive(Debug)]
#[derive(Serialize)]
struct OutcomeDetail {
    ran: Ran,
    status: Option<u16>,
    answer: &'static str,
}

/// Returns the JSON body that describes a fault.
pub(crate) fn fault_json(fault: &Fault) -> String {
    let answer = fault.kind.answer();
    let ran = match answer.ran {
        Ran::NotRun => ErrorDetailRan::NotRun,
        Ran::MayHaveRun => ErrorDetailRan::MayHaveRun,
        Ran::Ran => ErrorDetailRan::Ran,
    };
    let retry = match answer.retry {
        Retry::Safe => ErrorDetailRetry::Safe,
        Retry::WithKey => ErrorDetailRetry::WithKey,
        Retry::Useless => ErrorDetailRetry::Useless,
    };
    let (kind, message) = (fault.kind.to_string(), fault.message.clone());
    let body = ErrorAnswer { error: ErrorDetail { kind, message, ran, retry } };
    serde_json::to_string(&body).unwrap_or_default()
}

/// Returns the response for a fault, by the table in `fault::Kind::answer`.
pub(crate) fn from_fault(fault: &Fault) -> Response<BoxBody> {
    let answer = fault.kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, fault_json(fault));
    set_ran_header(&mut response, answer.ran);
    if answer.retry == Retry::Safe {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    // The unread rest of the body would be parsed as the next request on this connection.
    if matches!(fault.kind, Kind::BodyTooLarge | Kind::RequestTimeout | Kind::EntryDraining) {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

/// Returns the error event that ends a failed stream.
pub(crate) fn fault_event(fault: &Fault) -> Bytes {
    format!("event: error\ndata: {}\n\n", fault_json(fault)).into()
}

/// Returns the response for an idempotency key that already has an outcome.
pub(crate) fn from_kept(outcome: &Kept) -> Response<BoxBody> {
    let status = outcome.status.and_then(|status| StatusCode::from_u16(status).ok());
    let Some(body) = &outcome.body else {
        let status = status.unwrap_or(StatusCode::CONFLICT);
        let detail = OutcomeDetail { ran: outcome.ran, status: outcome.status, answer: "not_kept" };
        let text = serde_json::to_string(&OutcomeBody { outcome: detail }).unwrap_or_default();
        let mut response = json(status, text);
        set_ran_header(&mut response, outcome.ran);
        return response;
    };
    let status = status.unwrap_or(StatusCode::OK);
    let mut response = Response::build(status)
        .content_type(outcome.content_type.as_str())
        .body(body.clone())
        .map_into_boxed_body();
    set_ran_header(&mut response, outcome.ran);
    response
}

/// Returns an endpoint's response with only the headers that are forwarded.
pub(crate) fn from_endpoint(
    status: StatusCode,
    headers: &HeaderMap,
    body: impl actix_http::body::MessageBody + 'static,
) -> Response<BoxBody> {
    let mut response = Response::build(status).message_body(body).map_or_else(
        |_| Response::new(StatusCode::INTERNAL_SERVER_ERROR),
        Response::map_into_boxed_body,
    );
    for (name, value) in headers {
        if is_forwarded(name) {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    set_ran_header(&mut response, ran_for_status(status));
    response
}

/// Returns whether the request ran, judged by the endpoint's status. After a server error it is
/// unknown how much of the request took effect.
pub(crate) fn ran_for_status(status: StatusCode) -> Ran {
    if status.is_server_error() { Ran::MayHaveRun } else { Ran::Ran }
}

/// Returns a JSON response.
pub(crate) fn json(status: StatusCode, text: String) -> Response<BoxBody> {
    Response::build(status).content_type("application/json").body(text).map_into_boxed_body()
}

/// Sets the header that states whether the request ran.
pub(crate) fn set_ran_header(response: &mut Response<BoxBody>, ran: Ran) {
    response.headers_mut().insert(RAN_HEADER, HeaderValue::from_static(ran.as_str()));
}

/// Returns whether a header is forwarded between caller and endpoint: hop-by-hop headers and those
/// that the entry sets itself are not.
pub(crate) fn is_forwarded(name: &HeaderName) -> bool {
    let is_dropped = matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "host"
            | "authorization"
            | "expect"
            | "date"
            | "traceparent"
    );
    !is_dropped && !name.as_str().starts_with("x-wasabi-")
}
