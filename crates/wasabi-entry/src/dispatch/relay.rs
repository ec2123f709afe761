//! Passes a token stream on to the caller, and ends it as whole or with an explicit error.

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
    callers::{call::Call, response, server::Worker},
    dispatch::{
        events::{Reader, StreamError},
        grant::GrantGuard,
        send::{self, Attempt, Line},
    },
    gate::{self, Record},
    opened::{Failure, Opened},
    shared::{Open, new_attempt},
};

/// Ends a whole stream at the caller.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Times that one stream is resumed.
const RESUMES_MAX: u32 = 3;

/// The parts of an answered attempt whose stream is to be passed on.
pub(crate) struct Started {
    pub(crate) worker: Rc<Worker>,
    pub(crate) call: Rc<Call>,
    pub(crate) held: GrantGuard,
    pub(crate) record: Option<Record>,
    pub(crate) opened: Opened,
    pub(crate) reader: Reader,
    /// Events that were read already, the first token among them.
    pub(crate) first: Bytes,
    pub(crate) is_whole: bool,
    pub(crate) open: Open,
}

type Resume = LocalBoxFuture<'static, Result<(Opened, Reader), Failure>>;

enum State {
    Streaming,
    Resuming(Resume),
    Ended,
}

/// The body of a streamed answer.
pub(crate) struct Relay {
    worker: Rc<Worker>,
    call: Rc<Call>,
    held: Option<GrantGuard>,
    record: Option<Record>,
    opened: Opened,
    reader: Reader,
    first: Option<(Bytes, bool)>,
    state: State,
    timer: Pin<Box<Sleep>>,
    last: Instant,
    deadline: Instant,
    resumes: u32,
    kept: BytesMut,
    _open: Open,
}

impl Relay {
    /// Returns the body for a started stream.
    pub(crate) fn new(started: Started) -> Self {
        let Started { worker, call, held, record, opened, reader, first, is_whole, open } = started;
        let now = Instant::now();
        let deadline = now + call.deadline.since(worker.shared.clock.now()).duration();
        let bound = held.grant().between_tokens_bound.duration();
        Self {
            timer: Box::pin(sleep_until(deadline.min(now + bound))),
            worker,
            call,
            held: Some(held),
            record,
            opened,
            reader,
            first: Some((first, is_whole)),
            state: State::Streaming,
            last: now,
            deadline,
            resumes: 0,
            kept: BytesMut::new(),
            _open: open,
        }
    }

    /// Takes events on their way to the caller.
    fn pass(&mut self, events: Bytes, is_whole: bool) -> Option<Bytes> {
        if let Some(held) = &mut self.held {
            held.progress(self.reader.tokens());
        }
        if self.record.is_some() && self.kept.len() <= KEPT_BODY_BYTES_MAX {
            self.kept.extend_from_slice(&events);
        }
        if is_whole {
            return Some(self.finish(&events));
        }
        (!events.is_empty()).then_some(events)
    }

    /// Ends the stream as whole.
    fn finish(&mut self, events: &[u8]) -> Bytes {
        self.state = State::Ended;
        self.opened.body.close();
        let mut last = BytesMut::with_capacity(events.len() + DONE.len());
        last.extend_from_slice(events);
        last.extend_from_slice(DONE);
        if let Some(record) = self.record.take() {
            self.kept.extend_from_slice(DONE);
            record.finish(gate::answered(StatusCode::OK, "text/event-stream", &self.kept));
        }
        if let Some(held) = self.held.take() {
            let (shared, route) = (&self.worker.shared, &self.call.route);
            shared.finished(route.tier, &route.name, self.call.arrived);
            if held.first_token().is_some_and(|first| first <= self.call.route.first_token_ms) {
                shared.metrics.goodput.get_or_create(&route.tier.into()).inc();
            }
            held.end(End::Finished);
        }
        last.freeze()
    }

    /// Ends the stream with an explicit error event.
    fn fail(&mut self, end: End, fault: &Fault) -> Bytes {
        self.state = State::Ended;
        // The caller may read the rest slowly; the endpoint must not work on meanwhile.
        self.opened.body.close();
        let metrics = &self.worker.shared.metrics;
        metrics.refused(fault.kind, Some(self.call.route.tier));
        if let Some(record) = self.record.take() {
            record.finish(gate::unknown());
        }
        if let Some(held) = self.held.take() {
            tracing::info!(
                request = %self.call.id, endpoint = %held.grant().endpoint,
                tokens = self.reader.tokens(), ?end, %fault, "stream broke"
            );
            metrics.wasted_prefill.inc_by(u64::from(
                self.call.request(self.worker.shared.clock.now(), new_attempt(), &[]).prompt_tokens,
            ));
            held.end(end);
        }
        response::fault_event(fault)
    }

