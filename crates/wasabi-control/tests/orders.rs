//! Tests of version moves that are ordered with the time until their completion.
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

mod running;

use std::net::SocketAddr;

use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use running::{TIMEOUT, free_address, options, put_version, stop};
use tempfile::TempDir;
use wasabi_control::Running;
use wasabi_protocol::{
    clock::Millis,
    command::{Duty, Entry, Outcome},
    endpoint::{Abilities, Announcement, Kind, Load},
    id,
    rpc::{Checkin, CheckinReply, MoveOrder, Proposed, Read, method},
};

fn announcement(name: &str, version: &str) -> Announcement {
    Announcement {
        name: name.into(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        data_centre: "a".into(),
        kind: Kind::Service,
        backend: "app".into(),
        version: version.into(),
        adapters: Vec::new(),
        hardware: String::new(),
        concurrency: 4,
        abilities: Abilities::default(),
        load: Load::default(),
    }
}

/// Checks in as an entry that owns a pool with these endpoints.
async fn check_in(leader: SocketAddr, endpoints: Vec<Announcement>) {
    let address = free_address().to_string();
    let entry = Entry {
        name: "entry".into(),
        caller_address: address.clone(),
        peer_address: address,
        data_centre: "a".into(),
        region: "r".into(),
        capacity: 1_000,
        started: Millis(1),
        duty: Duty::Serving,
    };
    let checkin = Checkin {
        entry,
        revision: id::Revision(0),
        site: None,
        known: Vec::new(),
        evidence: Vec::new(),
        endpoints,
        suspects: Vec::new(),
        degraded: Vec::new(),
        fetches: false,
    };
    let client = WsClientBuilder::default().build(format!("ws://{leader}")).await.unwrap();
    let checked: CheckinReply =
        client.request(method::CONTROL_HEARTBEAT, rpc_params![checkin]).await.unwrap();
    assert!(matches!(checked, CheckinReply::Heard { .. }));
}

/// Guards against a move without a source version, accepted by a leader that does not know any
/// endpoint yet: the new version would get all traffic at once.
#[actix_rt::test]
async fn a_move_is_rejected_until_the_leader_knows_the_endpoints() {
    let address = free_address();
    let data = TempDir::new().unwrap();
    let running = Running::start(options(address, &[address], &[], data.path())).await.unwrap();
    put_version(1, &[&running]).await;
    let order = MoveOrder {
        backend: "app".into(),
        kind: Kind::Service,
        to: "v2".into(),
        within: Millis(10_000),
    };
    let local = running.local();
    let early = local.start_move(order.clone()).await;
    assert_eq!(early, Proposed::NotLeader { leader: None });
    assert_eq!(
        local.last_move("app".into()).await,
        Read::Held(None),
        "the early order was not accepted"
    );
    check_in(address, vec![announcement("one", "v1"), announcement("two", "v2")]).await;
    let started = std::time::Instant::now();
    let taken = local.start_move(order).await;
    assert!(matches!(taken, Proposed::Committed(Outcome::Accepted { .. })), "{taken:?}");
    assert!(started.elapsed() < TIMEOUT);
    let Read::Held(Some(taken)) = local.last_move("app".into()).await else {
        panic!("the leader does not know the move")
    };
    assert_eq!(taken.plan.from, "v1".into());
    stop(running).await;
}
