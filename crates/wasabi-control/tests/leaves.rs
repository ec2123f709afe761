//! Messages of endpoints that control passes on to entries which are slow.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use jsonrpsee::{
    RpcModule,
    server::{Server, ServerHandle},
    types::ErrorObjectOwned,
};
use rstest::rstest;
use wasabi_control::Relay;
use wasabi_protocol::rpc::method;

/// Time after which an endpoint calls another host.
const ENDPOINT_TIMEOUT: Duration = Duration::from_secs(1);

/// An entry that accepts each departure after a delay.
struct SlowEntry {
    address: SocketAddr,
    calls: Arc<AtomicU64>,
    _server: ServerHandle,
}

impl SlowEntry {
    async fn start(delay: Duration) -> Self {
        let calls = Arc::<AtomicU64>::default();
        let mut module = RpcModule::new(Arc::clone(&calls));
        let registered =
            module.register_async_method(method::RETIRE, move |_, calls, _| async move {
                calls.fetch_add(1, Ordering::SeqCst);
                tokio::time::sleep(delay).await;
                Ok::<(), ErrorObjectOwned>(())
            });
        registered.unwrap();
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let address = server.local_addr().unwrap();
        Self { address, calls, _server: server.start(module) }
    }
}

/// Guards against a departure that is never acknowledged since its entry, or the owner of its pool,
/// takes some hundred milliseconds under load, and against a busy entry that is asked again and again.
#[rstest]
#[case::quick(20)]
#[case::busy(500)]
#[case::very_busy(800)]
#[actix_rt::test]
async fn a_departure_is_acknowledged_by_a_busy_entry(#[case] delay_ms: u64) {
    let entry = SlowEntry::start(Duration::from_millis(delay_ms)).await;
    let relay = Relay::new(None, entry.address);
    for number in 1..=3 {
        let started = Instant::now();
        assert!(relay.retire(&format!("i-{number}").as_str().into()).await, "departure {number}");
        assert!(started.elapsed() < ENDPOINT_TIMEOUT, "{:?}", started.elapsed());
        assert_eq!(entry.calls.load(Ordering::SeqCst), number);
    }
}

/// Guards against a departure that waits for an entry which does not answer, for longer than its
/// endpoint does.
#[actix_rt::test]
async fn a_departure_is_refused_before_its_endpoint_gives_up() {
    let entry = SlowEntry::start(ENDPOINT_TIMEOUT * 10).await;
    let relay = Relay::new(None, entry.address);
    let started = Instant::now();
    assert!(!relay.retire(&"i-1".into()).await);
    assert!(started.elapsed() < ENDPOINT_TIMEOUT, "{:?}", started.elapsed());
}
