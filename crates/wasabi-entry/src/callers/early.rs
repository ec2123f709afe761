//! Answers that the HTTP library gives before a request reaches its handler.
//!
//! The library refuses malformed and slow heads with an empty answer. Callers are promised an
//! error of the table with "not run", so such an answer is replaced on its way to the socket.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf as _, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use wasabi_protocol::fault::{Fault, Kind};

use crate::callers::response;

/// Longest empty answer of the library, in bytes.
const EMPTY_BYTES_MAX: usize = 256;

/// A connection whose empty refusals are replaced by errors of the table.
#[derive(Debug)]
pub(crate) struct Early<T> {
    io: T,
    pending: Bytes,
}

impl<T> Early<T> {
    /// Returns the connection with its refusals replaced.
    pub(crate) fn new(io: T) -> Self {
        Self { io, pending: Bytes::new() }
    }
}

impl<T: AsyncWrite + Unpin> Early<T> {
    fn poll_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.pending.has_remaining() {
            let written = ready!(Pin::new(&mut self.io).poll_write(cx, &self.pending))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.pending.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

/// Returns the error in place of an empty refusal, or none for any other bytes.
///
/// Answers of the handler carry `x-wasabi-ran` or a body, and are never written as such a head.
fn replacement(bytes: &[u8]) -> Option<Bytes> {
    if EMPTY_BYTES_MAX < bytes.len() || !bytes.ends_with(b"\r\n\r\n") {
        return None;
    }
    let head = std::str::from_utf8(bytes).ok()?;
    let kind = match head.strip_prefix("HTTP/1.1 ")?.get(..4)? {
        "400 " => Kind::BadRequest,
        "408 " => Kind::RequestTimeout,
        "413 " | "431 " => Kind::BodyTooLarge,
        _ => return None,
    };
    if !head.contains("\r\ncontent-length: 0\r\n") || head.contains("x-wasabi-") {
        return None;
    }
    let message = match kind {
        Kind::RequestTimeout => "the head of the request did not arrive in time",
        Kind::BodyTooLarge => "the head of the request is too large",
        _ => "the head of the request is not valid HTTP",
    };
    let body = response::fault_json(&Fault::new(kind, message));
    let status = head.lines().next()?;
    let ran = kind.answer().ran.as_str();
    let text = format!(
        "{status}\r\ncontent-type: application/json\r\nx-wasabi-ran: {ran}\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    Some(text.into())
}

impl<T: AsyncRead + Unpin> AsyncRead for Early<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Early<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_pending(cx))?;
        let Some(replacement) = replacement(bytes) else {
            return Pin::new(&mut self.io).poll_write(cx, bytes);
        };
        self.pending = replacement;
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
