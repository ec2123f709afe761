//! Responses that are forwarded in one piece: services, and chat completions without streaming.

use actix_http::{Response, body::BoxBody, header};
use wasabi_protocol::{clock::Millis, command::Kept};

use crate::{
    at_most_once,
    callers::{call::Call, response, server::Worker},
    dispatch::{grant::GrantGuard, send},
    endpoint_response::{EndpointResponse, Failure},
};

/// A complete response, and the outcome that its at-most-once record stores.
pub(crate) struct CompleteResponse {
    pub(crate) response: Response<BoxBody>,
    pub(crate) outcome: Kept,
    pub(crate) is_server_error: bool,
}

/// Receives the rest of a response.
///
/// # Errors
///
/// Returns the failure when the response was cut, made no progress for `bound` or is too large.
pub(crate) async fn collect(
    worker: &Worker,
    call: &Call,
    guard: &mut GrantGuard,
    mut opened: EndpointResponse,
    bound: Millis,
) -> Result<CompleteResponse, Failure> {
    guard.record_progress(0);
    let deadline = send::deadline(worker, call);
    let body = opened
        .collect(&worker.shared.buffers, deadline, bound.duration(), || guard.record_progress(0))
        .await?;
    let content_type = opened
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let outcome = at_most_once::answered(opened.status, content_type, &body);
    let response = response::from_endpoint(opened.status, &opened.headers, body);
    Ok(CompleteResponse { response, outcome, is_server_error: opened.status.is_server_error() })
}
