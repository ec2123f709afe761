//! A control group and entries as processes, whose addresses stay the same when they restart.

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
    rpc::{Operate, Operated, method},
};
use wasabi_testkit::process::{Daemon, Signal, binary, free_address};

use super::until;

const CREDENTIAL: &str = "operator";

/// Members of the control group.
pub const MEMBERS: usize = 3;

/// Entries.
pub const ENTRIES: usize = 3;

/// One process with its settings.
struct Process {
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    daemon: Option<Daemon>,
}

impl Process {
    fn new(binary: PathBuf, folder: &Path, name: &str, settings: &str) -> Self {
        let path = folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).unwrap();
        Self { binary, settings: path, log: folder.join(format!("{name}.log")), daemon: None }
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
    orders: u64,
    _folder: TempDir,
}

impl Site {
    /// Starts all processes. A member takes a snapshot after each `snapshot_every` commands.
    pub fn start(snapshot_every: u64) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let addresses: Vec<_> = (0..MEMBERS).map(|_| free_address()).collect();
        let mut members = String::new();
        for (index, address) in addresses.iter().enumerate() {
            members += &format!("  - {{name: m{index}, address: \"{address}\"}}\n");
        }
        let member = |(index, address): (usize, &SocketAddr)| {
            let data = folder.path().join(format!("data-{index}"));
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
            (*address, Process::new(binary, folder.path(), &name, &settings))
        };
        let members = addresses.iter().enumerate().map(member).collect();
        let control: Vec<_> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
        let entry = |index: usize| {
            let (callers, peers) = (free_address(), free_address());
            let settings = format!(
                "name: e{index}\nregion: north\ndata_centre: dc1\n\
                 listen: {{callers: \"{callers}\", peers: \"{peers}\", metrics: 127.0.0.1:0}}\n\
                 control: [{}]\n",
                control.join(", "),
            );
            let binary = PathBuf::from(env!("CARGO_BIN_EXE_wasabi-entryd"));
            (callers, Process::new(binary, folder.path(), &format!("e{index}"), &settings))
        };
        let entries = (0..ENTRIES).map(entry).collect();
        let mut site = Self { members, entries, orders: 0, _folder: folder };
        for index in 0..MEMBERS {
            site.start_member(index);
        }
        for index in 0..ENTRIES {
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
            // Its guard kills it and waits for its end.
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
    pub async fn until_entries_listen(&self) {
        for (address, _) in &self.entries {
            until("the entry listens", async || TcpStream::connect(address).is_ok()).await;
        }
    }

    /// Returns how many snapshots a member took, in all its processes.
    pub fn snapshots(&self, member: usize) -> usize {
        self.members[member].1.output().matches("taking a snapshot").count()
    }

    /// Returns the configuration that a member holds, whether or not it is an old one.
    pub async fn config(&self, member: usize) -> Option<Config> {
        let url = format!("ws://{}", self.members[member].0);
        let client = WsClientBuilder::default().build(url).await.ok()?;
        client.request::<Config, _>(method::CONFIG, rpc_params![]).await.ok()
    }

    /// Puts a change in force; `command` makes it from an order.
    pub async fn change(&mut self, command: impl Fn(Order) -> Command) {
        let mut orders = self.orders;
        until("the change is acknowledged", async || {
            // A change on an older revision is refused for good under its name.
            orders += 1;
            let name = id::Command::from(format!("order-{orders}"));
            let member = usize::try_from(orders).unwrap() % MEMBERS;
            let Some(config) = self.config(member).await else { return false };
            let order = Order { command: name, operator: "ada".to_owned(), base: config.revision };
            self.operate(member, command(order)).await
        })
        .await;
        self.orders = orders;
    }

    async fn operate(&self, member: usize, command: Command) -> bool {
        let url = format!("ws://{}", self.members[member].0);
        let Ok(client) = WsClientBuilder::default().build(url).await else { return false };
        let operate = Operate { credential: CREDENTIAL.to_owned(), command, wait: Millis::ZERO };
        let operated = client.request::<Operated, _>(method::OPERATE, rpc_params![operate]).await;
        matches!(operated, Ok(Operated::Committed { outcome: Outcome::Accepted { .. }, .. }))
    }

    /// Returns the logs of all processes, for a failed test.
    pub fn logs(&self) -> String {
        let processes = self.members.iter().chain(&self.entries);
        processes.map(|(_, process)| process.output()).collect::<Vec<_>>().join("\n---\n")
    }
}
