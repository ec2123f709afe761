//! Response bodies of the simulated model engine and service.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use actix_http::body::{BodySize, MessageBody};
use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::{counts::Counters, server::Crash, settings::Faults};

/// Size at which a chunk is sent when tokens are sent without delay.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time between the first part of a truncated body and its error.
const TRUNCATION_DELAY: Duration = Duration::from_millis(50);

/// The content and timing of a response.
#[derive(Debug, Clone)]
pub(crate) struct ResponsePlan {
    /// The attempt id of the request.
    pub(crate) attempt: String,
    /// The name of the model.
    pub(crate) model: String,
    /// The number of the first token to send.
    pub(crate) first_token: u32,
    /// The number of tokens of the complete response.
    pub(crate) total: u32,
    /// The prefix of each token; it identifies the prompt.
    pub(crate) token_prefix: String,
    /// Time before the first token.
    pub(crate) first_token_delay: Duration,
    /// Time between tokens.
    pub(crate) token_interval: Duration,
    /// The fault modes.
    pub(crate) faults: Faults,
    /// Whether this request crashes the stand-in.
    pub(crate) is_crashing: bool,
}

/// A response body that sends tokens at a fixed rate.
pub(crate) struct TokenStream {
    plan: ResponsePlan,
    next: u32,
    has_ended: bool,
    timer: Pin<Box<Sleep>>,
    counters: Arc<Counters>,
    crash: Crash,
}

impl TokenStream {
    /// Returns the response body for a plan.
    pub(crate) fn new(plan: ResponsePlan, counters: Arc<Counters>, crash: Crash) -> Self {
        let timer = Box::pin(sleep_until(Instant::now() + plan.first_token_delay));
        Self { next: plan.first_token, plan, has_ended: false, timer, counters, crash }
    }

    fn write_token(&self, out: &mut BytesMut, number: u32) {
        out.extend_from_slice(b"data: {\"object\":\"chat.completion.chunk\",\"model\":\"");
        out.extend_from_slice(self.plan.model.as_bytes());
        out.extend_from_slice(b"\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"");
        out.extend_from_slice(token(&self.plan.token_prefix, number).as_bytes());
        out.extend_from_slice(b"\"}}]}\n\n");
    }

    fn write_end(&self, out: &mut BytesMut) {
        let tokens = self.plan.total + u32::from(self.plan.faults.wrong_count);
        let end = format!(
            "event: end\ndata: {{\"attempt\":\"{}\",\"tokens\":{tokens}}}\n\ndata: [DONE]\n\n",
            self.plan.attempt
        );
        out.extend_from_slice(end.as_bytes());
    }
}

/// Returns the text of one token. It contains no characters that have to be escaped in JSON.
pub fn token(prefix: &str, number: u32) -> String {
    format!("{prefix}-{number} ")
}

impl MessageBody for TokenStream {
    type Error = std::io::Error;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        if this.has_ended {
            return Poll::Ready(None);
        }
        let mut out = BytesMut::new();
        loop {
            if this.plan.faults.frozen || this.plan.faults.silent_after == Some(this.next) {
                return if out.is_empty() {
                    Poll::Pending
                } else {
                    Poll::Ready(Some(Ok(out.freeze())))
                };
            }
            let is_timed =
                this.next == this.plan.first_token || !this.plan.token_interval.is_zero();
            if is_timed && this.timer.as_mut().poll(cx).is_pending() {
                return if out.is_empty() {
                    Poll::Pending
                } else {
                    Poll::Ready(Some(Ok(out.freeze())))
                };
            }
            if this.plan.is_crashing && this.plan.faults.crash_after_tokens <= this.next {
                (this.crash)();
                return Poll::Ready(Some(Err(std::io::Error::other("crash on this request"))));
            }
            if this.plan.faults.cut_after == Some(this.next) {
                if out.is_empty() {
                    return Poll::Ready(Some(Err(std::io::Error::other("stream cut by setting"))));
                }
                return Poll::Ready(Some(Ok(out.freeze())));
            }
            if this.plan.faults.stop_after == Some(this.next) {
                this.has_ended = true;
                return Poll::Ready((!out.is_empty()).then(|| Ok(out.freeze())));
            }
            if this.next == this.plan.total {
                this.write_end(&mut out);
                this.has_ended = true;
                this.counters.record(|counts| counts.finished += 1);
                return Poll::Ready(Some(Ok(out.freeze())));
            }
            this.write_token(&mut out, this.next);
            if this.plan.faults.repeat_token == Some(this.next) {
                this.write_token(&mut out, this.next);
            }
            this.counters.record(|counts| counts.tokens += 1);
            this.next += 1;
            if !this.plan.token_interval.is_zero() {
                let next = this.timer.deadline() + this.plan.token_interval;
                this.timer.as_mut().reset(next);
            }
            if CHUNK_BYTES <= out.len() {
                return Poll::Ready(Some(Ok(out.freeze())));
            }
        }
    }
}

impl Drop for TokenStream {
    fn drop(&mut self) {
        if !self.has_ended {
            self.counters.record(|counts| counts.dropped += 1);
        }
    }
}

/// A response body that fails after its first part.
pub(crate) struct TruncatedBody {
    part: Option<Bytes>,
    timer: Pin<Box<Sleep>>,
}

impl TruncatedBody {
    /// Returns a body that sends `part` and fails after a delay in which `part` reaches the peer.
    pub(crate) fn new(part: &'static [u8]) -> Self {
        let timer = Box::pin(sleep_until(Instant::now() + TRUNCATION_DELAY));
        Self { part: Some(Bytes::from_static(part)), timer }
    }
}

impl MessageBody for TruncatedBody {
    type Error = std::io::Error;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if let Some(part) = self.part.take() {
            return Poll::Ready(Some(Ok(part)));
        }
        std::task::ready!(self.timer.as_mut().poll(cx));
        Poll::Ready(Some(Err(std::io::Error::other("response truncated by a fault mode"))))
    }
}
