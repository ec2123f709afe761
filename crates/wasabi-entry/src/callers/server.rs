//! The HTTP server for callers and endpoints.

use std::{
    convert::Infallible,
    future::ready,
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
};

use actix_http::{
    HttpService, Method, Protocol, Request, Response, StatusCode, body::BoxBody,
    error::DispatchError, header::HeaderValue,
};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerHandle};
use actix_service::{ServiceFactoryExt as _, fn_service};
use actix_tls::accept::rustls_0_23::{Acceptor, TlsStream};
use wasabi_protocol::fault::{Fault, Kind};

use crate::{
    callers::{early_response::ErrorRewriter, entry_list, response},
    dispatch::{client, handler},
    endpoints,
    inbound::{Meter, Metered},
    message::Handle,
    shared::Shared,
};

/// Most open connections per traffic thread. Each uses at most the buffers of one request.
pub(crate) const CONNECTIONS_MAX: usize = 16_384;

/// Length of a listener's queue of connections that are not accepted yet.
pub(crate) const BACKLOG: u32 = 2_048;

/// Time after which a server that stops drops its connections, in seconds. Stopping ends earlier, by
/// the bounds of the drain: callers may still read answers that the entry has whole.
pub(crate) const SHUTDOWN_TIMEOUT_S: u64 = 3_600;

/// Size of the write buffer of a caller's connection, in bytes.
pub(crate) const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// The state of one traffic thread.
pub(crate) struct Worker {
    pub(crate) shared: Arc<Shared>,
    pub(crate) handle: Handle,
    /// HTTP client with pooled connections, for repeatable requests.
    pub(crate) pooled: awc::Client,
}

/// Starts the traffic threads.
///
/// # Errors
///
/// Returns an error when the listener or the TLS files cannot be used.
pub(crate) fn start(
    listener: TcpListener,
    shared: &Arc<Shared>,
    handle: &Handle,
    tls: Option<rustls::ServerConfig>,
) -> io::Result<ServerHandle> {
    let settings = shared.settings.clone();
    let (shared, handle) = (Arc::clone(shared), handle.clone());
    let builder = Server::build()
        .workers(usize::from(*settings.traffic_threads.0))
        .max_concurrent_connections(CONNECTIONS_MAX)
        .backlog(BACKLOG)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals();
    let signal = builder.graceful_shutdown_signal();
    let head_time = settings.callers.head_time.duration();
    macro_rules! service {
        () => {{
            let signal = signal.clone();
            let worker = Rc::new(Worker {
                shared: Arc::clone(&shared),
                handle: handle.clone(),
                pooled: client::pooled_client(),
            });
            HttpService::build()
                .on_connect_ext(|io: &Metered<_>, data| io.attach(data))
                .client_request_timeout(head_time)
                .h1_write_buffer_size(WRITE_BUFFER_BYTES)
                .graceful_shutdown_signal(move || {
                    let signal = signal.clone();
                    async move { signal.notified().await }
                })
                .finish(fn_service(move |request| serve(Rc::clone(&worker), request)))
        }};
    }
    let server = match tls {
        Some(mut tls) => {
            tls.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
            builder.listen("callers", listener, move || {
                Acceptor::new(tls.clone())
                    .map_init_err(|_| ())
                    .map_err(|error| tracing::debug!(?error, "TLS handshake failed"))
                    .and_then(fn_service(|io: TlsStream<TcpStream>| {
                        ready(Ok::<_, ()>(accept_tls(io)))
                    }))
                    .and_then(service!().map_err(|error| log_closed(&error)))
            })?
        }
        None => builder.listen("callers", listener, move || {
            fn_service(|io: TcpStream| ready(Ok::<_, ()>(accept_tcp(io))))
                .and_then(service!().map_err(|error| log_closed(&error)))
        })?,
    }
    .run();
    let stop = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            tracing::error!(%error, "caller server failed");
        }
    });
    Ok(stop)
}

/// An accepted connection, as passed to the HTTP service.
type Accepted<T> = (Metered<ErrorRewriter<T>>, Protocol, Option<SocketAddr>);

fn accept_tcp(io: TcpStream) -> Accepted<TcpStream> {
    let peer = prepare(&io);
    (Metered::new(ErrorRewriter::new(io)), Protocol::Http1, peer)
}

fn accept_tls(io: TlsStream<TcpStream>) -> Accepted<TlsStream<TcpStream>> {
    let peer = prepare(io.get_ref().0);
    let is_h2 = io.get_ref().1.alpn_protocol() == Some(b"h2");
    let protocol = if is_h2 { Protocol::Http2 } else { Protocol::Http1 };
    (Metered::new(ErrorRewriter::new(io)), protocol, peer)
}

/// Disables Nagle's algorithm, so that tokens are sent without delay, and returns the caller's
/// address.
pub(crate) fn prepare(io: &TcpStream) -> Option<SocketAddr> {
    if let Err(error) = io.set_nodelay(true) {
        tracing::debug!(%error, "setting TCP_NODELAY failed");
    }
    io.peer_addr().ok()
}

pub(crate) fn log_closed(error: &DispatchError) {
    tracing::debug!(%error, "caller connection closed with an error");
}

async fn serve(worker: Rc<Worker>, request: Request) -> Result<Response<BoxBody>, Infallible> {
    Meter::begin(&request);
    let shared = Arc::clone(&worker.shared);
    let mut response = match (request.method(), request.path()) {
        (&Method::GET, "/v1/entries") => {
            entry_list::respond(&shared, &request).unwrap_or_else(|fault| refuse(&shared, &fault))
        }
        (&Method::POST, "/v1/endpoints") => endpoints::announce(&worker, request).await,
        (&Method::DELETE, path) if path.starts_with("/v1/endpoints/") => {
            endpoints::leave(&worker, path)
        }
        (_, path) if path == "/v1/chat/completions" || path.starts_with("/services/") => {
            handler::serve(worker, request).await
        }
        _ => {
            let fault = Fault::new(Kind::UnknownRoute, "unknown path");
            refuse(&shared, &fault)
        }
    };
    if shared.is_draining() {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    Ok(response)
}

/// Returns the response for a refusal before the tier was known, and counts the refusal.
pub(crate) fn refuse(shared: &Shared, fault: &Fault) -> Response<BoxBody> {
    shared.metrics.refused(fault.kind, None);
    response::from_fault(fault)
}

/// Sets the response header with the id of the request.
pub(crate) fn set_request_id(response: &mut Response<BoxBody>, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(response::REQUEST_HEADER, value);
    }
}

/// Returns a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::new(status)
}
