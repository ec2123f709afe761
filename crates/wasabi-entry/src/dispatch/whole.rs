//! Answers that are passed on whole: services and chat completions without a stream.

use actix_http::{Response, body::BoxBody, header};
use wasabi_protocol::{clock::Millis, command::Kept};

use crate::{
    callers::{call::Call, response, server::Worker},
    dispatch::{grant::GrantGuard, send},
    gate,
    opened::{Failure, Opened},
};

/// A whole answer and what a record keeps of it.
pub(crate) struct Whole {
    pub(crate) response: Response<BoxBody>,
    pub(crate) kept: Kept,
    pub(crate) is_server_error: bool,
}

/// Collects an answer.
///
/// # Errors
///
/// Returns the failure when the answer broke off, was silent for `bound` or is too large.
pub(crate) async fn collect(
    worker: &Worker,
    call: &Call,
    held: &mut GrantGuard,
    mut opened: Opened,
    bound: Millis,
) -> Result<Whole, Failure> {
    held.progress(0);
    let deadline = send::deadline(worker, call);
    let body = opened.collect(deadline, bound.duration(), || held.progress(0)).await?;
    let content_type = opened
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let kept = gate::answered(opened.status, content_type, &body);
    let response = response::from_endpoint(opened.status, &opened.headers, body);
    Ok(Whole { response, kept, is_server_error: opened.status.is_server_error() })
}
