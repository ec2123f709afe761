//! Metrics in the Prometheus text format.

use std::{convert::Infallible, io, net::TcpListener, sync::Arc};

use actix_http::{HttpService, Request, Response, StatusCode};
use actix_server::{Server, ServerHandle};
use prometheus_client::{encoding::text, registry::Registry};

/// Content type of the OpenMetrics text format.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves `GET /metrics` until the server is stopped through the returned handle.
///
/// Takes a listener instead of an address, since a free port that is determined first and bound
/// later may be taken by another process in between.
///
/// # Errors
///
/// Returns an error if the server can't use the listener.
pub fn serve(listener: TcpListener, registry: Arc<Registry>) -> io::Result<ServerHandle> {
    let server = Server::build()
        .workers(1)
        .disable_signals()
        .listen("metrics", listener, move || {
            let registry = Arc::clone(&registry);
            HttpService::build()
                .finish(move |request: Request| {
                    let response = respond(&request, &registry);
                    async move { Ok::<_, Infallible>(response) }
                })
                .tcp()
        })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Returns all metrics in the OpenMetrics text format.
pub fn encode(registry: &Registry) -> String {
    let mut output = String::new();
    // Writing to a string cannot fail.
    let _ = text::encode(&mut output, registry);
    output
}

fn respond(request: &Request, registry: &Registry) -> Response<String> {
    if request.path() != "/metrics" {
        let message = "only /metrics is served here\n".to_owned();
        return Response::new(StatusCode::NOT_FOUND).set_body(message);
    }
    Response::build(StatusCode::OK)
        .insert_header(("content-type", CONTENT_TYPE))
        .message_body(encode(registry))
        .unwrap_or_else(|_| {
            Response::new(StatusCode::INTERNAL_SERVER_ERROR).set_body(String::new())
        })
}
