//! A control group of real processes on loopback, and an operator that finds its leader.
#![allow(dead_code, reason = "each test file uses only some items")]
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use jsonrpsee::{
    core::client::ClientT as _,
    http_client::{HttpClient, HttpClientBuilder},
    rpc_params,
};
use serde::{Serialize, de::DeserializeOwned};
use tempfile::TempDir;
use tokio::runtime::Runtime;
use wasabi_protocol::{
    clock::Millis,
    command::{Command, Order, Outcome},
    contract::{Contract, Limits, Repeat, Route, Target, Tier},
    fingerprint, id,
    rpc::{
        ChangeMembers, CommandReply, CommandRequest, MemberChange, MembersChanged, Role, Source,
        Status, StatusReply, StatusRequest, method,
    },
};
use wasabi_testkit::{process::Daemon, relay::Relay};

pub(crate) const CREDENTIAL: &str = "operator";

/// Longest time for a group to recover from a fault on a loaded machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) struct Cluster {
    directory: TempDir,
    runtime: Runtime,
    pub(crate) hosts: Vec<Host>,
}

pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) relay: Option<Relay>,
    pub(crate) daemon: Option<Daemon>,
}

impl Cluster {
    /// Starts the initial members. With relays, all messages that a member receives pass through
    /// one.
    pub(crate) fn start(size: usize, relays: Relays) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let directory = tempfile::tempdir().unwrap();
        let host = |index: usize| {
            let address = free_address();
            let relay = (relays == Relays::Between).then(|| Relay::start(address).unwrap());
            Host { name: format!("m{index}"), address, relay, daemon: None }
        };
        let mut cluster = Self { directory, runtime, hosts: (0..size).map(host).collect() };
        let members: String = cluster
            .hosts
            .iter()
            .map(|host| {
                let address = host.relay.as_ref().map_or(host.address, Relay::address);
                format!("  - name: {}\n    address: \"{address}\"\n", host.name)
            })
            .collect();
        for index in 0..size {
            cluster.write_settings(index, &format!("members:\n{members}"));
            cluster.start_daemon(index);
        }
        cluster
    }

    pub(crate) fn data(&self, index: usize) -> PathBuf {
        self.directory.path().join(&self.hosts[index].name)
    }

    fn write_settings(&self, index: usize, members: &str) {
        let host = &self.hosts[index];
        fs::create_dir_all(self.data(index)).unwrap();
        let text = format!(
            "name: {}\nregion: r\ndata_centre: a\nlisten: \"{}\"\nmetrics: \"127.0.0.1:0\"\n\
             data: {}\noperator_digests: [{}]\nsnapshot_every: 50\n{members}",
            host.name,
            host.address,
            self.data(index).display(),
            fingerprint::token(CREDENTIAL),
        );
        fs::write(self.directory.path().join(format!("{}.yaml", host.name)), text).unwrap();
    }

    /// Appends lines to the settings of a host.
    pub(crate) fn add_setting(&self, index: usize, lines: &str) {
        let path = self.directory.path().join(format!("{}.yaml", self.hosts[index].name));
        let text = fs::read_to_string(&path).unwrap() + lines;
        fs::write(path, text).unwrap();
    }

    /// Starts the daemon of a host.
    pub(crate) fn start_daemon(&mut self, index: usize) {
        let binary = PathBuf::from(env!("CARGO_BIN_EXE_wasabi-controld"));
        let name = &self.hosts[index].name;
        let settings = self.directory.path().join(format!("{name}.yaml"));
        let log = self.directory.path().join(format!("{name}.log"));
        let arguments = ["--settings".into(), settings.into_os_string()];
        self.hosts[index].daemon = Some(Daemon::start(&binary, arguments, &log).unwrap());
    }

    pub(crate) fn kill(&mut self, index: usize) {
        if let Some(mut daemon) = self.hosts[index].daemon.take() {
            daemon.kill();
        }
    }

    pub(crate) fn daemon(&mut self, index: usize) -> &mut Daemon {
        self.hosts[index].daemon.as_mut().unwrap()
    }

    /// Returns the logs of all hosts, for the message of a failed test.
    pub(crate) fn logs(&self) -> String {
        let log = |host: &Host| host.daemon.as_ref().map(Daemon::output).unwrap_or_default();
        self.hosts.iter().map(log).collect::<Vec<_>>().join("\n---\n")
    }

    fn client(&self, address: SocketAddr) -> HttpClient {
        let builder = HttpClientBuilder::default().request_timeout(Duration::from_millis(2_500));
        builder.build(format!("http://{address}")).unwrap()
    }

    /// Calls one host; `None` when it does not answer.
    pub(crate) fn call<A: DeserializeOwned>(
        &self,
        index: usize,
        name: &str,
        question: &impl Serialize,
    ) -> Option<A> {
        let client = self.client(self.hosts[index].address);
        self.runtime.block_on(async { client.request(name, rpc_params![question]).await.ok() })
    }

    pub(crate) fn status_of(&self, index: usize, source: Source) -> Option<StatusReply> {
        let inquire = StatusRequest { credential: CREDENTIAL.to_owned(), source };
        self.call(index, method::STATUS, &inquire)
    }

    /// Returns the leader's index and its status.
    pub(crate) fn leader(&self) -> (usize, Box<Status>) {
        self.wait_until("a leader", || {
            (0..self.hosts.len()).find_map(|index| match self.status_of(index, Source::Leader)? {
                StatusReply::Status(status) => Some((index, status)),
                _ => None,
            })
        })
    }

    /// Returns the names of the voters, as the leader reports them.
    pub(crate) fn voters(&self) -> Vec<String> {
        let (_, status) = self.leader();
        let voters = status.members.iter().filter(|member| member.role != Role::Learner);
        voters.map(|member| member.member.to_string()).collect()
    }

    /// Sends a command, with the same id to any host, until its outcome is known.
    pub(crate) fn operate(&self, command: &Command) -> Outcome {
        self.wait_until("an outcome", || {
            (0..self.hosts.len()).find_map(|index| self.operate_at(index, command))
        })
    }

    /// Sends a command to one host.
    pub(crate) fn operate_at(&self, index: usize, command: &Command) -> Option<Outcome> {
        let operate = CommandRequest {
            credential: CREDENTIAL.to_owned(),
            command: command.clone(),
            wait: Millis(1_000),
        };
        match self.call(index, method::OPERATE, &operate)? {
            CommandReply::Committed { outcome, .. } => Some(outcome),
            _ => None,
        }
    }

    /// Repeats a membership change until it is complete.
    pub(crate) fn change_members(&self, change: &MemberChange) {
        let change = ChangeMembers { credential: CREDENTIAL.to_owned(), change: change.clone() };
        self.wait_until("the change of members", || {
            (0..self.hosts.len()).find_map(|index| {
                match self.call(index, method::MEMBERS, &change)? {
                    MembersChanged::Done { .. } => Some(()),
                    _ => None,
                }
            })
        });
    }

    /// Waits for a condition.
    pub(crate) fn wait_until<T>(&self, what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(value) = condition() {
                return value;
            }
            assert!(start.elapsed() < TIMEOUT, "timed out waiting for {what}\n{}", self.logs());
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Returns a loopback address with a free port below the ephemeral range, so that no connection of
/// another test uses it before the daemon listens.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % 100) as u16 * 200;
    loop {
        let port = 10_000 + (start + NEXT.fetch_add(1, Ordering::Relaxed)) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Whether messages between members pass through relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Relays {
    None,
    Between,
}

/// Returns a contract for an organisation; the share distinguishes its versions.
pub(crate) fn contract(organisation: &str, share: u32) -> Contract {
    Contract {
        organisation: organisation.into(),
        token_digests: vec![fingerprint::token("secret")],
        share,
        limits: Limits { requests_per_s: 10, tokens_per_s: 1_000, concurrency: 4, burst: None },
        routes: vec![Route {
            name: "query".into(),
            tier: Tier::TOP,
            target: Target::Model { name: "m".into() },
            repeat: Repeat::Idempotent,
            first_token_ms: Millis(500),
            between_tokens_ms: Millis(50),
            deadline_ms: Millis(5_000),
        }],
    }
}

/// Returns a command that applies a contract.
pub(crate) fn apply(command: &str, base: id::Revision, organisation: &str, share: u32) -> Command {
    Command::ApplyContract {
        order: Order { command: command.into(), operator: "ada".to_owned(), base },
        contract: contract(organisation, share),
    }
}

/// Returns the share of an organisation's contract in force.
pub(crate) fn share(status: &Status, organisation: &str) -> Option<u32> {
    let mut contracts = status.config.contracts.iter();
    contracts.find(|held| held.organisation.as_str() == organisation).map(|held| held.share)
}
