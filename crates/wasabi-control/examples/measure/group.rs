//! A group of real daemons on loopback, with their data in a temporary directory.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use jsonrpsee::{
    core::client::ClientT as _,
    http_client::HttpClientBuilder,
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use serde::{Serialize, de::DeserializeOwned};
use tempfile::TempDir;
use wasabi_protocol::{
    clock::Millis,
    command::{Command, Order, Outcome},
    contract::{Contract, Limits, Repeat, Route, Target, Tier},
    fingerprint, id,
    rpc::{CommandReply, CommandRequest, Source, Status, StatusReply, StatusRequest, method},
};
use wasabi_testkit::process::{self, Daemon};

const CREDENTIAL: &str = "operator";

pub(crate) struct Group {
    directory: TempDir,
    arguments: Vec<String>,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) daemons: Vec<Option<Daemon>>,
}

impl Group {
    pub(crate) fn start(size: usize, arguments: &[&str]) -> Self {
        // Next to the build, since the system's temporary directory may be in memory.
        let target = process::binary("wasabi-controld").parent().unwrap().to_owned();
        let directory = tempfile::tempdir_in(target).unwrap();
        let addresses: Vec<_> = (0..size).map(|_| process::free_address()).collect();
        let members: String = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| format!("  - {{name: m{index}, address: \"{address}\"}}\n"))
            .collect();
        let arguments = arguments.iter().map(ToString::to_string).collect();
        let mut group =
            Self { directory, arguments, addresses, daemons: (0..size).map(|_| None).collect() };
        for index in 0..size {
            let data = group.data(index);
            fs::create_dir(&data).unwrap();
            let text = format!(
                "name: m{index}\nregion: r\ndata_centre: a\nlisten: \"{}\"\n\
                 metrics: \"127.0.0.1:0\"\ndata: {}\noperator_digests: [{}]\n\
                 members:\n{members}log: {{level: warn}}\n",
                group.addresses[index],
                data.display(),
                fingerprint::token(CREDENTIAL),
            );
            fs::write(group.directory.path().join(format!("m{index}.yaml")), text).unwrap();
            group.run(index);
        }
        group
    }

    pub(crate) fn data(&self, index: usize) -> PathBuf {
        self.directory.path().join(format!("m{index}"))
    }

    pub(crate) fn run(&mut self, index: usize) {
        let settings = self.directory.path().join(format!("m{index}.yaml"));
        let log = self.directory.path().join(format!("m{index}.log"));
        let mut arguments = vec!["--settings".to_owned(), settings.display().to_string()];
        arguments.extend(self.arguments.iter().cloned());
        let daemon = Daemon::start(&process::binary("wasabi-controld"), arguments, &log);
        self.daemons[index] = Some(daemon.unwrap());
    }

    pub(crate) async fn status(&self, index: usize, source: Source) -> Option<Status> {
        let inquire = StatusRequest { credential: CREDENTIAL.to_owned(), source };
        match call(self.addresses[index], method::STATUS, &inquire).await? {
            StatusReply::Status(status) => Some(*status),
            _ => None,
        }
    }

    /// Waits for a leader and returns its index.
    pub(crate) async fn leader(&self) -> usize {
        loop {
            for index in 0..self.addresses.len() {
                if self.status(index, Source::Leader).await.is_some() {
                    return index;
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Applies a contract at the leader.
    pub(crate) async fn apply(&self, number: u64, organisation: &str) {
        let order = Order {
            command: format!("c{number}").as_str().into(),
            operator: "ada".to_owned(),
            base: id::Revision(number),
        };
        let command = Command::ApplyContract { order, contract: contract(organisation) };
        let operate =
            CommandRequest { credential: CREDENTIAL.to_owned(), command, wait: Millis(1_000) };
        loop {
            for address in &self.addresses {
                let answer = call(*address, method::OPERATE, &operate).await;
                if let Some(CommandReply::Committed { outcome, .. }) = answer {
                    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub(crate) async fn connect(&self, index: usize) -> WsClient {
        WsClientBuilder::default()
            .max_concurrent_requests(4_096)
            .build(format!("ws://{}", self.addresses[index]))
            .await
            .unwrap()
    }

    /// Returns the total size of the files in a member's data directory, in bytes.
    pub(crate) fn bytes(&self, index: usize) -> u64 {
        fs::read_dir(self.data(index))
            .unwrap()
            .filter_map(|entry| entry.ok()?.metadata().ok())
            .map(|metadata| metadata.len())
            .sum()
    }

    /// Returns the CPU time that a member has used, in seconds.
    pub(crate) fn cpu_time(&self, index: usize) -> f64 {
        const TICKS_PER_S: f64 = 100.0;
        let process = self.daemons[index].as_ref().unwrap().id();
        let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
        let fields: Vec<_> = text.rsplit_once(')').unwrap().1.split_whitespace().collect();
        let ticks = |field: usize| fields[field].parse::<f64>().unwrap();
        (ticks(11) + ticks(12)) / TICKS_PER_S
    }
}

async fn call<A: DeserializeOwned>(
    address: SocketAddr,
    name: &str,
    params: &impl Serialize,
) -> Option<A> {
    let client = HttpClientBuilder::default()
        .request_timeout(Duration::from_secs(2))
        .build(format!("http://{address}"))
        .unwrap();
    client.request(name, rpc_params![params]).await.ok()
}

pub(crate) fn contract(organisation: &str) -> Contract {
    let route = |name: &str, tier| Route {
        name: name.into(),
        tier: Tier(tier),
        target: Target::Model { name: "m".into() },
        repeat: Repeat::Idempotent,
        first_token_ms: Millis(500),
        between_tokens_ms: Millis(50),
        deadline_ms: Millis(5_000),
    };
    Contract {
        organisation: organisation.into(),
        token_digests: vec![fingerprint::token(organisation)],
        share: 1,
        limits: Limits { requests_per_s: 10, tokens_per_s: 1_000, concurrency: 4, burst: None },
        routes: vec![route("query", 0), route("order", 1), route("summary", 3)],
    }
}

pub(crate) fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}
