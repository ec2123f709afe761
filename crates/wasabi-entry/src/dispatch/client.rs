//! HTTP clients for endpoints, with connections that track whether any request byte was sent.

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

use crate::dispatch::connection::{EndpointConnection, IDLE_TIMEOUT};

/// Timeout for opening a TCP connection to an endpoint.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// No limit on connections per client: grants already bound them, and each buffers few bytes.
const CONNECTIONS_UNLIMITED: usize = 0;

/// The period in which the first byte of a non-repeatable attempt may be sent, and whether it was.
#[derive(Debug)]
pub struct DispatchWindow {
    clock: Clock,
    /// When the first byte must no longer be sent.
    expires: Millis,
    sent: Cell<bool>,
    expired: Cell<bool>,
}

impl DispatchWindow {
    /// Returns a window in which the first byte may be sent before `expires`.
    pub fn new(clock: Clock, expires: Millis) -> Rc<Self> {
        Rc::new(Self { clock, expires, sent: Cell::new(false), expired: Cell::new(false) })
    }

    /// Returns whether any byte may have been sent.
    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }

    /// Returns whether a write was rejected because the window had expired before the first byte.
    pub fn has_expired(&self) -> bool {
        self.expired.get()
    }

    /// Allows a write unless the window expired before the first byte.
    fn check_write(&self) -> io::Result<()> {
        if self.sent.get() {
            return Ok(());
        }
        if self.expired.get() || self.expires <= self.clock.now() {
            self.expired.set(true);
            return Err(io::Error::other("the dispatch window has expired"));
        }
        self.sent.set(true);
        Ok(())
    }
}

/// A TCP stream that checks the dispatch window immediately before its first byte is written.
#[derive(Debug)]
pub struct GuardedStream {
    connection: Rc<EndpointConnection>,
    window: Option<Rc<DispatchWindow>>,
}

impl GuardedStream {
    fn before_write(&self, cx: &mut Context<'_>) -> io::Result<()> {
        self.window.as_ref().map_or(Ok(()), |window| window.check_write())?;
        self.connection.before_write(cx);
        Ok(())
    }
}

impl Drop for GuardedStream {
    fn drop(&mut self) {
        self.connection.close();
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.poll_read(cx, buffer)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write(cx)?;
        self.connection.with_stream(|stream| stream.poll_write(cx, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.with_stream(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.with_stream(|stream| stream.poll_shutdown(cx))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write(cx)?;
        self.connection.with_stream(|stream| stream.poll_write_vectored(cx, buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

impl ActixStream for GuardedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.connection.with_stream(|stream| ActixStream::poll_read_ready(&*stream, cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.connection.with_stream(|stream| ActixStream::poll_write_ready(&*stream, cx))
    }
}

/// Opens connections to IP addresses, without DNS resolution.
#[derive(Debug, Clone)]
struct EndpointConnector {
    window: Option<Rc<DispatchWindow>>,
    /// Whether connections may be reused for further requests.
    keep_alive: bool,
}

impl Service<ConnectInfo<Uri>> for EndpointConnector {
    type Response = Connection<Uri, GuardedStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let (window, keep_alive) = (self.window.clone(), self.keep_alive);
        Box::pin(async move {
            let host = info.hostname().trim_start_matches('[').trim_end_matches(']');
            let address: IpAddr = host.parse().map_err(|_| ConnectError::InvalidInput)?;
            let stream = TcpStream::connect(SocketAddr::new(address, info.port()))
                .await
                .map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            let connection = EndpointConnection::new(stream);
            if keep_alive {
                actix_rt::spawn(Rc::clone(&connection).close_when_idle());
            }
            Ok(Connection::new(info.request().clone(), GuardedStream { connection, window }))
        })
    }
}

/// Returns a client that reuses connections. Only for repeatable requests: a reused connection may
/// fail without showing whether the request was received.
pub fn pooled_client() -> awc::Client {
    client(EndpointConnector { window: None, keep_alive: true }, IDLE_TIMEOUT)
}

/// Returns a client that sends a single request on a new connection.
pub fn single_use_client(window: Option<Rc<DispatchWindow>>) -> awc::Client {
    client(EndpointConnector { window, keep_alive: false }, Duration::ZERO)
}

fn client(connector: EndpointConnector, idle_timeout: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .connector(connector)
        .timeout(CONNECT_TIMEOUT)
        .limit(CONNECTIONS_UNLIMITED)
        .conn_keep_alive(idle_timeout);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}
