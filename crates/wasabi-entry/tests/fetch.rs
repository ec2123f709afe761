//! How often an entry fetches a configuration when its peers announce newer revisions.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use jsonrpsee::{
    RpcModule,
    core::client::ClientT as _,
    rpc_params,
    server::{Server, ServerHandle},
    types::ErrorObjectOwned,
    ws_client::{WsClient, WsClientBuilder},
};
use serde_json::{Value, json};
use support::{Entry, control::Control, wait_until};
use wasabi_protocol::{
    clock::Millis,
    command::{self, Command, Config, Duty},
    id,
    rpc::method,
};

/// Number of entries in the view besides the one under test.
const PEER_COUNT: usize = 83;

/// One server that simulates all peers of an entry.
struct Peers {
    config: Arc<Mutex<Config>>,
    fetch_count: Arc<AtomicUsize>,
    address: String,
    _server: ServerHandle,
}

impl Peers {
    /// Starts the server; `delay` passes before an answer with the configuration.
    async fn start(delay: Duration) -> Self {
        let config = Arc::new(Mutex::new(Config::default()));
        let fetch_count = Arc::new(AtomicUsize::new(0));
        let mut module = RpcModule::new((Arc::clone(&config), Arc::clone(&fetch_count)));
        let registered =
            module.register_async_method(method::CONFIG, move |_, shared, _| async move {
                shared.1.fetch_add(1, Ordering::SeqCst);
                let config = shared.0.lock().unwrap().clone();
                tokio::time::sleep(delay).await;
                Ok::<_, ErrorObjectOwned>(config)
            });
        registered.unwrap();
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let address = server.local_addr().unwrap().to_string();
        Self { config, fetch_count, address, _server: server.start(module) }
    }

    fn fetch_count(&self) -> usize {
        self.fetch_count.load(Ordering::SeqCst)
    }

    /// Returns the record of a peer in the view.
    fn entry(&self, number: usize) -> command::Entry {
        command::Entry {
            name: format!("p{number:02}").as_str().into(),
            caller_address: self.address.clone(),
            peer_address: self.address.clone(),
            data_centre: "dc1".into(),
            region: "north".into(),
            capacity: 1_000,
            started: Millis::ZERO,
            duty: Duty::Serving,
        }
    }
}

/// An entry in a view whose peers are simulated.
struct Site {
    entry: Entry,
    peers: Peers,
    client: WsClient,
    config: Config,
}

impl Site {
    async fn start(delay: Duration) -> Self {
        let control = Control::start().await;
        let peers = Peers::start(delay).await;
        let entry = Entry::with_control("e1", &control.address(), "");
        wait_until("the entry is in the view", async || !control.config().view.entries.is_empty())
            .await;
        let view = control.config().view;
        let entries =
            view.entries.iter().cloned().chain((0..PEER_COUNT).map(|number| peers.entry(number)));
        control.apply(&Command::SetView { base: view.number, entries: entries.collect() });
        let config = control.config();
        let address = format!("ws://{}", entry.daemon.peers());
        let client = WsClientBuilder::default().build(address).await.unwrap();
        wait_until("the entry has the view", async || {
            let held: Value = client.request(method::CONFIG, rpc_params![]).await.unwrap();
            held["revision"] == config.revision.0
        })
        .await;
        // From here on only the peers announce revisions.
        control.set_quorum_lost(true);
        Self { entry, peers, client, config }
    }

    /// Moves the peers to the next revision.
    fn advance_revision(&mut self) {
        self.config.revision = self.config.revision.next();
        *self.peers.config.lock().unwrap() = self.config.clone();
    }

    /// Sends a heartbeat of every peer, which announces its revision.
    async fn send_heartbeats(&self) {
        for number in 0..PEER_COUNT {
            let heartbeat = json!({
                "from": format!("p{number:02}"), "view": self.config.view.number,
                "revision": self.config.revision, "known": [], "pools": [], "suspects": [],
                "lent": [],
            });
            let answer: Value =
                self.client.request(method::PEER_HEARTBEAT, rpc_params![heartbeat]).await.unwrap();
            assert_eq!(answer["from"], "e1");
        }
    }

    async fn wait_until_in_force(&self) {
        let revision: id::Revision = self.config.revision;
        wait_until("the newest revision is in force", async || {
            let held: Value = self.client.request(method::CONFIG, rpc_params![]).await.unwrap();
            held["revision"] == revision.0
        })
        .await;
    }
}

/// Guards against one fetch for each peer that announces a newer revision.
#[actix_rt::test]
async fn a_revision_that_every_peer_announces_is_fetched_once() {
    let mut site = Site::start(Duration::from_millis(300)).await;
    site.advance_revision();
    site.send_heartbeats().await;
    site.wait_until_in_force().await;
    site.send_heartbeats().await;
    assert_eq!(site.peers.fetch_count(), 1);
    site.entry.daemon.kill();
}

/// Guards against a revision announced while a fetch is in progress that is fetched once for each
/// peer, or not at all.
#[actix_rt::test]
async fn a_revision_announced_during_a_fetch_is_fetched_once_after_it() {
    let mut site = Site::start(Duration::from_millis(300)).await;
    site.advance_revision();
    site.send_heartbeats().await;
    wait_until("the first fetch is in progress", async || 0 < site.peers.fetch_count()).await;
    site.advance_revision();
    site.send_heartbeats().await;
    site.wait_until_in_force().await;
    site.send_heartbeats().await;
    assert_eq!(site.peers.fetch_count(), 2);
    site.entry.daemon.kill();
}

/// Guards against answers to fetches that repeat the view or the revision that the requester holds.
#[actix_rt::test]
async fn a_fetch_does_not_return_what_the_requester_holds() {
    let site = Site::start(Duration::ZERO).await;
    let (revision, view) = (site.config.revision.0, site.config.view.number);
    let fetch = async |revision: u64| -> Value {
        let held = json!({"revision": revision, "view": view, "site": null});
        site.client.request(method::CONFIG, rpc_params![held]).await.unwrap()
    };
    let answer = fetch(revision - 1).await;
    assert_eq!(answer["revision"], revision);
    assert_eq!(answer.get("view"), None);
    assert!(!answer["contracts"].as_array().unwrap().is_empty());
    let answer = fetch(revision).await;
    assert!(answer.to_string().len() < 200, "{answer}");
    site.entry.daemon.kill();
}
