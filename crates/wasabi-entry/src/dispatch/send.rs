//! Sends an attempt to its endpoint and opens the answer.

use std::rc::Rc;

use actix_http::header::HeaderName;
use wasabi_protocol::{clock::Millis, fault::Kind, id, request::End, rpc::Grant};
use wasabi_telemetry::trace;

use crate::{
    callers::{call::Call, response, server::Worker},
    dispatch::{
        client::{self, DispatchWindow},
        exchange,
    },
    opened::{Deadline, Failure, Opened},
};

/// Names the attempt, in the request and in the answer.
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("x-wasabi-attempt");

/// Names the first token that a resumed stream must send.
pub(crate) const RESUME_FROM: &str = "x-wasabi-resume-from";

/// On which connection an attempt goes out.
pub(crate) enum Line {
    /// One that may have carried earlier requests.
    Pooled,
    /// A new one.
    Fresh,
    /// A new one that checks the dispatch window before its first byte.
    Watched(Rc<DispatchWindow>),
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
    let (client, window) = match line {
        Line::Pooled => (worker.pooled.clone(), None),
        Line::Fresh => (client::single_use(None), None),
        Line::Watched(window) => (client::single_use(Some(Rc::clone(&window))), Some(window)),
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
        .insert_header((ATTEMPT, id.to_string()))
        .insert_header(("x-wasabi-deadline-ms", left.to_string()))
        .insert_header((trace::HEADER, context.to_string()));
    if let Some(from) = resume_from {
        request = request.insert_header((RESUME_FROM, from.to_string()));
    }
    let bound = bound.duration();
    let window = window.as_deref();
    let opened = exchange::send(request, call.body.clone(), deadline, bound, window).await?;
    if exchange::is_each(&opened.headers, &ATTEMPT, &id.to_string()) != Some(true) {
        let echoed = opened.headers.get(&ATTEMPT).map(exchange::shown);
        tracing::warn!(
            request = %call.id, endpoint = %grant.endpoint, attempt = %id, ?echoed,
            "crossed answer dropped"
        );
        opened.abandon();
        let message = "the endpoint answered for another attempt; its answer was dropped";
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    }
    opened.require_length()?;
    Ok(opened)
}

/// Returns until when a call is of use.
pub(crate) fn deadline(worker: &Worker, call: &Call) -> Deadline {
    Deadline { clock: worker.shared.clock, at: call.deadline }
}
