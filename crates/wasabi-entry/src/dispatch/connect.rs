//! Connections to endpoints that know whether a byte of a request left.

use std::{
    cell::Cell,
    fmt, io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::{error::PayloadError, http::Uri};
use bytes::Bytes;
use futures_util::{
    Stream, StreamExt as _,
    future::LocalBoxFuture,
    stream::{self, LocalBoxStream},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use wasabi_protocol::clock::{Clock, Millis};

/// Longest time for a TCP connection to an endpoint.
pub const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Time for which an idle pooled connection is kept. Endpoints close idle connections after a
/// few seconds; a shorter time here makes a reuse of a closed connection rare.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Buffered bytes per connection are small, so the number of connections is bounded by the grants.
const NO_LIMIT: usize = 0;

/// What is known of the bytes of one attempt that may not be repeated.
#[derive(Debug)]
pub struct Flight {
    clock: Clock,
    /// Time after which the first byte must not leave.
    until: Millis,
    sent: Cell<bool>,
    late: Cell<bool>,
}

impl Flight {
    /// Returns a flight whose first byte may leave until `until`.
    pub fn new(clock: Clock, until: Millis) -> Rc<Self> {
        Rc::new(Self { clock, until, sent: Cell::new(false), late: Cell::new(false) })
    }

    /// Returns whether a byte may have left.
    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }

    /// Returns whether the first byte was held back because its time had passed.
    pub fn is_late(&self) -> bool {
        self.late.get()
    }

    /// Allows a write, or refuses the first one when its time has passed.
    fn allow(&self) -> io::Result<()> {
        if self.sent.get() {
            return Ok(());
        }
        if self.late.get() || self.until <= self.clock.now() {
            self.late.set(true);
            return Err(io::Error::other("the dispatch window has passed"));
        }
        self.sent.set(true);
        Ok(())
    }
}

/// A TCP connection that checks the dispatch window right before its first byte.
pub struct Guarded {
    stream: TcpStream,
    flight: Option<Rc<Flight>>,
}

impl fmt::Debug for Guarded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Guarded").field("stream", &self.stream).finish_non_exhaustive()
    }
}

impl Guarded {
    fn allow(&self) -> io::Result<()> {
        self.flight.as_ref().map_or(Ok(()), |flight| flight.allow())
    }
}

thread_local! {
    /// Connections of this thread whose peer closed them, counted.
    static CLOSED: Cell<u64> = const { Cell::new(0) };
}

/// Returns an answer's body that fails when its connection closes before the body ended.
///
/// The client ends a body without an error in that case, so that a cut answer would look whole.
/// A body is polled on its own thread and reads only its own connection, so a close that is
/// counted during its polls is a close of that connection.
pub fn checked(
    mut body: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
) -> LocalBoxStream<'static, Result<Bytes, PayloadError>> {
    let mut is_closed = false;
    stream::poll_fn(move |cx| {
        let before = CLOSED.get();
        let polled = body.poll_next_unpin(cx);
        is_closed |= before != CLOSED.get();
        match polled {
            Poll::Ready(None) if is_closed => {
                Poll::Ready(Some(Err(PayloadError::Incomplete(None))))
            }
            polled => polled,
        }
    })
    .boxed_local()
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if matches!(polled, Poll::Ready(Ok(()))) && buffer.filled().len() == before {
            CLOSED.set(CLOSED.get() + 1);
        }
        polled
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.allow()?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.allow()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl ActixStream for Guarded {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

/// Opens connections by IP address; there is no name lookup.
#[derive(Debug, Clone, Default)]
struct Connect {
    flight: Option<Rc<Flight>>,
}

impl Service<ConnectInfo<Uri>> for Connect {
    type Response = Connection<Uri, Guarded>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let flight = self.flight.clone();
        Box::pin(async move {
            let host = info.hostname().trim_start_matches('[').trim_end_matches(']');
            let address: IpAddr = host.parse().map_err(|_| ConnectError::InvalidInput)?;
            let stream = TcpStream::connect(SocketAddr::new(address, info.port()))
                .await
                .map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            Ok(Connection::new(info.request().clone(), Guarded { stream, flight }))
        })
    }
}

/// Returns a client that keeps connections for later requests; only for repeatable requests.
pub fn pooled() -> awc::Client {
    client(Connect::default(), IDLE_TIME)
}

/// Returns a client for a single request on a connection of its own.
pub fn fresh(flight: Option<Rc<Flight>>) -> awc::Client {
    client(Connect { flight }, Duration::ZERO)
}

fn client(connect: Connect, idle: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .connector(connect)
        .timeout(CONNECT_TIME)
        .limit(NO_LIMIT)
        .conn_keep_alive(idle);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}
