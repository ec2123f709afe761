//! Sends an attempt to its endpoint and opens the answer.

use std::{rc::Rc, time::Duration};

use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use wasabi_protocol::{clock::Millis, fault::Kind, id, request::End, rpc::Grant};
use wasabi_telemetry::trace;

use crate::{
    callers::{answer, call::Call, server::Worker},
    dispatch::connect::{self, Flight},
    opened::{Failure, Opened},
};

/// Names the attempt, in the request and in the answer.
pub(crate) const ATTEMPT: &str = "x-wasabi-attempt";

/// Names the first token that a resumed stream must send.
pub(crate) const RESUME_FROM: &str = "x-wasabi-resume-from";

/// On which connection an attempt goes out.
pub(crate) enum Line {
    /// One that may have carried earlier requests.
    Pooled,
    /// A new one.
    Fresh,
    /// A new one that checks the dispatch window before its first byte.
    Watched(Rc<Flight>),
}

/// One sending of a call.
pub(crate) struct Attempt<'a> {
    pub(crate) call: &'a Call,
    pub(crate) grant: &'a Grant,
    pub(crate) id: id::Attempt,
    pub(crate) resume_from: Option<u32>,
    pub(crate) line: Line,
    pub(crate) context: trace::Context,
}

/// Sends an attempt and returns its answer once the head came and names the attempt.
///
/// # Errors
///
/// Returns how the attempt ended when no such head came within `bound`.
pub(crate) async fn send(
    worker: &Worker,
    attempt: Attempt<'_>,
    bound: Millis,
) -> Result<Opened, Failure> {
    let Attempt { call, grant, id, resume_from, line, context } = attempt;
    let (client, flight) = match line {
        Line::Pooled => (worker.pooled.clone(), None),
        Line::Fresh => (connect::fresh(None), None),
        Line::Watched(flight) => (connect::fresh(Some(Rc::clone(&flight))), Some(flight)),
    };
    let uri = format!("http://{}{}", grant.address, call.path());
    let mut request = client.request(call.method.clone(), uri).no_decompress();
    for (name, value) in &call.headers {
        if answer::is_passed_on(name) {
            request = request.append_header((name.clone(), value.clone()));
        }
    }
    let left = call.deadline.since(worker.shared.clock.now());
    request = request
        .insert_header((ATTEMPT, id.to_string()))
        .insert_header(("x-wasabi-deadline-ms", left.0.to_string()))
        .insert_header((trace::HEADER, context.to_string()));
    if let Some(from) = resume_from {
        request = request.insert_header((RESUME_FROM, from.to_string()));
    }
    let time = bound.min(left).duration();
    let sent = tokio::time::timeout(time, request.send_body(call.body.clone())).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(failed(&error, flight.as_deref())),
        Err(_) => return Err(late(worker, call, flight.as_deref())),
    };
    let echoed = response.headers().get(ATTEMPT).and_then(|value| value.to_str().ok());
    if echoed != Some(id.to_string().as_str()) {
        tracing::warn!(endpoint = %grant.endpoint, attempt = %id, ?echoed, "crossed answer dropped");
        let message = "the endpoint answered for another attempt; its answer was dropped";
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    }
    let (status, headers) = (response.status(), response.headers().clone());
    Ok(Opened { status, headers, body: connect::checked(response) })
}

/// Returns the next chunk of an answer, within a bound on progress.
///
/// # Errors
///
/// Returns the failure when the connection broke, or none came within `bound`.
pub(crate) async fn next_chunk(
    worker: &Worker,
    call: &Call,
    opened: &mut Opened,
    bound: Duration,
) -> Result<Option<Bytes>, Failure> {
    let left = call.deadline.since(worker.shared.clock.now()).duration();
    let next = tokio::time::timeout(bound.min(left), opened.next()).await;
    next.unwrap_or_else(|_| Err(late(worker, call, None)))
}

fn failed(error: &SendRequestError, flight: Option<&Flight>) -> Failure {
    let is_unsent = match flight {
        Some(flight) => !flight.is_sent(),
        // A pooled connection that closes before the answer counts as `Disconnected`, so only
        // the other connect errors prove that nothing was sent.
        None => matches!(error, SendRequestError::Connect(cause)
            if !matches!(cause, ConnectError::Disconnected)),
    };
    if flight.is_some_and(Flight::is_late) {
        let message = "the entry was held up past the dispatch window; nothing was sent";
        return Failure::new(End::Abandoned, Kind::RecordUnavailable, message);
    }
    if is_unsent {
        let message = format!("the endpoint cannot be reached, and nothing was sent: {error}");
        return Failure::new(End::Unreachable, Kind::EndpointUnreachable, message);
    }
    let message = format!("the connection broke after the request was sent: {error}");
    Failure::new(End::Broken, Kind::EndpointFailed, message)
}

fn late(worker: &Worker, call: &Call, flight: Option<&Flight>) -> Failure {
    if flight.is_some_and(|flight| !flight.is_sent()) {
        let message = "the endpoint accepted no connection, and nothing was sent";
        return Failure::new(End::Unreachable, Kind::EndpointUnreachable, message);
    }
    if call.deadline <= worker.shared.clock.now() {
        let message = "the deadline passed while the request ran";
        return Failure::new(End::Abandoned, Kind::DeadlineRunning, message);
    }
    let message = "the endpoint made no progress within its bound";
    Failure::new(End::Silent, Kind::EndpointSilent, message)
}
