//! Replaces responses that the HTTP library sends before a request reaches its handler.
//!
//! The library refuses malformed and slow request heads with an empty response. Every error
//! promises callers a JSON body and the header `x-wasabi-ran`, so such a response is replaced when
//! it is written to the socket.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf as _, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use wasabi_protocol::fault::{Fault, Kind};

use crate::callers::response;

/// Maximum length of an empty response of the library, in bytes.
const EMPTY_RESPONSE_BYTES_MAX: usize = 256;

/// A connection on which empty error responses of the HTTP library are replaced.
#[derive(Debug)]
pub(crate) struct ErrorRewriter<T> {
    io: T,
    unwritten: Bytes,
}

impl<T> ErrorRewriter<T> {
    pub(crate) fn new(io: T) -> Self {
        Self { io, unwritten: Bytes::new() }
    }
}

impl<T: AsyncWrite + Unpin> ErrorRewriter<T> {
    fn poll_write_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.unwritten.has_remaining() {
            let written = ready!(Pin::new(&mut self.io).poll_write(cx, &self.unwritten))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.unwritten.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

/// Returns the replacement for an empty error response, or `None` for any other bytes.
///
/// Responses of the handler have the header `x-wasabi-ran` or a body, so they are never replaced.
fn replacement(bytes: &[u8]) -> Option<Bytes> {
    if EMPTY_RESPONSE_BYTES_MAX < bytes.len() || !bytes.ends_with(b"\r\n\r\n") {
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
        Kind::RequestTimeout => "the request head did not arrive in time",
        Kind::BodyTooLarge => "the request head is too large",
        _ => "the request head is not valid HTTP",
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

impl<T: AsyncRead + Unpin> AsyncRead for ErrorRewriter<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for ErrorRewriter<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_replacement(cx))?;
        let Some(replacement) = replacement(bytes) else {
            return Pin::new(&mut self.io).poll_write(cx, bytes);
        };
        self.unwritten = replacement;
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_write_replacement(cx))?;
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_write_replacement(cx))?;
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