    fn fail_late(&mut self) -> Bytes {
        let message = "the deadline passed while the stream ran";
        self.fail(End::Abandoned, &Fault::new(Kind::DeadlineRunning, message))
    }

    /// Resumes a broken or silent stream on a new connection, or ends it with an error.
    fn recover(&mut self, end: End, fault: &Fault) -> Option<Bytes> {
        let resumable = self.held.as_ref().filter(|held| {
            held.grant().resume
                && self.record.is_none()
                && self.resumes < RESUMES_MAX
                && Instant::now() < self.deadline
        });
        let Some(held) = resumable else { return Some(self.fail(end, fault)) };
        self.opened.body.close();
        self.resumes += 1;
        self.worker.shared.metrics.resumes.inc();
        let (worker, call) = (Rc::clone(&self.worker), Rc::clone(&self.call));
        let (grant, tokens) = (held.grant().clone(), self.reader.tokens());
        tracing::info!(
            request = %call.id, endpoint = %grant.endpoint, tokens, reason = %fault,
            "stream is resumed"
        );
        let resume = async move {
            let attempt = Attempt {
                call: &call,
                grant: &grant,
                id: new_attempt(),
                resume_from: Some(tokens),
                line: Line::Fresh,
                context: call.span.context().child(),
            };
            let id = attempt.id;
            let opened = send::send(&worker, attempt, grant.first_token_bound).await?;
            if !opened.is_stream() {
                let message = "the endpoint did not resume the stream";
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
                self.last = Instant::now();
                self.state = State::Streaming;
                Poll::Ready(None)
            }
            Err(failure) => {
                let message =
                    format!("the stream broke and was not resumed: {}", failure.fault.message);
                let fault = Fault::new(Kind::StreamBroken, message);
                Poll::Ready(Some(self.fail(failure.end, &fault)))
            }
        }
    }

    /// Returns bytes for the caller, or none when there is more to poll.
    fn poll_stream(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if let Some((events, is_whole)) = self.first.take() {
            return Poll::Ready(self.pass(events, is_whole));
        }
        // Bytes that are always there must not keep the stream beyond its deadline.
        if self.deadline <= Instant::now() {
            return Poll::Ready(Some(self.fail_late()));
        }
        let chunk = match self.opened.body.poll_next(cx) {
            Poll::Ready(Some(Ok(chunk))) => chunk,
            Poll::Ready(Some(Err(error))) => {
                let fault = Fault::new(Kind::StreamBroken, format!("the stream broke: {error}"));
                return Poll::Ready(self.recover(End::Broken, &fault));
            }
            Poll::Ready(None) => {
                // The connection was closed in order, so the endpoint did not crash.
                let message = "the stream stopped without its end event";
                let fault = Fault::new(Kind::StreamBroken, message);
                return Poll::Ready(self.recover(End::Failed, &fault));
            }
            Poll::Pending => return self.poll_timer(cx),
        };
        match self.reader.read(&chunk) {
            Ok(chunk) => {
                if chunk.has_progress {
                    self.last = Instant::now();
                }
                Poll::Ready(self.pass(chunk.events, chunk.is_complete))
            }
            Err(malformed) => {
                let fault = Fault::new(Kind::StreamBroken, describe(malformed));
                Poll::Ready(Some(self.fail(End::Failed, &fault)))
            }
        }
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        std::task::ready!(self.timer.as_mut().poll(cx));
        if self.deadline <= Instant::now() {
            return Poll::Ready(Some(self.fail_late()));
        }
        let Some(held) = &self.held else { return Poll::Ready(None) };
        let silent_at = self.last + held.grant().between_tokens_bound.duration();
        if silent_at <= Instant::now() {
            self.timer.as_mut().reset(self.deadline);
            let message = "the stream made no progress within its bound";
            let fault = Fault::new(Kind::EndpointSilent, message);
            return Poll::Ready(self.recover(End::Silent, &fault));
        }
        // The timer is armed once per bound and not once per token.
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

/// Returns what was wrong with a stream, for the caller.
pub(crate) fn describe(malformed: StreamError) -> &'static str {
    match malformed {
        StreamError::TooLong => "the endpoint sent too many bytes without an event",
        StreamError::InvalidEnd => "the endpoint sent an end event that cannot be read",
        StreamError::EndpointError => "the endpoint ended the stream with an error",
        StreamError::WrongAttempt => "the end of the stream belongs to another attempt",
        StreamError::WrongTokenCount => "tokens of the stream are missing or repeated",
        StreamError::MissingEnd => "the endpoint sent no end event",
    }
}
