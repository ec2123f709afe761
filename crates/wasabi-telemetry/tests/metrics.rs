//! Tests of the metrics server.

use std::{net::TcpListener, sync::Arc};

use prometheus_client::{metrics::counter::Counter, registry::Registry};
use wasabi_telemetry::metrics;

/// Guards against metrics that are registered but not served.
#[actix_rt::test]
async fn registered_metrics_are_served() {
    let mut registry = Registry::default();
    let dispatches: Counter = Counter::default();
    registry.register("dispatches", "Requests sent to endpoints", dispatches.clone());
    dispatches.inc_by(3);

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = metrics::serve(listener, Arc::new(registry)).unwrap();
    let client = awc::Client::default();
    let mut response = client.get(format!("http://{address}/metrics")).send().await.unwrap();
    let body = response.body().await.unwrap();
    let body = std::str::from_utf8(&body).unwrap();
    assert!(body.contains("dispatches_total 3"), "{body}");
    let other = client.get(format!("http://{address}/")).send().await.unwrap();
    assert_eq!(other.status(), 404);
    server.stop(false).await;
}
