//! Sites of several entries: owners and holders of requests, failover, isolation, and the
//! propagation of configurations.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use std::time::Duration;

use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use serde_json::{Value, json};
use support::{
    Entry,
    control::{Control, order},
    expected_text,
    peer::{Mode, Peer, higher_ranked_names, start_holder},
    start_engine, start_standin, wait_until,
};
use wasabi_protocol::{
    clock::Millis,
    command::Command,
    endpoint::Kind,
    fingerprint, id,
    rpc::{Suspect, method},
};
use wasabi_testkit::relay::{Direction, Relay};

/// Starts entries with one control member and waits until each has the view with all of them.
async fn start_entries(control: &Control, count: usize) -> Vec<Entry> {
    let entries: Vec<_> = (1..=count)
        .map(|number| {
            let extra_settings = "callers:\n  list_lifetime: 1s";
            Entry::with_control(&format!("e{number}"), &control.address(), extra_settings)
        })
        .collect();
    wait_until("the view contains every entry", async || {
        control.config().view.entries.len() == count
    })
    .await;
    for entry in &entries {
        let caller = entry.caller();
        wait_until("the entry has the newest view", async || {
            let answer = caller.send(caller.request("GET", "/v1/entries"), "").await;
            let list: Value = serde_json::from_str(&answer.body).unwrap();
            list["revision"] == control.config().revision.0
        })
        .await;
    }
    entries
}

/// Returns the index of the entry that owns the pool of a backend.
fn owner_index(control: &Control, backend: &str) -> usize {
    let pool = wasabi_routing::rendezvous::pool(&backend.into(), &"north".into(), 0);
    let view = control.config().view;
    let name = wasabi_routing::rendezvous::owner(&pool, &view).unwrap().name.clone();
    name.as_str()[1..].parse::<usize>().unwrap() - 1
}

/// Guards against requests that fail because their entry does not own the pool.
#[actix_rt::test]
async fn every_entry_serves_every_pool() {
    let control = Control::start().await;
    let entries = start_entries(&control, 3).await;
    let _engine = start_engine("m1", &entries.iter().collect::<Vec<_>>());
    for entry in &entries {
        entry.caller().wait_until_served().await;
        let answer = entry.caller().chat("stock", 50).await;
        assert!(answer.is_done(), "{}", answer.body);
        assert_eq!(answer.text(), expected_text("stock", 50));
    }
}

/// Guards against broken streams, and requests that wait forever, when the owner of a pool dies.
#[actix_rt::test]
async fn the_next_entry_takes_over_the_pools_of_a_dead_owner() {
    let control = Control::start().await;
    let mut entries = start_entries(&control, 3).await;
    let engine =
        start_standin("m1", Kind::Model, "coal", &entries.iter().collect::<Vec<_>>(), |settings| {
            settings.between_tokens_ms = Millis(20);
            settings.concurrency = 4;
        });
    for entry in &entries {
        entry.caller().wait_until_served().await;
    }
    let owner = entries.remove(owner_index(&control, "coal"));
    let holder = entries[0].caller();
    let running = holder.chat("running", 100);
    let kill = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        owner.daemon.kill();
        let killed = std::time::Instant::now();
        let answer = entries[1].caller().chat("next", 3).await;
        assert!(answer.is_done(), "{}", answer.body);
        assert!(killed.elapsed() < Duration::from_secs(4), "{:?}", killed.elapsed());
    };
    let (answer, ()) = futures_util::future::join(running, kill).await;
    assert!(answer.is_done(), "{}", answer.body);
    assert_eq!(answer.text(), expected_text("running", 100));
    drop(engine);
}

