//! Which fetches of a configuration an entry makes, by the peers that name newer revisions.

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

/// Entries of the view beside the one under test.
const PEERS: usize = 83;

/// One server that stands for all peers of an entry.
struct Peers {
    held: Arc<Mutex<Config>>,
    fetches: Arc<AtomicUsize>,
    address: String,
    _server: ServerHandle,
}

impl Peers {
    /// Starts the server; `delay` passes before an answer with the configuration.
    async fn start(delay: Duration) -> Self {
        let held = Arc::new(Mutex::new(Config::default()));
        let fetches = Arc::new(AtomicUsize::new(0));
        let mut module = RpcModule::new((Arc::clone(&held), Arc::clone(&fetches)));
        let added = module.register_async_method(method::CONFIG, move |_, shared, _| async move {
            shared.1.fetch_add(1, Ordering::SeqCst);
            let config = shared.0.lock().unwrap().clone();
            tokio::time::sleep(delay).await;
            Ok::<_, ErrorObjectOwned>(config)
        });
        added.unwrap();
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let address = server.local_addr().unwrap().to_string();
        Self { held, fetches, address, _server: server.start(module) }
    }

    fn fetches(&self) -> usize {
        self.fetches.load(Ordering::SeqCst)
    }

    /// Returns the entry under which the server stands in the view.
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

/// An entry in a view with peers that only this test speaks for.
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
        let entries = view.entries.iter().cloned().chain((0..PEERS).map(|at| peers.entry(at)));
        control.apply(&Command::SetView { base: view.number, entries: entries.collect() });
        let config = control.config();
        let address = format!("ws://{}", entry.daemon.peers());
        let client = WsClientBuilder::default().build(address).await.unwrap();
        wait_until("the entry holds the view", async || {
            let held: Value = client.request(method::CONFIG, rpc_params![]).await.unwrap();
            held["revision"] == config.revision.0
        })
        .await;
        // From here on only peers name revisions.
        control.set_quorum_lost(true);
        Self { entry, peers, client, config }
    }

    /// Puts the next revision in force at the peers.
    fn change(&mut self) {
        self.config.revision = self.config.revision.next();
        *self.peers.held.lock().unwrap() = self.config.clone();
    }

    /// Has every peer name its revision in a heartbeat.
    async fn beat(&self) {
        for number in 0..PEERS {
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

/// Guards against one fetch for each peer that names a newer revision.
#[actix_rt::test]
async fn a_revision_that_every_peer_names_is_fetched_once() {
    let mut site = Site::start(Duration::from_millis(300)).await;
    site.change();
    site.beat().await;
    site.wait_until_in_force().await;
    site.beat().await;
    assert_eq!(site.peers.fetches(), 1);
    site.entry.daemon.kill();
}

/// Guards against a fetch for each peer that names one more revision while a fetch is under way, and
/// against none.
#[actix_rt::test]
async fn a_revision_named_during_a_fetch_is_fetched_once_after_it() {
    let mut site = Site::start(Duration::from_millis(300)).await;
    site.change();
    site.beat().await;
    wait_until("the first fetch is under way", async || 0 < site.peers.fetches()).await;
    site.change();
    site.beat().await;
    site.wait_until_in_force().await;
    site.beat().await;
    assert_eq!(site.peers.fetches(), 2);
    site.entry.daemon.kill();
}

/// Guards against askers that are sent the view or the revision that they hold.
#[actix_rt::test]
async fn an_asker_is_not_sent_what_it_holds() {
    let site = Site::start(Duration::ZERO).await;
    let (revision, view) = (site.config.revision.0, site.config.view.number);
    let ask = async |revision: u64| -> Value {
        let held = json!({"revision": revision, "view": view, "site": null});
        site.client.request(method::CONFIG, rpc_params![held]).await.unwrap()
    };
    let answer = ask(revision - 1).await;
    assert_eq!(answer["revision"], revision);
    assert_eq!(answer.get("view"), None);
    assert!(!answer["contracts"].as_array().unwrap().is_empty());
    let answer = ask(revision).await;
    assert!(answer.to_string().len() < 200, "{answer}");
    site.entry.daemon.kill();
}
