//! Metrics in the Prometheus text format.

use std::{convert::Infallible, io, net::TcpListener, sync::Arc};

use actix_http::{HttpService, Request, Response, StatusCode};
use actix_server::{Server, ServerHandle};
use prometheus_client::{encoding::text, registry::Registry};

/// Content type of the OpenMetrics text format.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves `GET /metrics` until the returned handle is stopped.
///
/// Takes a listener and no address: a free port that is found and bound a second time may be taken
/// by another process in between.
///
/// # Errors
///
/// Returns an error when the listener cannot be used.
pub fn serve(listener: TcpListener, registry: Arc<Registry>) -> io::Result<ServerHandle> {
    let server = Server::build()
        .workers(1)
        .disable_signals()
        .listen("metrics", listener, move || {
            let registry = Arc::clone(&registry);
            HttpService::build()
                .finish(move |request: Request| {
                    let answer = answer(&request, &registry);
                    async move { Ok::<_, Infallible>(answer) }
                })
                .tcp()
        })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Returns all metrics as text.
pub fn encode(registry: &Registry) -> String {
    let mut page = String::new();
    // Writing to a string cannot fail.
    let _ = text::encode(&mut page, registry);
    page
}

fn answer(request: &Request, registry: &Registry) -> Response<String> {
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
