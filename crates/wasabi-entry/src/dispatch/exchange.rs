//! Sends one request to an endpoint and receives the response head, for `dispatch` and `forward`.

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
    endpoint_response::{Body, Deadline, EndpointResponse, Failure},
};

/// Most bytes of a header value that are logged, since an endpoint chooses its length.
const LOGGED_BYTES_MAX: usize = 64;

/// Sends a request and returns its response once the head has arrived. The caller of this function
/// checks that the response belongs to the request.
///
/// # Errors
///
/// Returns how the attempt ended when no head arrived within `bound`, or when the head is not that
/// of a final response.
pub(crate) async fn send(
    request: ClientRequest,
    body: Bytes,
    deadline: Deadline,
    bound: Duration,
    window: Option<&DispatchWindow>,
) -> Result<EndpointResponse, Failure> {
    let method = request.get_method().clone();
    let time = bound.min(deadline.left());
    let sending = connection::capture_connection(request.send_body(body));
    let Ok((sent, connection)) = tokio::time::timeout(time, sending).await else {
        return Err(timeout_failure(deadline, window));
    };
    let response = sent.map_err(|error| send_failure(&error, window))?;
    let Some(connection) = connection else {
        let message = "the HTTP client returned a response without using a connection";
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    };
    let (status, headers) = (response.status(), response.headers().clone());
    if status.is_informational() {
        // The HTTP client treats an informational head as the response, so the final response that
        // follows cannot be attributed to its request.
        connection.close();
        let message = format!("the endpoint sent {status} instead of a final response");
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    }
    let is_bodiless = is_bodiless(&method, status);
    let unframed = connection.take_unframed().filter(|_| !is_bodiless);
    let has_known_end = unframed.is_some() || is_bodiless || has_supported_framing(&headers);
    if !has_known_end {
        connection.close();
    }
    let is_exclusive = connection.is_exclusive();
    let body = match unframed {
        Some(unframed) => Body::until_close(connection, unframed),
        None => Body::new(connection, response.boxed_local()),
    };
    Ok(EndpointResponse { status, headers, body, has_known_end, is_exclusive })
}

/// Returns the start of an endpoint's header value, escaped, for a log line.
pub(crate) fn log_excerpt(value: &HeaderValue) -> String {
    let bytes = value.as_bytes();
    bytes[..bytes.len().min(LOGGED_BYTES_MAX)].escape_ascii().to_string()
}

/// Returns whether all values of a header equal `value`, or `None` when the header is missing.
pub(crate) fn all_values_are(headers: &HeaderMap, name: &HeaderName, value: &str) -> Option<bool> {
    let mut values = headers.get_all(name).peekable();
    values.peek()?;
    Some(values.all(|other| other.as_bytes() == value.as_bytes()))
}

/// Returns whether the head states where its body ends, in a form that the HTTP client supports.
/// The client treats the body as empty for other transfer codings and for an upgrade to WebSocket.
fn has_supported_framing(headers: &HeaderMap) -> bool {
    if let Some(coding) = headers.get(header::TRANSFER_ENCODING) {
        return coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    }
    let is_websocket = |name: &HeaderValue| name.as_bytes().eq_ignore_ascii_case(b"websocket");
    headers.contains_key(header::CONTENT_LENGTH)
        && !headers.get_all(header::UPGRADE).any(is_websocket)
}

/// Returns whether responses with this method and status never have a body.
fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn send_failure(error: &SendRequestError, window: Option<&DispatchWindow>) -> Failure {
    let is_unsent = match window {
        Some(window) => !window.is_sent(),
        // A reused connection that closes before the response also gives `Disconnected`, so only
        // other connect errors prove that nothing was sent.
        None => matches!(error, SendRequestError::Connect(cause)
            if !matches!(cause, ConnectError::Disconnected)),
    };
    if window.is_some_and(DispatchWindow::has_expired) {
        let message = "the dispatch window expired before the request was sent";
        return Failure::new(End::Abandoned, Kind::RecordUnavailable, message);
    }
    if is_unsent {
        let message = format!("connecting to the endpoint failed; nothing was sent: {error}");
        return Failure::new(End::Unreachable, Kind::EndpointUnreachable, message);
    }
    let message = format!("the connection failed after the request was sent: {error}");
    Failure::new(End::Broken, Kind::EndpointFailed, message)
}

fn timeout_failure(deadline: Deadline, window: Option<&DispatchWindow>) -> Failure {
    if window.is_some_and(|window| !window.is_sent()) {
        let message = "the endpoint did not accept a connection in time; nothing was sent";
        return Failure::new(End::Unreachable, Kind::EndpointUnreachable, message);
    }
    deadline.missed()
}
