//! Control members and peers that send bytes without end: the entry's other duties go on in time.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use std::time::{Duration, Instant};

use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use rstest::rstest;
use support::Entry;
use wasabi_protocol::{
    clock::Millis,
    id,
    rpc::{Heartbeat, method},
};
use wasabi_testkit::flood::{Endpoint, Shape};

/// Longest time for the answer to a peer's heartbeat; a peer that needs longer counts as lost.
const HEARTBEAT_BOUND: Duration = Duration::from_secs(1);

/// Time for which heartbeats are watched. The entry asks the member every 500 ms.
const WATCH: Duration = Duration::from_secs(4);

/// Guards against a control address whose bytes never end and that keeps the control thread from
/// its timers and from its peers.
#[rstest]
#[case::status_line("HTTP/1.1 101 ", "x")]
#[case::header_line("HTTP/1.1 101 Switching Protocols\r\nx-long: ", "x")]
#[case::header_lines("HTTP/1.1 101 Switching Protocols\r\n", "x-a: b\r\n")]
#[case::no_http("", "\0\u{1}no answer")]
#[case::interim("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[actix_rt::test]
async fn a_control_member_that_sends_without_end_holds_nothing_up(
    #[case] start: &str,
    #[case] piece: &str,
) {
    let shape = Shape { start: start.to_owned(), piece: piece.to_owned() };
    let endpoint = Endpoint::start("x-request", shape).unwrap();
    let entry = Entry::with_control("e1", &endpoint.address().to_string(), "");
    let client = WsClientBuilder::default().build(format!("ws://{}", entry.daemon.peers()));
    let client = client.await.unwrap();
    let heartbeat = Heartbeat {
        from: "e2".into(),
        view: id::View::default(),
        revision: id::Revision::default(),
        is_confirmed: false,
        ready_for: Millis::ZERO,
        suspects: Vec::new(),
        lent: Vec::new(),
    };
    let (started, mut longest) = (Instant::now(), Duration::ZERO);
    while started.elapsed() < WATCH {
        let asked = Instant::now();
        let answer =
            client.request::<Heartbeat, _>(method::PEER_HEARTBEAT, rpc_params![&heartbeat]);
        assert!(answer.await.is_ok());
        longest = longest.max(asked.elapsed());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(!endpoint.floods().is_empty(), "the entry called nothing");
    assert!(longest < HEARTBEAT_BOUND, "a heartbeat was answered after {longest:?}");
}
