//! Forwards a token stream to the caller and ends it with `[DONE]` or with an error event.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use actix_http::{
    StatusCode,
    body::{BodySize, MessageBody},
};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt as _, future::LocalBoxFuture};
use tokio::time::{Instant, Sleep, sleep_until};
use wasabi_protocol::{
    command::KEPT_BODY_BYTES_MAX,
    fault::{Fault, Kind},
    request::End,
};

use crate::{
    at_most_once::{self, Record},
    callers::{call::Call, response, server::Worker},
    dispatch::{
        events::{Reader, StreamError},
        grant::GrantGuard,
        send::{self, Attempt, ConnectionMode},
    },
    endpoint_response::{EndpointResponse, Failure},
    shared::{OpenRequest, new_attempt},
};

/// The event that marks the end of a complete stream for the caller.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Most resumes of one stream.
const RESUMES_MAX: u32 = 3;

/// An attempt whose stream is to be forwarded.
pub(crate) struct StartedStream {
    pub(crate) worker: Rc<Worker>,
    pub(crate) call: Rc<Call>,
    pub(crate) guard: GrantGuard,
    pub(crate) record: Option<Record>,
    pub(crate) opened: EndpointResponse,
    pub(crate) reader: Reader,
    /// Events that were already read, including the first token.
    pub(crate) first_events: Bytes,
    pub(crate) is_complete: bool,
    pub(crate) open: OpenRequest,
}

type Resume = LocalBoxFuture<'static, Result<(EndpointResponse, Reader), Failure>>;

enum State {
    Streaming,
    Resuming(Resume),
    Ended,
}

/// The body of a streamed response.
pub(crate) struct Relay {
    worker: Rc<Worker>,
    call: Rc<Call>,
    guard: Option<GrantGuard>,
    record: Option<Record>,
    opened: EndpointResponse,
    reader: Reader,
    first_events: Option<(Bytes, bool)>,
    state: State,
    timer: Pin<Box<Sleep>>,
    last_progress: Instant,
    deadline: Instant,
    resumes: u32,
    recorded_body: BytesMut,
    _open: OpenRequest,
}

impl Relay {
    /// Returns the response body for a started stream.
    pub(crate) fn new(started: StartedStream) -> Self {
        let StartedStream {
            worker,
            call,
            guard,
            record,
            opened,
            reader,
            first_events,
            is_complete,
            open,
        } = started;
        let now = Instant::now();
        let deadline = now + call.deadline.since(worker.shared.clock.now()).duration();
        let bound = guard.grant().between_tokens_bound.duration();
        Self {
            timer: Box::pin(sleep_until(deadline.min(now + bound))),
            worker,
            call,
            guard: Some(guard),
            record,
            opened,
            reader,
            first_events: Some((first_events, is_complete)),
            state: State::Streaming,
            last_progress: now,
            deadline,
            resumes: 0,
            recorded_body: BytesMut::new(),
            _open: open,
        }
    }

    /// Records the progress of the stream and returns the events to send to the caller.
    fn forward(&mut self, events: Bytes, is_complete: bool) -> Option<Bytes> {
        if let Some(guard) = &mut self.guard {
            guard.record_progress(self.reader.tokens());
        }
        if self.record.is_some() && self.recorded_body.len() <= KEPT_BODY_BYTES_MAX {
            self.recorded_body.extend_from_slice(&events);
        }
        if is_complete {
            return Some(self.finish(&events));
        }
        (!events.is_empty()).then_some(events)
    }

    /// Ends a complete stream.
    fn finish(&mut self, events: &[u8]) -> Bytes {
        self.state = State::Ended;
        self.opened.body.close();
        let mut final_chunk = BytesMut::with_capacity(events.len() + DONE_EVENT.len());
        final_chunk.extend_from_slice(events);
        final_chunk.extend_from_slice(DONE_EVENT);
        if let Some(record) = self.record.take() {
            self.recorded_body.extend_from_slice(DONE_EVENT);
            record.finish(at_most_once::answered(
                StatusCode::OK,
                "text/event-stream",
                &self.recorded_body,
            ));
        }
        if let Some(guard) = self.guard.take() {
            let (shared, route) = (&self.worker.shared, &self.call.route);
            shared.finished(route.tier, &route.name, self.call.arrived);
            if guard.first_token().is_some_and(|first| first <= self.call.route.first_token_ms) {
                shared.metrics.goodput.get_or_create(&route.tier.into()).inc();
            }
            guard.end(End::Finished);
        }
        final_chunk.freeze()
    }

    /// Ends the stream with an error event.
    fn fail(&mut self, end: End, fault: &Fault) -> Bytes {
        self.state = State::Ended;
        // Close now: the caller may read the rest slowly, and the endpoint must stop working.
        self.opened.body.close();
        let metrics = &self.worker.shared.metrics;
        metrics.refused(fault.kind, Some(self.call.route.tier));
        if let Some(record) = self.record.take() {
            record.finish(at_most_once::unknown());
        }
        if let Some(guard) = self.guard.take() {
            tracing::info!(
                request = %self.call.id, endpoint = %guard.grant().endpoint,
                tokens = self.reader.tokens(), ?end, %fault, "stream failed"
            );
            metrics.wasted_prefill.inc_by(u64::from(
                self.call.request(self.worker.shared.clock.now(), new_attempt(), &[]).prompt_tokens,
            ));
            guard.end(end);
        }
        response::fault_event(fault)
    }

    fn fail_deadline(&mut self) -> Bytes {
        let message = "the deadline passed during the stream";
        self.fail(End::Abandoned, &Fault::new(Kind::DeadlineRunning, message))
    }

