//! An endpoint's answer whose head has arrived, and why an attempt failed.

use std::{
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use actix_http::{
    StatusCode,
    header::{self, HeaderMap},
};
use actix_rt::net::TcpStream;
use awc::error::PayloadError;
use bytes::{Bytes, BytesMut};
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::poll_fn,
    stream::{self, LocalBoxStream},
};
use tokio::io::AsyncReadExt as _;
use wasabi_protocol::{
    clock::{Clock, Millis},
    fault::{Fault, Kind},
    request::End,
};

use crate::{
    buffer::{BUFFER_BYTES_MAX, Budget, Buffer, Full},
    dispatch::{connection::EndpointConnection, head::Unframed},
};

/// Size of the blocks in which a body without a length is read, in bytes.
const BLOCK_BYTES: usize = 16 * 1024;

/// The deadline of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadline {
    pub(crate) clock: Clock,
    /// The time on that clock.
    pub(crate) at: Millis,
}

impl Deadline {
    /// Returns the remaining time.
    pub(crate) fn left(&self) -> Duration {
        self.at.since(self.clock.now()).duration()
    }

    /// Returns why nothing arrived in time: the deadline has passed, or the endpoint made no progress
    /// within a bound.
    pub(crate) fn missed(&self) -> Failure {
        if self.left().is_zero() {
            let message = "the deadline passed while the request ran";
            return Failure::new(End::Abandoned, Kind::DeadlineRunning, message);
        }
        let message = "the endpoint made no progress within its bound";
        Failure::new(End::Silent, Kind::EndpointSilent, message)
    }
}

/// An answer whose head has arrived and belongs to the attempt.
pub(crate) struct EndpointResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// Whether its head determines where the answer ends, be it with the connection.
    pub(crate) has_known_end: bool,
    /// Whether its connection makes certain which request it answers.
    pub(crate) is_exclusive: bool,
}

impl EndpointResponse {
    /// Returns whether the answer is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        let content_type = self.headers.get(header::CONTENT_TYPE);
        let name =
            content_type.and_then(|value| value.as_bytes().split(|byte| *byte == b';').next());
        self.status == StatusCode::OK
            && name.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(b"text/event-stream"))
    }

    /// Rejects an answer whose end is stated in a form that the HTTP library treats as empty.
    ///
    /// # Errors
    ///
    /// Returns the failure when the head does not determine the end.
    pub(crate) fn require_end(&self) -> Result<(), Failure> {
        if self.has_known_end {
            return Ok(());
        }
        let message =
            "the endpoint's answer states its end in an unknown form, so it cannot be forwarded";
        Err(Failure::new(End::Failed, Kind::EndpointFailed, message))
    }

    /// Returns the next bytes of the answer, or nothing at its end.
    ///
    /// # Errors
    ///
    /// Returns the failure when the connection broke, nothing arrived within `bound`, or the deadline
    /// has passed, which is also checked while bytes keep arriving.
    pub(crate) async fn next(
        &mut self,
        deadline: Deadline,
        bound: Duration,
    ) -> Result<Option<Bytes>, Failure> {
        let left = deadline.left();
        if left.is_zero() {
            return Err(deadline.missed());
        }
        let next = tokio::time::timeout(bound.min(left), self.body.next()).await;
        next.map_err(|_| deadline.missed())?.transpose().map_err(|error| {
            let message = format!("the endpoint's answer was truncated: {error}");
            Failure::new(End::Broken, Kind::EndpointFailed, message)
        })
    }

    /// Returns the whole body, and calls `progress` whenever a part of it arrives.
    ///
    /// # Errors
    ///
    /// Returns the failure when the answer was truncated, made no progress within `bound` or is too
    /// large for the budget.
    pub(crate) async fn collect(
        &mut self,
        budget: &Arc<Budget>,
        deadline: Deadline,
        bound: Duration,
        mut progress: impl FnMut(),
    ) -> Result<Bytes, Failure> {
        if self.stated_length().is_some_and(|length| (BUFFER_BYTES_MAX as u64) < length) {
            return Err(too_large(Full::Body));
        }
        let mut body = Buffer::new(budget);
        while let Some(chunk) = self.next(deadline, bound).await? {
            progress();
            body.push(&chunk).map_err(too_large)?;
        }
        Ok(body.freeze())
    }

    fn stated_length(&self) -> Option<u64> {
        self.headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
    }

    /// Closes the connection even if the answer is complete, so that nothing that arrives on it is
    /// used.
    pub(crate) fn abandon(mut self) {
        self.body.close();
        self.body.connection.close();
    }
}

