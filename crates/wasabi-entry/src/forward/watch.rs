//! Connections of callers that end the work for them when their caller closes.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, ReadBuf};

use crate::pass::pass_writes;

/// A connection whose end of input counts as an error.
///
/// The HTTP library goes on with a request whose caller has closed its side, since a caller could
/// close only that. Here callers close when they give up, and endpoints must not work for nobody.
#[derive(Debug)]
pub(crate) struct Watched<T> {
    io: T,
    has_read: bool,
}

impl<T> Watched<T> {
    /// Returns the connection, watched.
    pub(crate) fn new(io: T) -> Self {
        Self { io, has_read: false }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Watched<T> {
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

pass_writes!(Watched<T>, T);
