//! Opens the answer of an attempt up to its first token, or collects it whole.

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
        events::{Reader, StreamError},
        grant::GrantGuard,
        relay,
        send::{self, Attempt, Line},
        whole::{self, Whole},
    },
    events::EVENT_BYTES_MAX,
    opened::{Deadline, Failure, Opened},
    shared::new_attempt,
};

/// An answer that has begun.
pub(crate) enum Opening {
    /// A stream with its first events.
    Stream(Stream),
    /// A whole answer.
    Whole(Whole),
}

/// A stream up to its first token.
pub(crate) struct Stream {
    pub(crate) opened: Opened,
    pub(crate) reader: Reader,
    pub(crate) first: Bytes,
    pub(crate) is_whole: bool,
}

/// Sends an attempt and waits for the start of its answer.
///
/// A repeatable request goes out on a kept connection. When that stays silent, the request is
/// sent once more on a new one before the endpoint is judged.
///
/// # Errors
///
/// Returns how the attempt ended when the answer did not start.
pub(crate) async fn open(
    worker: &Worker,
    call: &Call,
    held: &mut GrantGuard,
    id: id::Attempt,
    window: Option<&Rc<DispatchWindow>>,
) -> Result<Opening, Failure> {
    held.sent();
    if let Some(window) = window {
        return open_on(worker, call, held, id, Line::Watched(Rc::clone(window))).await;
    }
    match open_on(worker, call, held, id, Line::Pooled).await {
        Err(failure) if failure.end == End::Silent => {
            let endpoint = &held.grant().endpoint;
            tracing::info!(request = %call.id, %endpoint, "silent connection is replaced");
            let again = open_on(worker, call, held, new_attempt(), Line::Fresh).await;
            again.map_err(|second| match second.end {
                End::Unreachable => failure,
                _ => second,
            })
        }
        opening => opening,
    }
}

async fn open_on(
    worker: &Worker,
    call: &Call,
    held: &mut GrantGuard,
    id: id::Attempt,
    line: Line,
) -> Result<Opening, Failure> {
    let span = call.span.child("dispatch");
    let grant = held.grant().clone();
    let is_streamed = matches!(&call.work, Work::Chat(chat) if chat.stream);
    // An engine answers a call without a stream only after its last token.
    let bound = match &call.work {
        Work::Chat(chat) if !chat.stream => call.deadline.since(call.arrived),
        Work::Chat(_) => grant.first_token_bound,
        // Calls of one service differ more than prompts of one length, so a call is not judged
        // before the target of its route.
        Work::Service { .. } => grant.first_token_bound.max(call.route.first_token_ms),
    };
    let context = span.context();
    let attempt = Attempt { call, grant: &grant, id, resume_from: None, line, context };
    let mut opened = send::send(worker, attempt, bound).await?;
    let (deadline, clock) = (send::deadline(worker, call), worker.shared.clock);
    if !is_streamed || !opened.status.is_success() {
        return Ok(Opening::Whole(whole::collect(worker, call, held, opened, bound).await?));
    }
    if !opened.is_stream() {
        let message = "the endpoint answered a streamed request without a stream";
        return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
    }
    let mut reader = Reader::new(id, 0);
    let mut first = BytesMut::new();
    let until = Deadline { at: call.deadline.min(clock.now() + bound), clock };
    loop {
        let chunk = opened.next(deadline, until.left()).await?;
        let Some(chunk) = chunk else {
            let message = "the stream stopped before its first token";
            return Err(Failure::new(End::Failed, Kind::EndpointFailed, message));
        };
        let chunk = reader.read(&chunk).map_err(malformed)?;
        first.extend_from_slice(&chunk.events);
        // Named events may come without end as well.
        if EVENT_BYTES_MAX < first.len() && reader.tokens() == 0 {
            return Err(malformed(StreamError::TooLong));
        }
        if 0 < reader.tokens() || chunk.is_complete {
            held.progress(reader.tokens());
            let (first, is_whole) = (first.freeze(), chunk.is_complete);
            return Ok(Opening::Stream(Stream { opened, reader, first, is_whole }));
        }
    }
}

fn malformed(malformed: StreamError) -> Failure {
    Failure::new(End::Failed, Kind::EndpointFailed, relay::describe(malformed))
}
