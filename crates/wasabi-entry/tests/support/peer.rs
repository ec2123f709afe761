//! A simulated peer that owns a pool or answers that it does not.

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

use super::{control::Control, wait_until};

/// How the peer answers a request for a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mode {
    /// It does not own the pool; the named entry does, as far as it knows.
    NotOwner(Option<String>),
    /// It does not answer until the mode changes.
    Silent,
    /// It answers no heartbeats either until the mode changes, so that others declare it lost.
    Frozen,
    /// A grant for the endpoint at this address.
    Grant(SocketAddr),
}

/// Returns names of peers that rank above the entry `e1` in the rendezvous order of the pool, the
/// highest first.
pub fn higher_ranked_names(count: usize) -> Vec<String> {
    let score = |name: &str| rendezvous::score("coal/north/0", name);
    let mut names: Vec<_> = (0..100).map(|number| format!("f{number}")).collect();
    names.retain(|name| score("e1") < score(name));
    names.truncate(count);
    names.sort_by_key(|name| std::cmp::Reverse(score(name)));
    names
}

/// Starts the entry `e1` in a view with these peers, which rank above it as owners of the pool.
pub async fn start_holder(control: &Control, peers: Vec<Entry>) -> super::Entry {
    let entry = super::Entry::with_control("e1", &control.address(), "");
    wait_until("the entry is in the view", async || control.config().view.entries.len() == 1).await;
    let view = control.config().view;
    let mut entries = view.entries.clone();
    entries.extend(peers);
    control.apply(&Command::SetView { base: view.number, entries });
    let caller = entry.caller();
    wait_until("the entry has the newest view", async || {
        let answer = caller.send(caller.request("GET", "/v1/entries"), "").await;
        let list: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        list["revision"] == control.config().revision.0
    })
    .await;
    entry
}

/// State that the handlers of the peer share.
struct State {
    name: String,
    mode: Mutex<Mode>,
    acquire_count: AtomicU64,
    release_count: AtomicU64,
    released: Mutex<Vec<Release>>,
    report_count: AtomicU64,
    /// Time for which it reports to have been ready, in milliseconds; zero when not confirmed.
    ready_for_ms: AtomicU64,
    /// Time after which it answers that an endpoint leaves, in milliseconds.
    leave_delay_ms: AtomicU64,
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
            acquire_count: AtomicU64::new(0),
            release_count: AtomicU64::new(0),
            released: Mutex::default(),
            report_count: AtomicU64::new(0),
            ready_for_ms: AtomicU64::new(3_600_000),
            leave_delay_ms: AtomicU64::default(),
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

    /// Returns its record in a view.
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

    /// Changes how it answers.
    pub fn set_mode(&self, mode: Mode) {
        *self.state.mode.lock().unwrap() = mode;
    }

    /// Changes for how long it reports to have been ready; zero means not confirmed.
    pub fn set_ready_for(&self, time: Millis) {
        self.state.ready_for_ms.store(time.0, Ordering::SeqCst);
    }

    /// Changes the time after which it answers that an endpoint leaves.
    pub fn set_leave_delay(&self, delay: Millis) {
        self.state.leave_delay_ms.store(delay.0, Ordering::SeqCst);
    }

    /// Returns how many requests for grants it received.
    pub fn acquire_count(&self) -> u64 {
        self.state.acquire_count.load(Ordering::SeqCst)
    }

    /// Returns how many releases of grants it received.
    pub fn release_count(&self) -> u64 {
        self.state.release_count.load(Ordering::SeqCst)
    }

    /// Returns the releases that it received.
    pub fn released(&self) -> Vec<Release> {
        self.state.released.lock().unwrap().clone()
    }

    /// Returns how many reports of running grants it received.
    pub fn report_count(&self) -> u64 {
        self.state.report_count.load(Ordering::SeqCst)
    }
}

fn module(state: Arc<State>) -> RpcModule<Arc<State>> {
    let mut module = RpcModule::new(state);
    let registered = module.register_async_method(method::ACQUIRE, |params, state, _| {
        let acquire = params.one::<Acquire>();
        let state = Arc::clone(&state);
        async move {
            let number = state.acquire_count.fetch_add(1, Ordering::SeqCst) + 1;
            Ok::<_, ErrorObjectOwned>(answer(&state, &acquire?.pool, number).await)
        }
    });
    registered.unwrap();
    let registered = module.register_async_method(method::PEER_HEARTBEAT, |_, state, _| {
        let state = Arc::clone(&state);
        async move {
            while *state.mode.lock().unwrap() == Mode::Frozen {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let ready_for = Millis(state.ready_for_ms.load(Ordering::SeqCst));
            Ok::<_, ErrorObjectOwned>(Heartbeat {
                from: state.name.as_str().into(),
                view: id::View::default(),
                revision: id::Revision::default(),
                is_confirmed: ready_for != Millis::ZERO,
                ready_for,
                suspects: Vec::new(),
                crashes: Vec::new(),
                answered: Vec::new(),
                poisons: Vec::new(),
                lent: Vec::new(),
            })
        }
    });
    registered.unwrap();
    let registered = module.register_async_method(method::LEAVE, |_, state, _| {
        let state = Arc::clone(&state);
        async move {
            let delay_ms = state.leave_delay_ms.load(Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            Ok::<_, ErrorObjectOwned>(())
        }
    });
    registered.unwrap();
    let registered = module.register_method(method::RELEASE, |params, state, _| {
        state.release_count.fetch_add(1, Ordering::SeqCst);
        state.released.lock().unwrap().extend(params.one::<Release>().ok());
    });
    registered.unwrap();
    let registered = module.register_method(method::REPORT, |_, state, _| {
        state.report_count.fetch_add(1, Ordering::SeqCst);
    });
    registered.unwrap();
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
