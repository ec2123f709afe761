//! One request to an endpoint and the head of its answer, for both kinds of callers.

use std::time::Duration;

use actix_http::{
    Method, StatusCode,
    header::{self, HeaderMap, HeaderName, HeaderValue},
};
use awc::{
    ClientRequest,
    error::{ConnectError, SendRequestError},
};
use bytes::Bytes;
use futures_util::StreamExt as _;
use wasabi_protocol::{fault::Kind, request::End};

use crate::{
    dispatch::{client::DispatchWindow, connection},
    opened::{Body, Deadline, Failure, Opened},
};

/// Bytes of a header value that go into a log line; an endpoint chooses its length.
const SHOWN_BYTES: usize = 64;

/// Sends a request and returns its answer once a head came. Whether it belongs to the request is
/// for the caller of this function to see.
///
/// # Errors
///
/// Returns how the attempt ended when no head came within `bound`, or one that is no answer.
pub(crate) async fn send(
    request: ClientRequest,
    body: Bytes,
    deadline: Deadline,
    bound: Duration,
    window: Option<&DispatchWindow>,
) -> Result<Opened, Failure> {
    let method = request.get_method().clone();
    let time = bound.min(deadline.left());
    let sending = connection::traced(request.send_body(body));
    let Ok((sent, connection)) = tokio::time::timeout(time, sending).await else {
        return Err(late(deadline, window));
    };
    let response = sent.map_err(|error| failed(&error, window))?;
    let Some(connection) = connection else {
        let message = "the HTTP client answered without a connection";
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    };
    let (status, headers) = (response.status(), response.headers().clone());
    if status.is_informational() {
        // The client takes each head for an answer; what follows this one can't be told apart.
        connection.close();
        let message = format!("the endpoint sent {status} where its answer was due");
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    }
    let has_known_length = is_framed(&headers) || is_bodiless(&method, status);
    if !has_known_length {
        connection.close();
    }
    let is_exclusive = connection.is_exclusive();
    let body = Body::new(connection, response.boxed_local());
    Ok(Opened { status, headers, body, has_known_length, is_exclusive })
}

/// Returns the part of an endpoint's header value that goes into a log line.
pub(crate) fn shown(value: &HeaderValue) -> String {
    let bytes = value.as_bytes();
    bytes[..bytes.len().min(SHOWN_BYTES)].escape_ascii().to_string()
}

/// Returns whether each value of a header is this one, or none when the header is missing.
pub(crate) fn is_each(headers: &HeaderMap, name: &HeaderName, value: &str) -> Option<bool> {
    let mut values = headers.get_all(name).peekable();
    values.peek()?;
    Some(values.all(|other| other.as_bytes() == value.as_bytes()))
}

/// Returns whether a head says where its body ends, in a way that the HTTP client heeds: it takes the
/// body for empty with any other coding and with an upgrade to WebSocket.
fn is_framed(headers: &HeaderMap) -> bool {
    if let Some(coding) = headers.get(header::TRANSFER_ENCODING) {
        return coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    }
    let is_websocket = |name: &HeaderValue| name.as_bytes().eq_ignore_ascii_case(b"websocket");
    headers.contains_key(header::CONTENT_LENGTH)
        && !headers.get_all(header::UPGRADE).any(is_websocket)
}

/// Returns whether such answers never have a body.
fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn failed(error: &SendRequestError, window: Option<&DispatchWindow>) -> Failure {
    let is_unsent = match window {
        Some(window) => !window.is_sent(),
        // A kept connection that closes before the answer counts as `Disconnected`, so only the
        // other connect errors prove that nothing was sent.
        None => matches!(error, SendRequestError::Connect(cause)
            if !matches!(cause, ConnectError::Disconnected)),
    };
    if window.is_some_and(DispatchWindow::is_late) {
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

fn late(deadline: Deadline, window: Option<&DispatchWindow>) -> Failure {
    if window.is_some_and(|window| !window.is_sent()) {
        let message = "the endpoint accepted no connection, and nothing was sent";
        return Failure::new(End::Unreachable, Kind::EndpointUnreachable, message);
    }
    deadline.missed()
}
