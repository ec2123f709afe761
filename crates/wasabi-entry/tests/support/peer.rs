//! A peer in this process that owns a pool or says that it does not.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use jsonrpsee::{
    RpcModule,
    server::{Server, ServerHandle},
    types::ErrorObjectOwned,
};
use serde_json::{Value, json};
use wasabi_protocol::{
    clock::Millis,
    command::{Command, Duty, Entry},
    id,
    rpc::{Acquire, Heartbeat, Release, method},
};
use wasabi_routing::rendezvous;

use super::{control::Control, until};

/// What the peer answers to a call for a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mode {
    /// It does not own the pool; some other entry may, as it believes.
    NotOwner(Option<String>),
    /// Nothing, until the mode changes.
    Silent,
    /// Nothing, to heartbeats either, until the mode changes: others take it for lost.
    Frozen,
    /// A grant for the endpoint at this address.
    Grant(SocketAddr),
}

/// Returns names of peers that come before the entry `e1` in the order of the pool's owners.
pub fn names(count: usize) -> Vec<String> {
    let score = |name: &str| rendezvous::score("coal/north/0", name);
    let mut names: Vec<_> = (0..100).map(|number| format!("f{number}")).collect();
    names.retain(|name| score("e1") < score(name));
    names.truncate(count);
    names.sort_by_key(|name| std::cmp::Reverse(score(name)));
    names
}

/// Starts an entry that takes the peers, in this order, for the owners of the pool.
pub async fn holder(control: &Control, peers: Vec<Entry>) -> super::Entry {
    let entry = super::Entry::controlled("e1", &control.address(), "");
    until("the entry is in the view", async || control.config().view.entries.len() == 1).await;
    let view = control.config().view;
    let mut entries = view.entries.clone();
    entries.extend(peers);
    control.apply(&Command::SetView { base: view.number, entries });
    let caller = entry.caller();
    until("the entry holds the newest view", async || {
        let answer = caller.send(caller.request("GET", "/v1/entries"), "").await;
        let list: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        list["revision"] == control.config().revision.0
    })
    .await;
    entry
}

/// What the handlers of the peer share.
struct State {
    name: String,
    mode: Mutex<Mode>,
    acquires: AtomicU64,
    releases: AtomicU64,
    released: Mutex<Vec<Release>>,
    reports: AtomicU64,
    /// For how long it says that it has been ready, in milliseconds; zero when not confirmed.
    ready_for: AtomicU64,
}

/// A running peer.
pub struct Peer {
    address: SocketAddr,
    state: Arc<State>,
    _server: ServerHandle,
}

impl Peer {
    /// Starts a peer.
    pub async fn start(name: &str, mode: Mode) -> Self {
        let state = Arc::new(State {
            name: name.to_owned(),
            mode: Mutex::new(mode),
            acquires: AtomicU64::new(0),
            releases: AtomicU64::new(0),
            released: Mutex::default(),
            reports: AtomicU64::new(0),
            ready_for: AtomicU64::new(3_600_000),
        });
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let address = server.local_addr().unwrap();
        let server = server.start(module(Arc::clone(&state)));
        Self { address, state, _server: server }
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns it as an entry of a view.
    pub fn entry(&self) -> Entry {
        Entry {
            name: self.state.name.as_str().into(),
            caller_address: "127.0.0.1:9".to_owned(),
            peer_address: self.address.to_string(),
            data_centre: "dc1".into(),
            region: "north".into(),
            capacity: 1_000,
            started: Millis(1),
            duty: Duty::Serving,
        }
    }

    /// Changes what it answers.
    pub fn set(&self, mode: Mode) {
        *self.state.mode.lock().unwrap() = mode;
    }

    /// Changes for how long it says that it has been ready; zero when it is not confirmed.
    pub fn set_ready(&self, time: Millis) {
        self.state.ready_for.store(time.0, Ordering::SeqCst);
    }

    /// Returns how many calls for grants came.
    pub fn acquires(&self) -> u64 {
        self.state.acquires.load(Ordering::SeqCst)
    }

    /// Returns how many grants were given back.
    pub fn releases(&self) -> u64 {
        self.state.releases.load(Ordering::SeqCst)
    }

    /// Returns the grants that were given back.
    pub fn released(&self) -> Vec<Release> {
        self.state.released.lock().unwrap().clone()
    }

    /// Returns how many reports of running grants came.
    pub fn reports(&self) -> u64 {
        self.state.reports.load(Ordering::SeqCst)
    }
}

fn module(state: Arc<State>) -> RpcModule<Arc<State>> {
    let mut module = RpcModule::new(state);
    let added = module.register_async_method(method::ACQUIRE, |params, state, _| {
        let asked = params.one::<Acquire>();
        let state = Arc::clone(&state);
        async move {
            let number = state.acquires.fetch_add(1, Ordering::SeqCst) + 1;
            Ok::<_, ErrorObjectOwned>(answer(&state, &asked?.pool, number).await)
        }
    });
    added.unwrap();
    let added = module.register_async_method(method::PEER_HEARTBEAT, |_, state, _| {
        let state = Arc::clone(&state);
        async move {
            while *state.mode.lock().unwrap() == Mode::Frozen {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let ready_for = Millis(state.ready_for.load(Ordering::SeqCst));
            Ok::<_, ErrorObjectOwned>(Heartbeat {
                from: state.name.as_str().into(),
                view: id::View::default(),
                revision: id::Revision::default(),
                is_confirmed: ready_for != Millis::ZERO,
                ready_for,
                suspects: Vec::new(),
                lent: Vec::new(),
            })
        }
    });
    added.unwrap();
    let added = module.register_method(method::RELEASE, |params, state, _| {
        state.releases.fetch_add(1, Ordering::SeqCst);
        state.released.lock().unwrap().extend(params.one::<Release>().ok());
    });
    added.unwrap();
    let added = module.register_method(method::REPORT, |_, state, _| {
        state.reports.fetch_add(1, Ordering::SeqCst);
    });
    added.unwrap();
    module
}

async fn answer(state: &State, pool: &id::Pool, number: u64) -> Value {
    loop {
        let mode = state.mode.lock().unwrap().clone();
        match mode {
            Mode::Silent | Mode::Frozen => tokio::time::sleep(Duration::from_millis(5)).await,
            Mode::NotOwner(owner) => return json!({"NotOwner": {"view": 1, "owner": owner}}),
            Mode::Grant(address) => {
                return json!({"Granted": {
                    "grant": number, "pool": pool, "owner": state.name, "endpoint": "m1",
                    "address": address.to_string(), "version": "v1", "resume": false,
                    "first_token_bound": 5_000, "between_tokens_bound": 5_000,
                }});
            }
        }
    }
}
