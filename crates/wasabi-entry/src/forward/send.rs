//! Sends an attempt to its endpoint and reads what comes back.

use std::time::Duration;

use actix_http::{StatusCode, header};
use awc::error::{ConnectError, SendRequestError};
use bytes::{Bytes, BytesMut};
use wasabi_protocol::{clock::Millis, fault::Kind, request::End, rpc::Grant};

use crate::{
    callers::server::Worker,
    dispatch::connect,
    forward::{call::Call, dialect::Dialect},
    opened::{Failure, Opened},
};

/// Largest answer that is collected, in bytes.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Sends a request and returns its answer once the head came and belongs to it.
///
/// # Errors
///
/// Returns how the attempt ended when no such head came within `bound`.
pub(crate) async fn send(
    worker: &Worker,
    dialect: &Dialect,
    call: &Call,
    grant: &Grant,
    last_event: Option<&str>,
    bound: Millis,
) -> Result<Opened, Failure> {
    // A kept connection that its endpoint has just closed leaves open whether the request ran.
    let client = if call.is_repeatable() { worker.pooled.clone() } else { connect::fresh(None) };
    let uri = format!("http://{}{}", grant.address, call.target);
    let mut request = client.request(call.method.clone(), uri).no_decompress();
    for (name, value) in &call.headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    let left = call.deadline.since(worker.shared.clock.now());
    request = request
        .insert_header((dialect.deadline.clone(), left.0.to_string()))
        .insert_header((dialect.endpoint.clone(), grant.endpoint.as_str()));
    if !call.organisation.as_str().is_empty() {
        request = request.insert_header((dialect.organisation.clone(), call.organisation.as_str()));
    }
    if let Some(last) = last_event {
        request = request.insert_header((dialect.last_event.clone(), last));
    }
    let time = bound.min(left).duration();
    let sent = tokio::time::timeout(time, request.send_body(call.body.clone())).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(failed(&error)),
        Err(_) => return Err(late(worker, call)),
    };
    let (status, headers) = (response.status(), response.headers().clone());
    let echoed = headers.get(&dialect.request).and_then(|value| value.to_str().ok());
    let is_refusal = headers.contains_key(&dialect.not_run) || status.as_u16() == 421;
    // A refusal may come without an id; one with another id is a late answer and says nothing of
    // this request.
    let is_own = echoed.map_or(is_refusal, |echoed| echoed == call.id);
    if !is_own {
        tracing::warn!(
            request = call.id, endpoint = %grant.endpoint, ?echoed,
            "dropped an answer that belongs to another request"
        );
        let message = "the endpoint answered another request; its answer was dropped";
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    }
    if is_refusal {
        let is_gone = status.as_u16() == 421;
        let end = if is_gone { End::Unreachable } else { End::Abandoned };
        let message = format!("the endpoint refused the request with {status}; it did not run");
        return Err(Failure::new(end, Kind::EndpointUnreachable, message));
    }
    let is_sized = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    if !is_sized && !is_bodiless(status) {
        // The HTTP library takes such an answer for an empty one.
        let message =
            "the endpoint's answer states no length, so that it cannot be passed on whole";
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    }
    Ok(Opened { status, headers, body: connect::checked(response) })
}

/// Returns the next bytes of an answer, within a bound on progress.
///
/// # Errors
///
/// Returns the failure when the connection broke, or nothing came within `bound`.
pub(crate) async fn next_chunk(
    worker: &Worker,
    call: &Call,
    opened: &mut Opened,
    bound: Duration,
) -> Result<Option<Bytes>, Failure> {
    let left = call.deadline.since(worker.shared.clock.now()).duration();
    let next = tokio::time::timeout(bound.min(left), opened.next()).await;
    next.unwrap_or_else(|_| Err(late(worker, call)))
}

/// Returns the whole body of an answer.
///
/// # Errors
///
/// Returns the failure when the answer broke off, came too late or is too large.
pub(crate) async fn collect(
    worker: &Worker,
    call: &Call,
    opened: &mut Opened,
) -> Result<Bytes, Failure> {
    let bound = call.deadline.since(call.arrived).duration();
    let mut body = BytesMut::new();
    while let Some(chunk) = next_chunk(worker, call, opened, bound).await? {
        if ANSWER_BYTES_MAX < body.len() + chunk.len() {
            let message = format!("the answer is larger than {ANSWER_BYTES_MAX} bytes");
            return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns whether answers with this status never have a body.
fn is_bodiless(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn failed(error: &SendRequestError) -> Failure {
    // A kept connection that closes before the answer counts as `Disconnected`, so only the other
    // connect errors prove that nothing was sent.
    let is_unsent = matches!(error, SendRequestError::Connect(cause)
        if !matches!(cause, ConnectError::Disconnected));
    if is_unsent {
        let message = format!("the endpoint cannot be reached, and nothing was sent: {error}");
        return Failure::new(End::Unreachable, Kind::EndpointUnreachable, message);
    }
    let message = format!("the connection broke after the request was sent: {error}");
    Failure::new(End::Broken, Kind::EndpointFailed, message)
}

fn late(worker: &Worker, call: &Call) -> Failure {
    if call.deadline <= worker.shared.clock.now() {
        let message = "the deadline passed while the request ran";
        return Failure::new(End::Abandoned, Kind::DeadlineRunning, message);
    }
    let message = "the endpoint made no progress within its bound";
    Failure::new(End::Silent, Kind::EndpointSilent, message)
}
