//! Caller connections that abort the running request when the caller closes its side.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, ReadBuf};

use crate::pass::pass_writes;

/// A connection on which the end of input is an error.
///
/// The HTTP library continues a request after the caller has closed its sending side, since a
/// caller may half-close the connection. Callers of the gateway close it when they give up, and
/// endpoints must then stop working on the request.
#[derive(Debug)]
pub(crate) struct AbortOnClose<T> {
    io: T,
    has_read: bool,
}

impl<T> AbortOnClose<T> {
    pub(crate) fn new(io: T) -> Self {
        Self { io, has_read: false }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for AbortOnClose<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(cx, buffer);
        if !matches!(polled, Poll::Ready(Ok(()))) {
            return polled;
        }
        if buffer.filled().len() == before && buffer.remaining() != 0 && self.has_read {
            let message = "the caller closed the connection";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, message)));
        }
        self.has_read = true;
        polled
    }
}

pass_writes!(AbortOnClose<T>, T);
