//! A control group and entries as processes that keep their addresses when they restart.

use std::{
    fs,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
};

use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use tempfile::TempDir;
use wasabi_protocol::{
    clock::Millis,
    command::{Command, Config, Order, Outcome},
    fingerprint, id,
    rpc::{CommandReply, CommandRequest, method},
};
use wasabi_testkit::process::{Daemon, Signal, binary, free_address};

use super::wait_until;

const CREDENTIAL: &str = "operator";

/// Number of members of the control group.
pub const MEMBER_COUNT: usize = 3;

/// Number of entries.
pub const ENTRY_COUNT: usize = 3;

/// A daemon that can be restarted with the same settings.
struct Process {
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    daemon: Option<Daemon>,
}

impl Process {
    fn new(binary: PathBuf, directory: &Path, name: &str, settings: &str) -> Self {
        let path = directory.join(format!("{name}.yaml"));
        fs::write(&path, settings).unwrap();
        Self { binary, settings: path, log: directory.join(format!("{name}.log")), daemon: None }
    }

    fn start(&mut self) {
        let arguments = [PathBuf::from("--settings"), self.settings.clone()];
        self.daemon = Some(Daemon::start(&self.binary, arguments, &self.log).unwrap());
    }

    fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Three control members and three entries.
pub struct Site {
    members: Vec<(SocketAddr, Process)>,
    entries: Vec<(SocketAddr, Process)>,
    order_count: u64,
    _directory: TempDir,
}

impl Site {
    /// Starts all processes. A member takes a snapshot after every `snapshot_every` commands.
    pub fn start(snapshot_every: u64) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let addresses: Vec<_> = (0..MEMBER_COUNT).map(|_| free_address()).collect();
        let mut members = String::new();
        for (index, address) in addresses.iter().enumerate() {
            members += &format!("  - {{name: m{index}, address: \"{address}\"}}\n");
        }
        let member = |(index, address): (usize, &SocketAddr)| {
            let data = directory.path().join(format!("data-{index}"));
            fs::create_dir(&data).unwrap();
            let settings = format!(
                "name: m{index}\nregion: north\ndata_centre: dc1\nlisten: \"{address}\"\n\
                 metrics: 127.0.0.1:0\ndata: {}\nsnapshot_every: {snapshot_every}\n\
                 operator_digests: [\"{}\"]\nmembers:\n{members}",
                data.display(),
                fingerprint::token(CREDENTIAL),
            );
            let name = format!("m{index}");
            let binary = binary("wasabi-controld");
            (*address, Process::new(binary, directory.path(), &name, &settings))
        };
        let members = addresses.iter().enumerate().map(member).collect();
        let member_addresses: Vec<_> =
            addresses.iter().map(|address| format!("\"{address}\"")).collect();
        let entry = |index: usize| {
            let (callers, peers) = (free_address(), free_address());
            let settings = format!(
                "name: e{index}\nregion: north\ndata_centre: dc1\n\
                 listen: {{callers: \"{callers}\", peers: \"{peers}\", metrics: 127.0.0.1:0}}\n\
                 control: [{}]\n",
                member_addresses.join(", "),
            );
            let binary = PathBuf::from(env!("CARGO_BIN_EXE_wasabi-entryd"));
            (callers, Process::new(binary, directory.path(), &format!("e{index}"), &settings))
        };
        let entries = (0..ENTRY_COUNT).map(entry).collect();
        let mut site = Self { members, entries, order_count: 0, _directory: directory };
        for index in 0..MEMBER_COUNT {
            site.start_member(index);
        }
        for index in 0..ENTRY_COUNT {
            site.start_entry(index);
        }
        site
    }

    /// Starts the process of a member.
    pub fn start_member(&mut self, index: usize) {
        self.members[index].1.start();
    }

    /// Starts the process of an entry.
    pub fn start_entry(&mut self, index: usize) {
        self.entries[index].1.start();
    }

    /// Kills all members and these entries.
    pub fn kill(&mut self, entries: &[usize]) {
        let killed = self.entries.iter_mut().enumerate();
        let killed = killed.filter(|(index, _)| entries.contains(index)).map(|(_, entry)| entry);
        let processes = self.members.iter_mut().chain(killed);
        for (_, process) in processes {
            // Dropping the daemon kills the process and waits for its exit.
            process.daemon = None;
        }
    }

    /// Sends a signal to an entry.
    pub fn signal(&self, entry: usize, signal: Signal) {
        self.entries[entry].1.daemon.as_ref().unwrap().signal(signal);
    }

    /// Returns the callers' addresses of the entries.
    pub fn addresses(&self) -> Vec<String> {
        self.entries.iter().map(|(address, _)| address.to_string()).collect()
    }

    /// Waits until callers can connect to every entry.
    pub async fn wait_until_entries_listen(&self) {
        for (address, _) in &self.entries {
            wait_until("the entry listens", async || TcpStream::connect(address).is_ok()).await;
        }
    }

    /// Returns how many snapshots a member has taken, counted over its restarts.
    pub fn snapshots(&self, member: usize) -> usize {
        self.members[member].1.output().matches("taking a snapshot").count()
    }

    /// Returns the configuration of a member, which may be outdated.
    pub async fn config(&self, member: usize) -> Option<Config> {
        let url = format!("ws://{}", self.members[member].0);
        let client = WsClientBuilder::default().build(url).await.ok()?;
        client.request::<Config, _>(method::CONFIG, rpc_params![]).await.ok()
    }

    /// Commits a change of the configuration; `command` builds it from an order.
    pub async fn apply_change(&mut self, command: impl Fn(Order) -> Command) {
        let mut order_count = self.order_count;
        wait_until("the change is acknowledged", async || {
            // A command that was refused for its base revision stays refused under its id, so each
            // attempt uses a new one.
            order_count += 1;
            let name = id::Command::from(format!("order-{order_count}"));
            let member = usize::try_from(order_count).unwrap() % MEMBER_COUNT;
            let Some(config) = self.config(member).await else { return false };
            let order = Order { command: name, operator: "ada".to_owned(), base: config.revision };
            self.operate(member, command(order)).await
        })
        .await;
        self.order_count = order_count;
    }

    async fn operate(&self, member: usize, command: Command) -> bool {
        let url = format!("ws://{}", self.members[member].0);
        let Ok(client) = WsClientBuilder::default().build(url).await else { return false };
        let operate =
            CommandRequest { credential: CREDENTIAL.to_owned(), command, wait: Millis::ZERO };
        let operated =
            client.request::<CommandReply, _>(method::OPERATE, rpc_params![operate]).await;
        matches!(operated, Ok(CommandReply::Committed { outcome: Outcome::Accepted { .. }, .. }))
    }

    /// Returns the logs of all processes, for the message of a failed assertion.
    pub fn logs(&self) -> String {
        let processes = self.members.iter().chain(&self.entries);
        processes.map(|(_, process)| process.output()).collect::<Vec<_>>().join("\n---\n")
    }
}
