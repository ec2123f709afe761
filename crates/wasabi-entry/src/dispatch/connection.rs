//! A connection to an endpoint, which counts the bytes read and can be closed at any time.

use std::{
    cell::{Cell, RefCell},
    fmt,
    future::poll_fn,
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use actix_rt::net::TcpStream;
use tokio::{
    io::{AsyncRead as _, ReadBuf},
    time::{Instant, Sleep, sleep},
};

use crate::dispatch::head::{Separator, Unframed};

/// Time after which an idle pooled connection is closed. Endpoints close idle connections after a
/// few seconds; a shorter time here makes it rare that a closed connection is reused.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Most bytes of a response outside its body: head, chunk sizes, chunk extensions, trailers.
const FRAMING_BYTES_MAX: u64 = 64 * 1024;

/// Additional framing bytes allowed per body byte; a chunk of one byte has five.
const FRAMING_BYTES_PER_BODY_BYTE: u64 = 8;

/// A connection, shared by the HTTP client and the response that is read from it.
pub(crate) struct EndpointConnection {
    /// `None` once this side has closed it.
    stream: RefCell<Option<TcpStream>>,
    /// Bytes read since the current request began.
    read_bytes: Cell<u64>,
    /// Those of them that belong to the response body.
    body_bytes: Cell<u64>,
    /// Whether the endpoint closed its side.
    is_closed_by_peer: Cell<bool>,
    /// When the last response was completed; `None` while a request runs.
    idle_since: Cell<Option<Instant>>,
    /// Whether an earlier request was sent on this connection.
    is_reused: Cell<bool>,
    /// Whether bytes arrived before the request was completely written.
    has_early_bytes: Cell<bool>,
    /// Wakes the task that closes the connection when it is idle.
    idle_waker: RefCell<Option<Waker>>,
    separator: RefCell<Separator>,
    /// The stream, once a head was read whose body ends with the connection.
    unframed: RefCell<Option<TcpStream>>,
}

impl fmt::Debug for EndpointConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // This name is older than that of the type. It leaves the process, so it stays.
        f.debug_struct("Wire").field("stream", &self.stream).finish_non_exhaustive()
    }
}

thread_local! {
    /// The connection that this thread last wrote to.
    static LAST_WRITTEN: RefCell<Option<Rc<EndpointConnection>>> = const { RefCell::new(None) };
}

/// Runs `request`, and returns its output and the connection that the request was sent on.
///
/// The HTTP client does not expose which connection it uses. It writes only while the request's own
/// future is polled, so the connection written to during these polls is the one of the request.
pub(crate) async fn capture_connection<F: Future>(
    request: F,
) -> (F::Output, Option<Rc<EndpointConnection>>) {
    let mut request = pin!(request);
    let mut connection = None;
    let output = poll_fn(|cx| {
        LAST_WRITTEN.take();
        let polled = request.as_mut().poll(cx);
        connection = LAST_WRITTEN.take().or(connection.take());
        polled
    });
    let output = output.await;
    (output, connection)
}