/// Guards against requests that wait while the killed owner of their pool restarts and takes the
/// pool back.
#[actix_rt::test]
async fn the_restart_of_an_owner_delays_no_request() {
    let control = Control::start().await;
    let mut entries = start_entries(&control, 3).await;
    let _engine = start_engine("m1", &entries.iter().collect::<Vec<_>>());
    for entry in &entries {
        entry.caller().wait_until_served().await;
    }
    let first = owner_index(&control, "coal");
    let name = format!("e{}", first + 1);
    entries.remove(first).daemon.kill();
    let caller = entries[0].caller();
    wait_until("the next owner serves", async || caller.chat("stock", 1).await.is_done()).await;
    let _restarted = Entry::with_control(&name, &control.address(), "");
    let started = std::time::Instant::now();
    while started.elapsed() < Duration::from_secs(6) {
        let sent = std::time::Instant::now();
        let answer = caller.chat("stock", 1).await;
        assert!(answer.is_done(), "{}", answer.body);
        let took = sent.elapsed();
        assert!(took < Duration::from_secs(1), "a request took {took:?}");
    }
}

/// Guards against an isolated entry that goes on serving with a possibly outdated configuration.
#[actix_rt::test]
async fn an_isolated_entry_refuses_and_rejoins() {
    let control = Control::start().await;
    let mut entries = start_entries(&control, 3).await;
    let engine = start_engine("m1", &entries.iter().collect::<Vec<_>>());
    let last = entries.remove(2);
    last.caller().wait_until_served().await;
    for other in entries {
        other.daemon.kill();
    }
    control.set_quorum_lost(true);
    let caller = last.caller();
    wait_until("the entry refuses", async || {
        let answer = caller.chat("stock", 1).await;
        answer.kind() == "entry_isolated" && answer.ran == "not_run"
    })
    .await;
    let before = engine.counts().requests;
    assert_eq!(caller.chat("stock", 1).await.kind(), "entry_isolated");
    assert_eq!(engine.counts().requests, before);
    control.set_quorum_lost(false);
    wait_until("the entry serves again", async || caller.chat("stock", 1).await.is_done()).await;
}

/// Guards against entries that stop serving when only the control group is unavailable.
#[actix_rt::test]
async fn a_majority_of_entries_serves_without_control() {
    let control = Control::start().await;
    let entries = start_entries(&control, 3).await;
    let _engine = start_engine("m1", &entries.iter().collect::<Vec<_>>());
    entries[0].caller().wait_until_served().await;
    control.set_quorum_lost(true);
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    for entry in &entries {
        let answer = entry.caller().chat("stock", 3).await;
        assert!(answer.is_done(), "{}", answer.body);
    }
}

/// Guards against an accepted change of contracts that takes longer than 3 s to reach an entry.
#[actix_rt::test]
async fn a_changed_contract_is_in_force_everywhere() {
    let control = Control::start().await;
    let entries = start_entries(&control, 3).await;
    let organisation: id::Organisation = "hospital".into();
    control.apply(&Command::RemoveContract { order: order(&control, "end"), organisation });
    let removed = std::time::Instant::now();
    for entry in &entries {
        let caller = entry.caller();
        wait_until("the token is refused", async || {
            caller.send(caller.request("GET", "/v1/entries"), "").await.kind() == "unauthorized"
        })
        .await;
    }
    assert!(removed.elapsed() < Duration::from_secs(3), "{:?}", removed.elapsed());
}

/// Guards against a leave that is acknowledged before the owner of the endpoint's pool has received
/// it, so that the owner goes on sending work to the endpoint.
#[actix_rt::test]
async fn a_leave_is_acknowledged_only_once_the_owner_has_received_it() {
    let control = Control::start().await;
    let mut entries = start_entries(&control, 3).await;
    let _engine = start_engine("m1", &entries.iter().collect::<Vec<_>>());
    for entry in &entries {
        entry.caller().wait_until_served().await;
    }
    let owner = entries.remove(owner_index(&control, "coal"));
    let address = format!("ws://{}", entries[0].daemon.peers());
    let client = WsClientBuilder::default().build(address).await.unwrap();
    let retire = || client.request::<(), _>(method::RETIRE, rpc_params![id::Endpoint::from("m9")]);
    retire().await.unwrap();
    owner.daemon.kill();
    // The other entries have not declared the owner lost yet.
    assert!(retire().await.is_err(), "the leave was acknowledged without the owner");
    wait_until("the next owner accepts the leave", async || retire().await.is_ok()).await;
}

