//! A control group of one member in this process, with fault injection on its answers.

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
    rpc::{Checkin, CheckinReply, ConfigVersion, Propose, Proposed, Update, method},
};
use wasabi_state::Machine;

/// Interval between checks whether answers are still held back.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Faults of the member's answers, and a counter of its records.
#[derive(Debug, Default)]
struct Faults {
    /// Delay of the answers to proposals, in milliseconds.
    answer_delay_ms: AtomicU64,
    /// Whether answers to proposals are held back.
    holds_answers: AtomicBool,
    /// Committed records of dispatches.
    recorded_attempts: AtomicU64,
    /// Whether it knows no leader, like a member of a group without a quorum.
    is_quorum_lost: AtomicBool,
    /// Whether it commits proposals but answers that their outcome is unknown.
    is_outcome_unknown: AtomicBool,
    /// Whether it answers check-ins with the configuration, as leaders of earlier versions do.
    sends_config: AtomicBool,
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

    /// Sets the delay of answers to proposals.
    pub fn set_answer_delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap();
        self.faults.answer_delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Holds the answers to committed proposals back, or sends those that were held.
    pub fn hold_answers(&self, holds_answers: bool) {
        self.faults.holds_answers.store(holds_answers, Ordering::SeqCst);
    }

    /// Returns how many dispatches were recorded.
    pub fn recorded_attempts(&self) -> u64 {
        self.faults.recorded_attempts.load(Ordering::SeqCst)
    }

    /// Simulates the loss of the quorum, or ends it.
    pub fn set_quorum_lost(&self, is_lost: bool) {
        self.faults.is_quorum_lost.store(is_lost, Ordering::SeqCst);
    }

    /// Sets whether committed proposals are answered with an unknown outcome.
    pub fn set_outcome_unknown(&self, is_unknown: bool) {
        self.faults.is_outcome_unknown.store(is_unknown, Ordering::SeqCst);
    }

    /// Sets whether check-ins are answered with the configuration, as by a leader of an earlier
    /// version.
    pub fn set_sends_config(&self, sends_config: bool) {
        self.faults.sends_config.store(sends_config, Ordering::SeqCst);
    }

    /// Returns its configuration.
    pub fn config(&self) -> Config {
        self.state.lock().unwrap().machine.config()
    }

    /// Commits a command directly, without a proposal.
    pub fn apply(&self, command: &Command) -> Outcome {
        self.state.lock().unwrap().apply(command)
    }
}

fn module(shared: Shared) -> RpcModule<Shared> {
    let mut module = RpcModule::new(shared);
    let registered =
        module.register_async_method(method::CONTROL_HEARTBEAT, |params, shared, _| {
            let checkin = params.one::<Checkin>();
            let shared = Arc::clone(&shared);
            async move { check_in(&shared.0, &shared.1, checkin?) }
        });
    registered.unwrap();
    let registered = module.register_async_method(method::PROPOSE, |params, shared, _| {
        let propose = params.one::<Propose>();
        let shared = Arc::clone(&shared);
        async move {
            if shared.1.is_quorum_lost.load(Ordering::SeqCst) {
                return Ok(Proposed::NotLeader { leader: None });
            }
            let command = propose?.command;
            let outcome = shared.0.lock().unwrap().apply(&command);
            if matches!(command, Command::RecordDispatch { .. }) {
                shared.1.recorded_attempts.fetch_add(1, Ordering::SeqCst);
            }
            let delay_ms = shared.1.answer_delay_ms.load(Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            while shared.1.holds_answers.load(Ordering::SeqCst) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            if shared.1.is_outcome_unknown.load(Ordering::SeqCst) {
                return Ok(Proposed::Unknown);
            }
            Ok::<_, ErrorObjectOwned>(Proposed::Committed(outcome))
        }
    });
    registered.unwrap();
    let registered = module.register_method(method::CONFIG, |params, shared, _| {
        let held: Option<ConfigVersion> = params.sequence().optional_next()?;
        let config = shared.0.lock().unwrap().machine.config();
        Ok::<_, ErrorObjectOwned>(Update::new(config, held.as_ref()))
    });
    registered.unwrap();
    module
}

fn check_in(
    state: &Mutex<State>,
    faults: &Faults,
    checkin: Checkin,
) -> Result<CheckinReply, ErrorObjectOwned> {
    if faults.is_quorum_lost.load(Ordering::SeqCst) {
        return Ok(CheckinReply::NotLeader { leader: None });
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
    let sends_config = faults.sends_config.load(Ordering::SeqCst) || !checkin.fetches;
    let config = (sends_config && checkin.revision < revision).then(|| Box::new(config));
    Ok(CheckinReply::Heard { revision, config, members: Vec::new() })
}

/// Returns an operator's order that is based on the revision in force.
pub fn order(control: &Control, command: &str) -> Order {
    let base: id::Revision = control.config().revision;
    Order { command: command.into(), operator: "test".to_owned(), base }
}