    /// Starts to resume a broken or silent stream on a new connection, or ends it with an error.
    fn recover(&mut self, end: End, fault: &Fault) -> Option<Bytes> {
        let resumable = self.guard.as_ref().filter(|guard| {
            guard.grant().resume
                && self.record.is_none()
                && self.resumes < RESUMES_MAX
                && Instant::now() < self.deadline
        });
        let Some(guard) = resumable else { return Some(self.fail(end, fault)) };
        self.opened.body.close();
        self.resumes += 1;
        self.worker.shared.metrics.resumes.inc();
        let (worker, call) = (Rc::clone(&self.worker), Rc::clone(&self.call));
        let (grant, tokens) = (guard.grant().clone(), self.reader.tokens());
        tracing::info!(
            request = %call.id, endpoint = %grant.endpoint, tokens, reason = %fault,
            "resuming stream"
        );
        let resume = async move {
            let attempt = Attempt {
                call: &call,
                grant: &grant,
                id: new_attempt(),
                resume_from: Some(tokens),
                mode: ConnectionMode::New,
                context: call.span.context().child(),
            };
            let id = attempt.id;
            let opened = send::send(&worker, attempt, grant.first_token_bound).await?;
            if !opened.is_stream() {
                let message = "the endpoint did not respond to the resume with an event stream";
                return Err(Failure::new(End::Failed, Kind::StreamBroken, message));
            }
            Ok((opened, Reader::new(id, tokens)))
        };
        self.state = State::Resuming(resume.boxed_local());
        None
    }

    fn poll_resume(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let State::Resuming(resume) = &mut self.state else { return Poll::Ready(None) };
        match std::task::ready!(resume.as_mut().poll(cx)) {
            Ok((opened, reader)) => {
                self.opened = opened;
                self.reader = reader;
                self.last_progress = Instant::now();
                self.state = State::Streaming;
                Poll::Ready(None)
            }
            Err(failure) => {
                let message =
                    format!("the stream failed and was not resumed: {}", failure.fault.message);
                let fault = Fault::new(Kind::StreamBroken, message);
                Poll::Ready(Some(self.fail(failure.end, &fault)))
            }
        }
    }

    /// Returns bytes for the caller, or `None` when the relay has to be polled again.
    fn poll_stream(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if let Some((events, is_complete)) = self.first_events.take() {
            return Poll::Ready(self.forward(events, is_complete));
        }
        // A stream that always has bytes ready never reaches the timer, so check the deadline here.
        if self.deadline <= Instant::now() {
            return Poll::Ready(Some(self.fail_deadline()));
        }
        let chunk = match self.opened.body.poll_next(cx) {
            Poll::Ready(Some(Ok(chunk))) => chunk,
            Poll::Ready(Some(Err(error))) => {
                let fault = Fault::new(
                    Kind::StreamBroken,
                    format!("the connection failed during the stream: {error}"),
                );
                return Poll::Ready(self.recover(End::Broken, &fault));
            }
            Poll::Ready(None) => {
                // An orderly close is not a crash of the endpoint, so the end is `Failed` and not
                // `Broken`.
                let message = "the stream ended without an end event";
                let fault = Fault::new(Kind::StreamBroken, message);
                return Poll::Ready(self.recover(End::Failed, &fault));
            }
            Poll::Pending => return self.poll_timer(cx),
        };
        match self.reader.read(&chunk) {
            Ok(chunk) => {
                if chunk.has_progress {
                    self.last_progress = Instant::now();
                }
                Poll::Ready(self.forward(chunk.events, chunk.is_complete))
            }
            Err(error) => {
                let fault = Fault::new(Kind::StreamBroken, describe(error));
                Poll::Ready(Some(self.fail(End::Failed, &fault)))
            }
        }
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        std::task::ready!(self.timer.as_mut().poll(cx));
        if self.deadline <= Instant::now() {
            return Poll::Ready(Some(self.fail_deadline()));
        }
        let Some(guard) = &self.guard else { return Poll::Ready(None) };
        let silent_at = self.last_progress + guard.grant().between_tokens_bound.duration();
        if silent_at <= Instant::now() {
            self.timer.as_mut().reset(self.deadline);
            let message = "the stream made no progress within the time allowed between tokens";
            let fault = Fault::new(Kind::EndpointSilent, message);
            return Poll::Ready(self.recover(End::Silent, &fault));
        }
        // The timer is reset once per bound rather than once per token.
        self.timer.as_mut().reset(self.deadline.min(silent_at));
        Poll::Ready(None)
    }
}

impl MessageBody for Relay {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        loop {
            let polled = match this.state {
                State::Ended => return Poll::Ready(None),
                State::Resuming(_) => this.poll_resume(cx),
                State::Streaming => this.poll_stream(cx),
            };
            if let Some(bytes) = std::task::ready!(polled) {
                return Poll::Ready(Some(Ok(bytes)));
            }
        }
    }
}

/// Returns the error message for the caller.
pub(crate) fn describe(error: StreamError) -> &'static str {
    match error {
        StreamError::TooLong => "the endpoint sent too many bytes without a complete event",
        StreamError::InvalidEnd => "the endpoint sent an invalid end event",
        StreamError::EndpointError => "the endpoint sent an error event",
        StreamError::WrongAttempt => "the end event of the stream names another attempt",
        StreamError::WrongTokenCount => {
            "the token count in the end event differs from the number of tokens received"
        }
        StreamError::MissingEnd => "the endpoint sent `[DONE]` without an end event",
    }
}
