//! Sends an attempt to its endpoint and receives the response head.

use std::rc::Rc;

use actix_http::header::HeaderName;
use wasabi_protocol::{clock::Millis, fault::Kind, id, request::End, rpc::Grant};
use wasabi_telemetry::trace;

use crate::{
    callers::{call::Call, response, server::Worker},
    dispatch::{
        client::{self, DispatchWindow},
        exchange, notices,
    },
    endpoint_response::{Deadline, EndpointResponse, Failure},
};

/// Header with the id of the attempt, in the request and in the response.
pub(crate) const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("x-wasabi-attempt");

/// Header with the index of the first token that a resumed stream must send.
pub(crate) const RESUME_FROM_HEADER: &str = "x-wasabi-resume-from";

/// The kind of connection that an attempt is sent on.
pub(crate) enum ConnectionMode {
    /// A pooled connection, which may have carried earlier requests.
    Pooled,
    /// A new connection.
    New,
    /// A new connection that checks the dispatch window before the first byte is written.
    Guarded(Rc<DispatchWindow>),
}

/// One attempt to run a call.
pub(crate) struct Attempt<'a> {
    pub(crate) call: &'a Call,
    pub(crate) grant: &'a Grant,
    pub(crate) id: id::Attempt,
    pub(crate) resume_from: Option<u32>,
    pub(crate) mode: ConnectionMode,
    pub(crate) context: trace::Context,
}

/// Sends an attempt and returns its response once the head has arrived and names the attempt.
///
/// # Errors
///
/// Returns how the attempt ended when no such head arrived within `bound`.
pub(crate) async fn send(
    worker: &Worker,
    attempt: Attempt<'_>,
    bound: Millis,
) -> Result<EndpointResponse, Failure> {
    let Attempt { call, grant, id, resume_from, mode, context } = attempt;
    let (client, window) = match mode {
        ConnectionMode::Pooled => (worker.pooled.clone(), None),
        ConnectionMode::New => (client::single_use_client(None), None),
        ConnectionMode::Guarded(window) => {
            (client::single_use_client(Some(Rc::clone(&window))), Some(window))
        }
    };
    let uri = format!("http://{}{}", grant.address, call.path());
    let mut request = client.request(call.method.clone(), uri).no_decompress();
    for (name, value) in &call.headers {
        if response::is_forwarded(name) {
            request = request.append_header((name.clone(), value.clone()));
        }
    }
    let deadline = deadline(worker, call);
    let left = deadline.left().as_millis();
    request = request
        .insert_header((ATTEMPT_HEADER, id.to_string()))
        .insert_header(("x-wasabi-deadline-ms", left.to_string()))
        .insert_header((trace::HEADER, context.to_string()));
    if let Some(from) = resume_from {
        request = request.insert_header((RESUME_FROM_HEADER, from.to_string()));
    }
    let bound = bound.duration();
    let window = window.as_deref();
    let opened = exchange::send(request, call.body.clone(), deadline, bound, window).await?;
    if exchange::all_values_are(&opened.headers, &ATTEMPT_HEADER, &id.to_string()) != Some(true) {
        let echoed = opened.headers.get(&ATTEMPT_HEADER).map(exchange::log_excerpt);
        tracing::warn!(
            request = %call.id, endpoint = %grant.endpoint, attempt = %id, ?echoed,
            "discarding a response that names another attempt"
        );
        opened.abandon();
        let message = "the endpoint's response names another attempt and was discarded";
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    }
    let notices = notices::read(opened.status, &opened.headers);
    notices::record(worker, grant, opened.status, notices);
    opened.require_end()?;
    Ok(opened)
}

/// Returns the deadline of a call.
pub(crate) fn deadline(worker: &Worker, call: &Call) -> Deadline {
    Deadline { clock: worker.shared.clock, at: call.deadline }
}
