//! Sends an attempt to its endpoint and receives the response head.

use actix_http::StatusCode;
use wasabi_protocol::{clock::Millis, fault::Kind, request::End, rpc::Grant};

use crate::{
    callers::server::Worker,
    dispatch::{client, exchange, notices},
    endpoint_response::{Deadline, EndpointResponse, Failure},
    forward::{call::Call, dialect::Dialect},
};

/// Sends a request and returns its response once the head has arrived and is known to belong to the
/// request.
///
/// # Errors
///
/// Returns how the attempt ended when no such head arrived within `bound`.
pub(crate) async fn send(
    worker: &Worker,
    dialect: &Dialect,
    call: &Call,
    grant: &Grant,
    last_event: Option<&str>,
    bound: Millis,
) -> Result<EndpointResponse, Failure> {
    // If the endpoint closes a pooled connection, it is unknown whether the request ran.
    let client =
        if call.is_repeatable() { worker.pooled.clone() } else { client::single_use_client(None) };
    let uri = format!("http://{}{}", grant.address, call.target);
    let mut request = client.request(call.method.clone(), uri).no_decompress();
    for (name, value) in &call.headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    let deadline = deadline(worker, call);
    let left = deadline.left().as_millis();
    request = request
        .insert_header((dialect.deadline.clone(), left.to_string()))
        .insert_header((dialect.endpoint.clone(), grant.endpoint.as_str()));
    if !call.organisation.as_str().is_empty() {
        request = request.insert_header((dialect.organisation.clone(), call.organisation.as_str()));
    }
    if let Some(last) = last_event {
        request = request.insert_header((dialect.last_event.clone(), last));
    }
    let bound = bound.duration();
    let opened = exchange::send(request, call.body.clone(), deadline, bound, None).await?;
    let EndpointResponse { status, headers, .. } = &opened;
    let is_refusal = headers.contains_key(&dialect.not_run) || status.as_u16() == 421;
    // A refusal may lack the request id, but on a reused connection it could then belong to an
    // earlier request.
    let belongs_to_call = exchange::all_values_are(headers, &dialect.request, &call.id)
        .unwrap_or(is_refusal && opened.is_exclusive);
    if !belongs_to_call {
        let echoed = headers.get(&dialect.request).map(exchange::log_excerpt);
        tracing::warn!(
            request = call.id, endpoint = %grant.endpoint, %status, ?echoed,
            "discarding a response that may belong to another request"
        );
        opened.abandon();
        let message = "the endpoint's response may belong to another request and was discarded";
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    }
    let is_misdirected = status.as_u16() == 421;
    // A misdirected request reached another endpoint than the granted one.
    if !is_misdirected {
        notices::record(worker, grant, *status, (dialect.notices)(*status, headers));
    }
    let is_failure = status.is_client_error() || status.is_server_error();
    if (is_refusal && !is_failure) || (!is_refusal && promises_not_run(*status)) {
        let message =
            format!("the endpoint responded with {status}; it is unknown whether the request ran");
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    }
    if is_refusal {
        let end = if is_misdirected { End::Unreachable } else { End::Abandoned };
        let message =
            format!("the endpoint refused the request with {status}; the request did not run");
        return Err(Failure::new(end, Kind::EndpointUnreachable, message));
    }
    opened.require_end()?;
    Ok(opened)
}

/// Returns whether callers take a status as the promise that their request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    use StatusCode as S;
    matches!(status, S::REQUEST_TIMEOUT | S::TOO_MANY_REQUESTS | S::SERVICE_UNAVAILABLE)
}

/// Returns the deadline of a call.
pub(crate) fn deadline(worker: &Worker, call: &Call) -> Deadline {
    Deadline { clock: worker.shared.clock, at: call.deadline }
}