impl EndpointConnection {
    pub(super) fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(Self {
            stream: RefCell::new(Some(stream)),
            read_bytes: Cell::new(0),
            body_bytes: Cell::new(0),
            is_closed_by_peer: Cell::new(false),
            idle_since: Cell::new(None),
            is_reused: Cell::new(false),
            has_early_bytes: Cell::new(false),
            idle_waker: RefCell::new(None),
            separator: RefCell::default(),
            unframed: RefCell::new(None),
        })
    }

    /// Returns whether the endpoint closed its side.
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        self.is_closed_by_peer.get()
    }

    /// Returns whether the bytes read can only belong to the response to the last request: no other
    /// request was sent, and nothing arrived before the request was completely written.
    pub(crate) fn is_exclusive(&self) -> bool {
        !self.is_reused.get() && !self.has_early_bytes.get()
    }

    /// Counts bytes that belong to the response body.
    pub(crate) fn count_body_bytes(&self, bytes: usize) {
        self.body_bytes.set(self.body_bytes.get().saturating_add(bytes as u64));
    }

    /// Marks the response as complete. Any bytes after it are unsolicited.
    pub(crate) fn mark_idle(&self) {
        self.idle_since.set(Some(Instant::now()));
        self.wake();
    }

    /// Closes the connection, so that the endpoint notices at once that nothing more is read.
    pub(crate) fn close(&self) {
        drop(self.stream.take());
        self.wake();
    }

    /// Returns and removes the rest of a response whose body ends with the connection.
    pub(super) fn take_unframed(&self) -> Option<Unframed<TcpStream>> {
        let stream = self.unframed.take()?;
        Some(Unframed { first: self.separator.borrow_mut().take_all_kept(), stream })
    }

    fn wake(&self) {
        if let Some(idle_waker) = self.idle_waker.take() {
            idle_waker.wake();
        }
    }

    /// Prepares for writing bytes of a request, and records this as the last connection written to.
    pub(super) fn before_write(self: &Rc<Self>, cx: &mut Context<'_>) {
        if self.idle_since.take().is_some() {
            self.read_bytes.set(0);
            self.body_bytes.set(0);
            self.is_reused.set(true);
            self.has_early_bytes.set(false);
            self.separator.borrow_mut().restart();
        }
        if self.has_readable_bytes(cx) {
            self.has_early_bytes.set(true);
        }
        LAST_WRITTEN.set(Some(Rc::clone(self)));
    }

    /// Returns whether bytes are ready to be read.
    fn has_readable_bytes(&self, cx: &mut Context<'_>) -> bool {
        if self.separator.borrow().has_kept() {
            return true;
        }
        let mut byte = [0];
        let mut byte = ReadBuf::new(&mut byte);
        let peeked = self.with_stream(|stream| stream.poll_peek(cx, &mut byte));
        matches!(peeked, Poll::Ready(Ok(count)) if count != 0)
    }

    /// Calls a function with the stream, or returns an error once the connection is closed.
    pub(super) fn with_stream<T>(
        &self,
        call: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.stream.borrow_mut().as_mut() {
            Some(stream) => call(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    /// Reads, with a limit on the bytes outside the response body.
    ///
    /// The HTTP client reads only when it cannot decode any further, so everything read by then
    /// that is not part of the body is framing.
    pub(super) fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let framing = self.read_bytes.get().saturating_sub(self.body_bytes.get());
        let allowed = self.body_bytes.get().saturating_mul(FRAMING_BYTES_PER_BODY_BYTE);
        if self.idle_since.get().is_none() && allowed.saturating_add(FRAMING_BYTES_MAX) < framing {
            let message = format!("too many bytes outside the response body: {framing}");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buffer.filled().len();
        let kept = self.separator.borrow_mut().take_kept(buffer.remaining());
        if kept.is_empty() {
            ready!(self.with_stream(|stream| stream.poll_read(cx, buffer)))?;
            let is_closed = buffer.filled().len() == before;
            self.is_closed_by_peer.set(self.is_closed_by_peer.get() || is_closed);
        } else {
            buffer.put_slice(&kept);
        }
        let count = self.separate_head(&buffer.filled()[before..]);
        buffer.set_filled(before + count);
        self.read_bytes.set(self.read_bytes.get().saturating_add(count as u64));
        Poll::Ready(Ok(()))
    }

    /// Keeps back the received bytes that follow the end of a head, and returns the number of the
    /// others.
    fn separate_head(&self, received: &[u8]) -> usize {
        let mut separator = self.separator.borrow_mut();
        let count = separator.push(received);
        if separator.ends_with_connection()
            && let Some(stream) = self.stream.take()
        {
            self.unframed.replace(Some(stream));
            self.wake();
        }
        count
    }

    /// Closes the connection when it has been idle for [`IDLE_TIMEOUT`], or when the endpoint
    /// closes it or sends unsolicited bytes. Resolves once the connection is closed.
    pub(super) async fn close_when_idle(self: Rc<Self>) {
        let mut timer = pin!(sleep(IDLE_TIMEOUT));
        poll_fn(|cx| self.poll_idle(cx, timer.as_mut())).await;
        self.close();
    }

    fn poll_idle(&self, cx: &mut Context<'_>, mut timer: Pin<&mut Sleep>) -> Poll<()> {
        *self.idle_waker.borrow_mut() = Some(cx.waker().clone());
        if self.stream.borrow().is_none() {
            return Poll::Ready(());
        }
        // While a request runs, its own task reads from the connection.
        let Some(since) = self.idle_since.get() else { return Poll::Pending };
        let mut byte = [0];
        let mut byte = ReadBuf::new(&mut byte);
        let peeked = if self.separator.borrow().has_kept() {
            Poll::Ready(Ok(1))
        } else {
            self.with_stream(|stream| stream.poll_peek(cx, &mut byte))
        };
        match peeked {
            Poll::Pending => {}
            Poll::Ready(Ok(0)) | Poll::Ready(Err(_)) => return Poll::Ready(()),
            Poll::Ready(Ok(_)) => {
                let peer = self.stream.borrow().as_ref().and_then(|stream| stream.peer_addr().ok());
                tracing::warn!(
                    ?peer,
                    "closing an idle connection on which unsolicited bytes arrived"
                );
                return Poll::Ready(());
            }
        }
        // The timer is reset once per idle timeout rather than once per response.
        while timer.as_mut().poll(cx).is_ready() {
            let end = since + IDLE_TIMEOUT;
            if end <= Instant::now() {
                return Poll::Ready(());
            }
            timer.as_mut().reset(end);
        }
        Poll::Pending
    }
}
