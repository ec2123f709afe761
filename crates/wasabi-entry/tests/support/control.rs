//! A control group of one member in this process, with faults on its answers.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use jsonrpsee::{
    RpcModule,
    server::{Server, ServerHandle},
    types::ErrorObjectOwned,
};
use wasabi_protocol::{
    clock::unix_now,
    command::{Command, Config, Order, Outcome},
    contract::Contract,
    id,
    rpc::{Checked, Checkin, Held, Propose, Proposed, Update, method},
};
use wasabi_state::Machine;

/// Time between two looks at whether an answer is still held back.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// What the answers of control are like.
#[derive(Debug, Default)]
struct Faults {
    /// Delays the answers to proposals, in milliseconds.
    delay: AtomicU64,
    /// Holds the answers to proposals back.
    held: AtomicBool,
    /// Attempts recorded.
    records: AtomicU64,
    /// Answers nothing, like a group without a quorum.
    lost: AtomicBool,
    /// Commits proposals and answers that their outcome is unknown.
    unknown: AtomicBool,
    /// Answers check-ins with the configuration, as leaders of earlier versions do.
    carries: AtomicBool,
}

struct State {
    machine: Machine,
    index: u64,
}

impl State {
    fn apply(&mut self, command: &Command) -> Outcome {
        self.index += 1;
        self.machine.apply(self.index, unix_now(), command)
    }
}

/// A running control member.
pub struct Control {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    faults: Arc<Faults>,
    _server: ServerHandle,
}

type Shared = (Arc<Mutex<State>>, Arc<Faults>);

impl Control {
    /// Starts a member that holds the contracts of the tests.
    pub async fn start() -> Self {
        let mut state = State { machine: Machine::new(), index: 0 };
        let contracts: Vec<Contract> = serde_json::from_value(super::contracts()).unwrap();
        for contract in contracts {
            let order = Order {
                command: format!("c{}", state.index).as_str().into(),
                operator: "test".to_owned(),
                base: state.machine.config().revision,
            };
            let outcome = state.apply(&Command::ApplyContract { order, contract });
            assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
        }
        let state = Arc::new(Mutex::new(state));
        let faults = Arc::new(Faults::default());
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let address = server.local_addr().unwrap();
        let server = server.start(module((Arc::clone(&state), Arc::clone(&faults))));
        Self { address, state, faults, _server: server }
    }

    /// Returns its address.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Delays the answers to proposals.
    pub fn delay(&self, delay: Duration) {
        self.faults.delay.store(u64::try_from(delay.as_millis()).unwrap(), Ordering::SeqCst);
    }

    /// Commits proposals and holds their answers back, or sends those that were held.
    pub fn hold(&self, is_held: bool) {
        self.faults.held.store(is_held, Ordering::SeqCst);
    }

    /// Returns how many attempts were recorded.
    pub fn records(&self) -> u64 {
        self.faults.records.load(Ordering::SeqCst)
    }

    /// Loses the quorum or finds it again.
    pub fn lose(&self, is_lost: bool) {
        self.faults.lost.store(is_lost, Ordering::SeqCst);
    }

    /// Makes the outcomes of proposals unknown or known.
    pub fn forget(&self, is_unknown: bool) {
        self.faults.unknown.store(is_unknown, Ordering::SeqCst);
    }

    /// Answers check-ins as a leader of an earlier version, or as one of this version.
    pub fn carry(&self, carries: bool) {
        self.faults.carries.store(carries, Ordering::SeqCst);
    }

    /// Returns the configuration that it holds.
    pub fn config(&self) -> Config {
        self.state.lock().unwrap().machine.config()
    }

    /// Commits a command of the test.
    pub fn apply(&self, command: &Command) -> Outcome {
        self.state.lock().unwrap().apply(command)
    }
}

fn module(shared: Shared) -> RpcModule<Shared> {
    let mut module = RpcModule::new(shared);
    let added = module.register_async_method(method::CONTROL_HEARTBEAT, |params, shared, _| {
        let checkin = params.one::<Checkin>();
        let shared = Arc::clone(&shared);
        async move { check_in(&shared.0, &shared.1, checkin?) }
    });
    added.unwrap();
    let added = module.register_async_method(method::PROPOSE, |params, shared, _| {
        let propose = params.one::<Propose>();
        let shared = Arc::clone(&shared);
        async move {
            if shared.1.lost.load(Ordering::SeqCst) {
                return Ok(Proposed::NotLeader { leader: None });
            }
            let command = propose?.command;
            let outcome = shared.0.lock().unwrap().apply(&command);
            if matches!(command, Command::RecordDispatch { .. }) {
                shared.1.records.fetch_add(1, Ordering::SeqCst);
            }
            let delay = shared.1.delay.load(Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(delay)).await;
            while shared.1.held.load(Ordering::SeqCst) {
                tokio::time::sleep(LOOK_EVERY).await;
            }
            if shared.1.unknown.load(Ordering::SeqCst) {
                return Ok(Proposed::Unknown);
            }
            Ok::<_, ErrorObjectOwned>(Proposed::Committed(outcome))
        }
    });
    added.unwrap();
    let added = module.register_method(method::CONFIG, |params, shared, _| {
        let held: Option<Held> = params.sequence().optional_next()?;
        let config = shared.0.lock().unwrap().machine.config();
        Ok::<_, ErrorObjectOwned>(Update::new(config, held.as_ref()))
    });
    added.unwrap();
    module
}

fn check_in(
    state: &Mutex<State>,
    faults: &Faults,
    checkin: Checkin,
) -> Result<Checked, ErrorObjectOwned> {
    if faults.lost.load(Ordering::SeqCst) {
        return Ok(Checked::NotLeader { leader: None });
    }
    let mut state = state.lock().unwrap();
    let view = state.machine.config().view;
    let known = view.entries.iter().find(|entry| entry.name == checkin.entry.name);
    if known != Some(&checkin.entry) {
        let mut entries = view.entries.clone();
        entries.retain(|entry| entry.name != checkin.entry.name);
        entries.push(checkin.entry);
        entries.sort_by(|left, right| left.name.cmp(&right.name));
        state.apply(&Command::SetView { base: view.number, entries });
    }
    let config = state.machine.config();
    let revision = config.revision;
    let carries = faults.carries.load(Ordering::SeqCst) || !checkin.fetches;
    let config = (carries && checkin.revision < revision).then(|| Box::new(config));
    Ok(Checked::Heard { revision, config, members: Vec::new() })
}

/// Returns an order on the revision in force.
pub fn order(control: &Control, command: &str) -> Order {
    let base: id::Revision = control.config().revision;
    Order { command: command.into(), operator: "test".to_owned(), base }
}
