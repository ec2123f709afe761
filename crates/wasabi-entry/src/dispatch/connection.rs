//! One connection to an endpoint: what was read on it, and its close as soon as it is of no use.

use std::{
    cell::{Cell, RefCell},
    fmt,
    future::poll_fn,
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use actix_rt::net::TcpStream;
use tokio::{
    io::{AsyncRead as _, ReadBuf},
    time::{Instant, Sleep, sleep},
};

/// Time for which an idle pooled connection is kept. Endpoints close idle connections after a
/// few seconds; a shorter time here makes a reuse of a closed connection rare.
pub(super) const IDLE_TIME: Duration = Duration::from_secs(4);

/// Most bytes of an answer that are not its body: head, chunk sizes, chunk extensions, trailers.
const FRAMING_BYTES_MAX: u64 = 64 * 1024;

/// Bytes of framing that each byte of a body may bring besides; a chunk of one byte has five.
const FRAMING_PER_BODY_BYTE: u64 = 8;

/// A connection, held by the HTTP client and by the answer that is read from it.
pub(crate) struct EndpointConnection {
    /// None once it is closed here.
    stream: RefCell<Option<TcpStream>>,
    /// Bytes read since the request began.
    read: Cell<u64>,
    /// Those of them that were part of the answer's body.
    body: Cell<u64>,
    /// Whether the endpoint closed its side.
    is_closed_by_peer: Cell<bool>,
    /// When the last answer was whole; none while a request runs.
    idle_since: Cell<Option<Instant>>,
    /// Whether an earlier request was sent here.
    is_reused: Cell<bool>,
    /// Whether bytes came before the whole request was written.
    is_early: Cell<bool>,
    watcher: RefCell<Option<Waker>>,
}

impl fmt::Debug for EndpointConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EndpointConnection").field("stream", &self.stream).finish_non_exhaustive()
    }
}

thread_local! {
    /// The connection that was written to last on this thread.
    static WRITTEN: RefCell<Option<Rc<EndpointConnection>>> = const { RefCell::new(None) };
}

/// Runs the sending of a request and returns the connection that it went out on besides.
///
/// The HTTP client does not tell which connection it took. It writes only within the polls of the
/// request's own future, so the connection that is written to during these is that of the request.
pub(crate) async fn traced<F: Future>(sending: F) -> (F::Output, Option<Rc<EndpointConnection>>) {
    let mut sending = pin!(sending);
    let mut connection = None;
    let output = poll_fn(|cx| {
        WRITTEN.take();
        let polled = sending.as_mut().poll(cx);
        connection = WRITTEN.take().or(connection.take());
        polled
    });
    let output = output.await;
    (output, connection)
}

impl EndpointConnection {
    pub(super) fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(Self {
            stream: RefCell::new(Some(stream)),
            read: Cell::new(0),
            body: Cell::new(0),
            is_closed_by_peer: Cell::new(false),
            idle_since: Cell::new(None),
            is_reused: Cell::new(false),
            is_early: Cell::new(false),
            watcher: RefCell::new(None),
        })
    }

    /// Returns whether the endpoint closed its side.
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        self.is_closed_by_peer.get()
    }

    /// Returns whether what is read can only answer the request that was sent last: there was no
    /// other one, and nothing came before all of it was written.
    pub(crate) fn is_exclusive(&self) -> bool {
        !self.is_reused.get() && !self.is_early.get()
    }

    /// Notes bytes that were part of an answer's body.
    pub(crate) fn count_body_bytes(&self, bytes: usize) {
        self.body.set(self.body.get().saturating_add(bytes as u64));
    }

    /// Notes that the answer is whole, so that anything more on the connection is unsolicited.
    pub(crate) fn mark_idle(&self) {
        self.idle_since.set(Some(Instant::now()));
        self.wake();
    }

    /// Closes the connection, so that the endpoint sees at once that nobody reads any further.
    pub(crate) fn close(&self) {
        drop(self.stream.take());
        self.wake();
    }

    fn wake(&self) {
        if let Some(watcher) = self.watcher.take() {
            watcher.wake();
        }
    }

    /// Notes that bytes of a request are about to be written.
    pub(super) fn begin(self: &Rc<Self>, cx: &mut Context<'_>) {
        if self.idle_since.take().is_some() {
            self.read.set(0);
            self.body.set(0);
            self.is_reused.set(true);
            self.is_early.set(false);
        }
        if self.has_bytes(cx) {
            self.is_early.set(true);
        }
        WRITTEN.set(Some(Rc::clone(self)));
    }

    /// Returns whether bytes are known to wait.
    fn has_bytes(&self, cx: &mut Context<'_>) -> bool {
        let mut byte = [0];
        let mut byte = ReadBuf::new(&mut byte);
        let peeked = self.with(|stream| stream.poll_peek(cx, &mut byte));
        matches!(peeked, Poll::Ready(Ok(count)) if count != 0)
    }

    /// Calls a function with the stream, or returns an error once it is closed.
    pub(super) fn with<T>(
        &self,
        call: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.stream.borrow_mut().as_mut() {
            Some(stream) => call(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    /// Reads, within the bound on what is not the body of an answer.
    ///
    /// The client reads only when nothing that it has can be decoded any further, so what was read
    /// and is not a part of the body then is framing.
    pub(super) fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let framing = self.read.get().saturating_sub(self.body.get());
        let allowed = self.body.get().saturating_mul(FRAMING_PER_BODY_BYTE);
        if self.idle_since.get().is_none() && allowed.saturating_add(FRAMING_BYTES_MAX) < framing {
            let message = format!("{framing} bytes that are neither a head nor a body");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buffer.filled().len();
        let polled = self.with(|stream| stream.poll_read(cx, buffer));
        if matches!(polled, Poll::Ready(Ok(()))) {
            let count = buffer.filled().len() - before;
            self.is_closed_by_peer.set(self.is_closed_by_peer.get() || count == 0);
            self.read.set(self.read.get().saturating_add(count as u64));
        }
        polled
    }

    /// Resolves once the connection is closed; closes it when it was idle for too long, or when
    /// its endpoint closes it or sends bytes that answer nothing.
    pub(super) async fn watch(self: Rc<Self>) {
        let mut timer = pin!(sleep(IDLE_TIME));
        poll_fn(|cx| self.poll_idle(cx, timer.as_mut())).await;
        self.close();
    }

    fn poll_idle(&self, cx: &mut Context<'_>, mut timer: Pin<&mut Sleep>) -> Poll<()> {
        *self.watcher.borrow_mut() = Some(cx.waker().clone());
        if self.stream.borrow().is_none() {
            return Poll::Ready(());
        }
        // While a request runs, its own task waits for the bytes of the connection.
        let Some(since) = self.idle_since.get() else { return Poll::Pending };
        let mut byte = [0];
        let mut byte = ReadBuf::new(&mut byte);
        match self.with(|stream| stream.poll_peek(cx, &mut byte)) {
            Poll::Pending => {}
            Poll::Ready(Ok(0)) | Poll::Ready(Err(_)) => return Poll::Ready(()),
            Poll::Ready(Ok(_)) => {
                let peer = self.stream.borrow().as_ref().and_then(|stream| stream.peer_addr().ok());
                tracing::warn!(?peer, "closed a connection with bytes that answer no request");
                return Poll::Ready(());
            }
        }
        // The timer is armed once per idle time and not once per answer.
        while timer.as_mut().poll(cx).is_ready() {
            let end = since + IDLE_TIME;
            if end <= Instant::now() {
                return Poll::Ready(());
            }
            timer.as_mut().reset(end);
        }
        Poll::Pending
    }
}
