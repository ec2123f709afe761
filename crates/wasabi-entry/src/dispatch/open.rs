//! Sends an attempt and receives its response: up to the first token, or all of it when it is not
//! streamed.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use wasabi_protocol::{fault::Kind, id, request::End};

use crate::{
    callers::{
        call::{Call, Work},
        server::Worker,
    },
    dispatch::{
        client::DispatchWindow,
        complete::{self, CompleteResponse},
        events::{Reader, StreamError},
        grant::GrantGuard,
        relay,
        send::{self, Attempt, ConnectionMode},
    },
    endpoint_response::{Deadline, EndpointResponse, Failure},
    events::EVENT_BYTES_MAX,
    shared::new_attempt,
};

/// The response to an attempt.
pub(crate) enum ResponseStart {
    /// A stream, with the events up to its first token.
    Stream(Stream),
    /// A response that was received completely.
    Complete(CompleteResponse),
}

/// A stream that was read up to its first token.
pub(crate) struct Stream {
    pub(crate) opened: EndpointResponse,
    pub(crate) reader: Reader,
    pub(crate) first_events: Bytes,
    pub(crate) is_complete: bool,
}

/// Sends an attempt and waits for the start of its response.
///
/// A repeatable request is sent on a pooled connection. If no response arrives on it, the request
/// is sent once more on a new connection before the endpoint counts as silent.
///
/// # Errors
///
/// Returns how the attempt ended when no response started.
pub(crate) async fn open(
    worker: &Worker,
    call: &Call,
    guard: &mut GrantGuard,
    id: id::Attempt,
    window: Option<&Rc<DispatchWindow>>,
) -> Result<ResponseStart, Failure> {
    guard.mark_sent();
    if let Some(window) = window {
        return open_on(worker, call, guard, id, ConnectionMode::Guarded(Rc::clone(window))).await;
    }
    match open_on(worker, call, guard, id, ConnectionMode::Pooled).await {
        Err(failure) if failure.end == End::Silent => {
            let endpoint = &guard.grant().endpoint;
            tracing::info!(
                request = %call.id, %endpoint,
                "no response on a pooled connection; retrying on a new one"
            );
            let retried = open_on(worker, call, guard, new_attempt(), ConnectionMode::New).await;
            retried.map_err(|second| match second.end {
                End::Unreachable => failure,
                _ => second,
            })
        }
        result => result,
    }
}

async fn open_on(
    worker: &Worker,
    call: &Call,
    guard: &mut GrantGuard,
    id: id::Attempt,
    mode: ConnectionMode,
) -> Result<ResponseStart, Failure> {
    let span = call.span.child("dispatch");
    let grant = guard.grant().clone();
    let is_streamed = matches!(&call.work, Work::Chat(chat) if chat.stream);
    // An engine responds to a call without streaming only after its last token.
    let bound = match &call.work {
        Work::Chat(chat) if !chat.stream => call.deadline.since(call.arrived),
        Work::Chat(_) => grant.first_token_bound,
        // Calls of one service vary more in duration than prompts of one length, so a call is not
        // considered late before the target of its route.
        Work::Service { .. } => grant.first_token_bound.max(call.route.first_token_ms),
    };
    let context = span.context();
    let attempt = Attempt { call, grant: &grant, id, resume_from: None, mode, context };
    let mut opened = send::send(worker, attempt, bound).await?;
    let (deadline, clock) = (send::deadline(worker, call), worker.shared.clock);
    if !is_streamed || !opened.status.is_success() {
        return Ok(ResponseStart::Complete(
            complete::collect(worker, call, guard, opened, bound).await?,
        ));
    }
    if !opened.is_stream() {
        let message = "the endpoint did not respond to a streaming request with an event stream";
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    }
    let mut reader = Reader::new(id, 0);
    let mut first_events = BytesMut::new();
    let first_token_deadline = Deadline { at: call.deadline.min(clock.now() + bound), clock };
    loop {
        let chunk = opened.next(deadline, first_token_deadline.left()).await?;
        let Some(chunk) = chunk else {
            let message = "the stream ended before its first token";
            return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
        };
        let chunk = reader.read(&chunk).map_err(stream_failure)?;
        first_events.extend_from_slice(&chunk.events);
        // Events that carry no token must not accumulate without bound.
        if EVENT_BYTES_MAX < first_events.len() && reader.tokens() == 0 {
            return Err(stream_failure(StreamError::TooLong));
        }
        if 0 < reader.tokens() || chunk.is_complete {
            guard.record_progress(reader.tokens());
            let (first_events, is_complete) = (first_events.freeze(), chunk.is_complete);
            return Ok(ResponseStart::Stream(Stream { opened, reader, first_events, is_complete }));
        }
    }
}

fn stream_failure(error: StreamError) -> Failure {
    Failure::new(End::Failed, Kind::EndpointFailed, relay::describe(error))
}
