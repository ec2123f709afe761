//! The HTTP servers of a gateway: callers' requests, the readiness check and the directory.

use std::{convert::Infallible, future::ready, io, net::TcpListener, rc::Rc, sync::Arc};

use actix_http::{
    HttpService, KeepAlive, Method, Protocol, Request, Response, StatusCode, body::BoxBody,
};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerHandle};
use actix_service::{ServiceFactoryExt as _, fn_service};

use crate::{
    callers::{
        response,
        server::{
            BACKLOG, CONNECTIONS_MAX, SHUTDOWN_TIMEOUT_S, WRITE_BUFFER_BYTES, Worker, log_closed,
            prepare,
        },
    },
    dispatch::client,
    forward::{
        abort_on_close::AbortOnClose,
        dialect::{Dialect, Gateway},
        directory, handler,
    },
    inbound::{Meter, Metered},
    message::Handle,
    shared::Shared,
};

/// The bound listeners of a gateway.
pub(crate) struct Listeners {
    pub(crate) front: TcpListener,
    pub(crate) ready: TcpListener,
    pub(crate) directory: TcpListener,
}

/// The listener on which a request arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListenerKind {
    Front,
    Ready,
    Directory,
}

/// Starts the traffic threads of a gateway.
///
/// # Errors
///
/// Returns an error when a listener cannot be used.
pub(crate) fn start(
    listeners: Listeners,
    gateway: &Gateway,
    shared: &Arc<Shared>,
    handle: &Handle,
) -> io::Result<ServerHandle> {
    let callers = &shared.settings.callers;
    let (head_time, idle_time) = (callers.head_time.duration(), callers.idle_time.duration());
    let mut builder = Server::build()
        .workers(usize::from(*shared.settings.traffic_threads.0))
        .max_concurrent_connections(CONNECTIONS_MAX)
        .backlog(BACKLOG)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals();
    for (name, listener_kind, listener) in [
        ("front", ListenerKind::Front, listeners.front),
        ("ready", ListenerKind::Ready, listeners.ready),
        ("directory", ListenerKind::Directory, listeners.directory),
    ] {
        let signal = builder.graceful_shutdown_signal();
        let (shared, handle, gateway) = (Arc::clone(shared), handle.clone(), gateway.clone());
        builder = builder.listen(name, listener, move || {
            let signal = signal.clone();
            let worker = Rc::new(Worker {
                shared: Arc::clone(&shared),
                handle: handle.clone(),
                pooled: client::pooled_client(),
            });
            let (gateway, dialect) = (Rc::new(gateway.clone()), Rc::new(gateway.dialect.clone()));
            fn_service(|io: TcpStream| {
                let peer = prepare(&io);
                ready(Ok::<_, ()>((Metered::new(AbortOnClose::new(io)), Protocol::Http1, peer)))
            })
            .and_then(
                HttpService::build()
                    .on_connect_ext(|io: &Metered<_>, data| io.attach(data))
                    .client_request_timeout(head_time)
                    .keep_alive(KeepAlive::Timeout(idle_time))
                    .h1_write_buffer_size(WRITE_BUFFER_BYTES)
                    .graceful_shutdown_signal(move || {
                        let signal = signal.clone();
                        async move { signal.notified().await }
                    })
                    .finish(fn_service(move |request| {
                        let dialect = Rc::clone(&dialect);
                        serve(
                            Rc::clone(&worker),
                            Rc::clone(&gateway),
                            dialect,
                            listener_kind,
                            request,
                        )
                    }))
                    .map_err(|error| log_closed(&error)),
            )
        })?;
    }
    let server = builder.run();
    let stop = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            tracing::error!(%error, "gateway server failed");
        }
    });
    Ok(stop)
}

async fn serve(
    worker: Rc<Worker>,
    gateway: Rc<Gateway>,
    dialect: Rc<Dialect>,
    listener_kind: ListenerKind,
    request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    Meter::begin(&request);
    let shared = Arc::clone(&worker.shared);
    let mut response = match listener_kind {
        ListenerKind::Front => handler::serve(worker, dialect, request).await,
        ListenerKind::Ready => readiness(&shared, &dialect, &request),
        ListenerKind::Directory => directory_response(&shared, &gateway, &request),
    };
    if shared.is_draining() {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    Ok(response)
}

/// Responds to the readiness check: whether this entry accepts new callers.
fn readiness(shared: &Shared, dialect: &Dialect, request: &Request) -> Response<BoxBody> {
    if request.path() != dialect.ready_path || request.method() != Method::GET {
        return Response::new(StatusCode::NOT_FOUND);
    }
    let is_ready =
        !shared.is_draining() && shared.check_serving().is_ok() && shared.in_force().site.is_some();
    Response::new(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Responds with the addresses that callers connect to.
fn directory_response(shared: &Shared, gateway: &Gateway, request: &Request) -> Response<BoxBody> {
    let dialect = &gateway.dialect;
    if request.path() != dialect.directory_path || request.method() != Method::GET {
        return Response::new(StatusCode::NOT_FOUND);
    }
    // Without a view of the other entries, the response would list this entry alone.
    if shared.in_force().site.is_none() || shared.check_serving().is_err() {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    }
    let data_centre = request.uri().query().and_then(dialect.data_centre);
    let addresses = directory::addresses(&shared.live(), data_centre.as_ref());
    if addresses.is_empty() {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    }
    response::json(StatusCode::OK, (dialect.list)(&addresses, shared.timing().directory_lifetime))
}
