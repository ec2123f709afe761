//! The token stream of the stand-in engine.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use actix_http::body::{BodySize, MessageBody};
use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::{counts::Ledger, server::Crash, settings::Faults};

/// Most bytes gathered into one chunk when tokens are sent without a pause.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time between the first part of a cut answer and the break.
const CUT_AFTER: Duration = Duration::from_millis(50);

/// What one stream sends.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// The attempt id of the request.
    pub(crate) attempt: String,
    /// The model's name.
    pub(crate) model: String,
    /// The first token to send.
    pub(crate) from: u32,
    /// The number of tokens of the whole answer.
    pub(crate) total: u32,
    /// The text that each token starts with; it identifies the prompt.
    pub(crate) seed: String,
    /// Time before the first token.
    pub(crate) first: Duration,
    /// Time between tokens.
    pub(crate) between: Duration,
    /// The fault modes.
    pub(crate) faults: Faults,
    /// Whether the process crashes on this request.
    pub(crate) crashes: bool,
}

/// A response body that sends tokens at a set pace.
pub(crate) struct Tokens {
    plan: Plan,
    next: u32,
    ended: bool,
    wake: Pin<Box<Sleep>>,
    ledger: Arc<Ledger>,
    crash: Crash,
}

impl Tokens {
    /// Returns the stream for a plan.
    pub(crate) fn new(plan: Plan, ledger: Arc<Ledger>, crash: Crash) -> Self {
        let wake = Box::pin(sleep_until(Instant::now() + plan.first));
        Self { next: plan.from, plan, ended: false, wake, ledger, crash }
    }

    fn write_token(&self, out: &mut BytesMut, number: u32) {
        out.extend_from_slice(b"data: {\"object\":\"chat.completion.chunk\",\"model\":\"");
        out.extend_from_slice(self.plan.model.as_bytes());
        out.extend_from_slice(b"\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"");
        out.extend_from_slice(token(&self.plan.seed, number).as_bytes());
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

/// Returns the text of one token, without characters that JSON escapes.
pub fn token(seed: &str, number: u32) -> String {
    format!("{seed}-{number} ")
}

impl MessageBody for Tokens {
    type Error = std::io::Error;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        if this.ended {
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
            let paced = this.next == this.plan.from || !this.plan.between.is_zero();
            if paced && this.wake.as_mut().poll(cx).is_pending() {
                return if out.is_empty() {
                    Poll::Pending
                } else {
                    Poll::Ready(Some(Ok(out.freeze())))
                };
            }
            if this.plan.crashes && this.plan.faults.crash_after_tokens <= this.next {
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
                this.ended = true;
                return Poll::Ready((!out.is_empty()).then(|| Ok(out.freeze())));
            }
            if this.next == this.plan.total {
                this.write_end(&mut out);
                this.ended = true;
                this.ledger.record(|counts| counts.finished += 1);
                return Poll::Ready(Some(Ok(out.freeze())));
            }
            this.write_token(&mut out, this.next);
            if this.plan.faults.repeat_token == Some(this.next) {
                this.write_token(&mut out, this.next);
            }
            this.ledger.record(|counts| counts.tokens += 1);
            this.next += 1;
            if !this.plan.between.is_zero() {
                let next = this.wake.deadline() + this.plan.between;
                this.wake.as_mut().reset(next);
            }
            if CHUNK_BYTES <= out.len() {
                return Poll::Ready(Some(Ok(out.freeze())));
            }
        }
    }
}

impl Drop for Tokens {
    fn drop(&mut self) {
        if !self.ended {
            self.ledger.record(|counts| counts.dropped += 1);
        }
    }
}

/// A body that breaks off after its first part.
pub(crate) struct Cut {
    part: Option<Bytes>,
    wake: Pin<Box<Sleep>>,
}

impl Cut {
    /// Returns a body that sends `part`, which reaches the other side before the break.
    pub(crate) fn after(part: &'static [u8]) -> Self {
        let wake = Box::pin(sleep_until(Instant::now() + CUT_AFTER));
        Self { part: Some(Bytes::from_static(part)), wake }
    }
}

impl MessageBody for Cut {
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
        std::task::ready!(self.wake.as_mut().poll(cx));
        Poll::Ready(Some(Err(std::io::Error::other("answer cut by setting"))))
    }
}