fn too_large(full: Full) -> Failure {
    match full {
        Full::Body => {
            let message = format!("the endpoint's answer is larger than {BUFFER_BYTES_MAX} bytes");
            Failure::new(End::Failed, Kind::EndpointFailed, message)
        }
        Full::Process => {
            let message = "the memory for large answers is in use by other answers";
            Failure::new(End::Abandoned, Kind::EndpointFailed, message)
        }
    }
}

/// The body of an answer. Dropping it before its end closes the connection at once.
pub(crate) struct Body {
    connection: Rc<EndpointConnection>,
    /// The part that arrived with the head.
    first: Option<Part>,
    /// None once the body has ended or was closed.
    rest: Option<LocalBoxStream<'static, Part>>,
}

type Part = Result<Bytes, PayloadError>;

impl Body {
    /// Returns the body of an answer that is read from this connection.
    pub(crate) fn new(
        connection: Rc<EndpointConnection>,
        rest: LocalBoxStream<'static, Part>,
    ) -> Self {
        let mut body = Self { connection, first: None, rest: Some(rest) };
        // An answer without a body is already complete, and its connection may be kept.
        body.first = body.next().now_or_never().flatten();
        body
    }

    /// Returns the body of an answer that ends when its endpoint closes the connection. A reset is an
    /// error.
    pub(crate) fn until_close(
        connection: Rc<EndpointConnection>,
        unframed: Unframed<TcpStream>,
    ) -> Self {
        let rest = stream::unfold(Some(unframed), |unframed| async {
            let mut unframed = unframed?;
            if let Some(first) = unframed.take_first() {
                return Some((Ok(first), Some(unframed)));
            }
            let mut block = BytesMut::with_capacity(BLOCK_BYTES);
            match unframed.stream.read_buf(&mut block).await {
                Ok(0) => None,
                Ok(_) => Some((Ok(block.freeze()), Some(unframed))),
                Err(error) => Some((Err(PayloadError::Io(error)), None)),
            }
        });
        Self { connection, first: None, rest: Some(rest.boxed_local()) }
    }

    /// Drops the unread part, and closes the connection unless the answer is complete.
    pub(crate) fn close(&mut self) {
        self.first = None;
        if self.rest.take().is_some() {
            self.connection.close();
        }
    }

    /// Returns the next bytes. When the connection ends before the body, that is an error: the HTTP
    /// client ends the body without one, so that a truncated answer would look complete.
    pub(crate) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Part>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(first));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        match ready!(rest.poll_next_unpin(cx)) {
            Some(part) => {
                self.connection.count_body_bytes(part.as_ref().map_or(0, Bytes::len));
                Poll::Ready(Some(part))
            }
            None if self.connection.is_closed_by_peer() => {
                self.close();
                Poll::Ready(Some(Err(PayloadError::Incomplete(None))))
            }
            None => {
                self.rest = None;
                self.connection.mark_idle();
                Poll::Ready(None)
            }
        }
    }

    /// Waits until the next bytes, the end or an error have arrived, and keeps them for
    /// [`Self::poll_next`].
    pub(crate) async fn ready(&mut self) {
        if self.first.is_none() {
            self.first = self.next().await;
        }
    }

    async fn next(&mut self) -> Option<Part> {
        poll_fn(|cx| self.poll_next(cx)).await
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.close();
    }
}

/// Why an attempt did not yield a complete answer.
#[derive(Debug)]
pub(crate) struct Failure {
    /// The end that is reported to the pool owner.
    pub(crate) end: End,
    /// The error that the caller gets when there is no further attempt.
    pub(crate) fault: Fault,
}

impl Failure {
    pub(crate) fn new(end: End, kind: Kind, message: impl Into<String>) -> Self {
        Self { end, fault: Fault::new(kind, message) }
    }
}