/// Guards against heartbeats that grow with the number of suspects: the loss of many endpoints at
/// once creates hundreds of them, and on a large site the heartbeats then saturate the owners' links.
#[actix_rt::test]
async fn heartbeats_stay_small_with_hundreds_of_suspects() {
    let control = Control::start().await;
    let entries = start_entries(&control, 2).await;
    let _engine = start_engine("m1", &entries.iter().collect::<Vec<_>>());
    entries[0].caller().wait_until_served().await;
    let owner = owner_index(&control, "coal");
    let address = control.config().view.entries[owner].peer_address.clone();
    let client = WsClientBuilder::default().build(format!("ws://{address}")).await.unwrap();
    let suspects: Vec<_> = (0..900)
        .map(|body| Suspect {
            fingerprint: fingerprint::Body(body),
            organisation: "an-organisation".into(),
            crashes: 1,
            weight: 0.03,
            age: Millis(100),
        })
        .collect();
    let heartbeat = |suspects: Vec<Suspect>| {
        json!({
            "from": control.config().view.entries[1 - owner].name,
            "view": 0, "revision": 0, "known": [], "pools": [], "lent": [],
            "suspects": suspects,
        })
    };
    let reported = heartbeat(suspects);
    let _: Value = client.request(method::PEER_HEARTBEAT, rpc_params![reported]).await.unwrap();
    wait_until("suspects are forwarded in heartbeats", async || {
        let empty = heartbeat(Vec::new());
        let answer: Value =
            client.request(method::PEER_HEARTBEAT, rpc_params![empty]).await.unwrap();
        let bytes = answer.to_string().len();
        assert!(bytes < 16 * 1024, "a heartbeat has {bytes} bytes");
        !answer["suspects"].as_array().unwrap().is_empty()
    })
    .await;
}

/// Guards against an entry without a configuration that answers a valid token with `unauthorized`,
/// after which callers give up.
#[actix_rt::test]
async fn an_entry_without_a_configuration_answers_that_it_is_isolated() {
    let control = Control::start().await;
    control.set_quorum_lost(true);
    let entry = Entry::with_control("e1", &control.address(), "");
    let caller = entry.caller();
    let answer = caller.send(caller.request("GET", "/v1/entries"), "").await;
    assert_eq!((answer.status.as_u16(), answer.kind().as_str()), (503, "entry_isolated"));
    control.set_quorum_lost(false);
    wait_until("the entry answers", async || {
        let answer = caller.send(caller.request("GET", "/v1/entries"), "").await;
        assert_ne!(answer.kind(), "unauthorized");
        answer.status.as_u16() == 200
    })
    .await;
}

/// Guards against a peer that is declared lost because its answers are delayed, by 0.6 to 0.9 s and
/// then by 1.3 s: each time its pools move to another entry and back. Also guards against a new
/// connection for each late heartbeat, on which the heartbeat is sent again.
#[actix_rt::test]
async fn a_peer_with_late_answers_is_not_declared_lost() {
    let control = Control::start().await;
    let peer = Peer::start(&higher_ranked_names(1)[0], Mode::NotOwner(None)).await;
    let relay = Relay::start(peer.address()).unwrap();
    let mut owner = peer.entry();
    owner.peer_address = relay.address().to_string();
    let _entry = start_holder(&control, vec![owner]).await;
    wait_until("the peer is the owner and gets a report of running grants", async || {
        0 < peer.report_count()
    })
    .await;
    relay.delay(Direction::Backward, 300..400);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let (reports, connections) = (peer.report_count(), relay.connections());
    for delay in [600..900, 1_300..1_301] {
        relay.delay(Direction::Backward, delay.clone());
        let started = std::time::Instant::now();
        while started.elapsed() < Duration::from_secs(6) {
            tokio::time::sleep(Duration::from_millis(50)).await;
            // Running grants are reported to each new owner, so once more after a loss.
            assert_eq!(peer.report_count(), reports, "lost at a delay of {delay:?} ms");
        }
    }
    let opened = relay.connections() - connections;
    assert!(opened <= 12 / 2, "{opened} new connections in 12 s");
}
