//! Connections to endpoints that know whether a byte of a request left.

use std::{
    cell::Cell,
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use wasabi_protocol::clock::{Clock, Millis};

use crate::dispatch::connection::{EndpointConnection, IDLE_TIME};

/// Longest time for a TCP connection to an endpoint.
pub const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Buffered bytes per connection are small, so the number of connections is bounded by the grants.
const NO_LIMIT: usize = 0;

/// What is known of the bytes of one attempt that may not be repeated.
#[derive(Debug)]
pub struct DispatchWindow {
    clock: Clock,
    /// Time after which the first byte must not leave.
    until: Millis,
    sent: Cell<bool>,
    late: Cell<bool>,
}

impl DispatchWindow {
    /// Returns a window whose first byte may leave until `until`.
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
#[derive(Debug)]
pub struct Guarded {
    connection: Rc<EndpointConnection>,
    window: Option<Rc<DispatchWindow>>,
}

impl Guarded {
    fn begin(&self, cx: &mut Context<'_>) -> io::Result<()> {
        self.window.as_ref().map_or(Ok(()), |window| window.allow())?;
        self.connection.begin(cx);
        Ok(())
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        self.connection.close();
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.poll_read(cx, buffer)
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin(cx)?;
        self.connection.with(|stream| stream.poll_write(cx, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.with(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.with(|stream| stream.poll_shutdown(cx))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin(cx)?;
        self.connection.with(|stream| stream.poll_write_vectored(cx, buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

impl ActixStream for Guarded {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.connection.with(|stream| ActixStream::poll_read_ready(&*stream, cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.connection.with(|stream| ActixStream::poll_write_ready(&*stream, cx))
    }
}

/// Opens connections by IP address; there is no name lookup.
#[derive(Debug, Clone)]
struct Connect {
    window: Option<Rc<DispatchWindow>>,
    /// Whether a connection may carry further requests.
    is_kept: bool,
}

impl Service<ConnectInfo<Uri>> for Connect {
    type Response = Connection<Uri, Guarded>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let (window, is_kept) = (self.window.clone(), self.is_kept);
        Box::pin(async move {
            let host = info.hostname().trim_start_matches('[').trim_end_matches(']');
            let address: IpAddr = host.parse().map_err(|_| ConnectError::InvalidInput)?;
            let stream = TcpStream::connect(SocketAddr::new(address, info.port()))
                .await
                .map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            let connection = EndpointConnection::new(stream);
            if is_kept {
                actix_rt::spawn(Rc::clone(&connection).watch());
            }
            Ok(Connection::new(info.request().clone(), Guarded { connection, window }))
        })
    }
}

/// Returns a client that keeps connections for later requests; only for repeatable requests.
pub fn pooled() -> awc::Client {
    client(Connect { window: None, is_kept: true }, IDLE_TIME)
}

/// Returns a client for a single request on a connection of its own.
pub fn single_use(window: Option<Rc<DispatchWindow>>) -> awc::Client {
    client(Connect { window, is_kept: false }, Duration::ZERO)
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
