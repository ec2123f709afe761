//! A whole system on loopback: control members, entries, stand-ins, an operator and callers.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part of the support")]
#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    process::Command,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use tempfile::TempDir;
use wasabi_protocol::{contract::Contract, endpoint::Kind, fingerprint};
use wasabi_standin::{Settings, Standin};
use wasabi_testkit::{
    process::{Daemon, binary, free_address},
    wait,
};

/// The callers' bearer token.
pub const TOKEN: &str = "caller";

const OPERATOR: &str = "operator";

/// Longest time for a daemon to start serving.
const START_BOUND: Duration = Duration::from_secs(30);

/// Lines of each log that a failed test prints.
const LOG_LINES: usize = 60;

/// A daemon that can be started again on its settings.
pub struct Process {
    binary: &'static str,
    name: String,
    pub address: SocketAddr,
    pub daemon: Daemon,
}

/// A running system.
pub struct Site {
    pub control: Vec<Process>,
    pub entries: Vec<Process>,
    folder: TempDir,
}

impl Site {
    /// Starts a system with the contract of the tests in force.
    pub fn start(members: usize, entries: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let addresses: Vec<_> = (0..members).map(|_| free_address()).collect();
        let list: Vec<_> = (0..members)
            .map(|at| format!("{{name: control-{at}, address: \"{}\"}}", addresses[at]))
            .collect();
        let control = (0..members)
            .map(|at| {
                let name = format!("control-{at}");
                let data = folder.path().join(&name);
                fs::create_dir(&data).unwrap();
                let settings = format!(
                    "name: {name}\nregion: r\ndata_centre: dc-{at}\nlisten: \"{}\"\n\
                     metrics: 127.0.0.1:0\ndata: {}\nmembers: [{}]\noperator_digests: [{}]\n",
                    addresses[at],
                    data.display(),
                    list.join(", "),
                    fingerprint::token(OPERATOR),
                );
                Process::start(folder.path(), "wasabi-controld", &name, addresses[at], &settings)
            })
            .collect();
        let addresses: Vec<_> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
        let entries: Vec<_> = (0..entries)
            .map(|at| {
                let (name, address) = (format!("entry-{at}"), free_address());
                let settings = format!(
                    "name: {name}\nregion: r\ndata_centre: dc-{at}\ncontrol: [{}]\n\
                     callers: {{list_lifetime: 1s}}\n\
                     listen: {{callers: \"{address}\", peers: \"{}\", metrics: 127.0.0.1:0}}\n",
                    addresses.join(", "),
                    free_address(),
                );
                Process::start(folder.path(), "wasabi-entryd", &name, address, &settings)
            })
            .collect();
        let site = Self { control, entries, folder };
        let count = site.entries.len();
        wait::until("all entries in the view", START_BOUND, || {
            let (code, text) = site.operate(&["--json", "entries"]);
            (code == 0 && (0..count).all(|at| text.contains(&format!("entry-{at}")))).then_some(())
        });
        let path = site.folder.path().join("contract.yaml");
        fs::write(&path, serde_json::to_string(&contract()).unwrap()).unwrap();
        let (code, text) = site.operate(&["contract", "apply", path.to_str().unwrap()]);
        assert_eq!(code, 0, "{text}");
        site
    }

    /// Runs the operator's command line; returns its exit code and output.
    pub fn operate(&self, arguments: &[&str]) -> (i32, String) {
        let addresses: Vec<_> =
            self.control.iter().map(|process| process.address.to_string()).collect();
        let output = Command::new(env!("CARGO_BIN_EXE_wasabi"))
            .env("WASABI_CONTROL", addresses.join(","))
            .env("WASABI_CREDENTIAL", OPERATOR)
            .args(["--operator", "ada", "--timeout", "10"])
            .args(arguments)
            .output()
            .unwrap();
        let text =
            String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        (output.status.code().unwrap_or(-1), text)
    }

    /// Returns a stand-in's settings, announced to all entries.
    pub fn standin(&self, name: &str, kind: Kind, backend: &str) -> Settings {
        let mut settings = Settings::new(name, kind, backend);
        settings.entries = self.entries.iter().map(|entry| entry.address.to_string()).collect();
        settings
    }

    /// Starts a service that takes `ms` milliseconds for a call.
    pub fn service(&self, name: &str, ms: u64) -> Standin {
        let mut settings = self.standin(name, Kind::Service, "desk");
        settings.first_token_ms.0 = ms;
        Standin::start(settings).unwrap()
    }

    /// Starts a daemon again after it was killed.
    pub fn restart(folder: &Path, process: &mut Process) {
        let log = folder.join(format!("{}.log", process.name));
        process.daemon = launch(folder, process.binary, &process.name, &log);
    }

    /// Returns the folder of settings, logs and data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for process in self.control.iter().chain(&self.entries) {
            let log = process.daemon.output();
            let lines: Vec<_> = log.lines().collect();
            let shown = lines.len().saturating_sub(LOG_LINES);
            eprintln!("log of {}:\n{}", process.name, lines[shown..].join("\n"));
        }
    }
}

impl Process {
    fn start(
        folder: &Path,
        binary: &'static str,
        name: &str,
        address: SocketAddr,
        settings: &str,
    ) -> Self {
        fs::write(folder.join(format!("{name}.yaml")), settings).unwrap();
        let log = folder.join(format!("{name}.log"));
        let daemon = launch(folder, binary, name, &log);
        Self { binary, name: name.to_owned(), address, daemon }
    }
}

fn launch(folder: &Path, name_of_binary: &str, name: &str, log: &Path) -> Daemon {
    let settings = folder.join(format!("{name}.yaml"));
    let arguments = ["--settings".into(), settings.into_os_string()];
    Daemon::start(&binary(name_of_binary), arguments, log).unwrap()
}

/// Returns the contract of the tests.
fn contract() -> Contract {
    let route = |name: &str, tier: u8, target: serde_json::Value, repeat: serde_json::Value| {
        serde_json::json!({
            "name": name, "tier": tier, "target": target, "repeat": repeat,
            "first_token_ms": 2000, "between_tokens_ms": 500, "deadline_ms": 5000,
        })
    };
    let once = serde_json::json!({"at_most_once": {"require_key": true, "require_key_time": true}});
    let desk = |method: &str, prefix: &str| serde_json::json!({"service": {"name": "desk", "method": method, "path_prefix": prefix}});
    serde_json::from_value(serde_json::json!({
        "organisation": "clinic",
        "token_digests": [fingerprint::token(TOKEN)],
        "share": 1,
        "limits": {"requests_per_s": 10_000, "tokens_per_s": 100_000_000, "concurrency": 1_000},
        "routes": [
            route("quote", 1, serde_json::json!({"model": {"name": "chat"}}), "idempotent".into()),
            route("book", 1, desk("POST", "/bookings"), once),
            route("status", 2, desk("GET", "/status"), "idempotent".into()),
        ],
    }))
    .unwrap()
}

/// An answer, read whole.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub ran: String,
    pub body: String,
}

/// Books with an idempotency key. Returns none when no whole answer came.
pub async fn book(address: SocketAddr, key: &str, created: u128, body: &str) -> Option<Answer> {
    let url = format!("http://{address}/services/desk/bookings");
    let request = client()
        .post(url)
        .insert_header(("authorization", format!("Bearer {TOKEN}")))
        .insert_header(("idempotency-key", key))
        .insert_header(("idempotency-key-created", created.to_string()));
    read(request.send_body(body.to_owned()).await.ok()?).await
}

/// Asks for a streamed completion. Returns none when no whole answer came.
pub async fn quote(address: SocketAddr, prompt: &str, tokens: u32) -> Option<Answer> {
    let body = serde_json::json!({
        "model": "chat", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    });
    let url = format!("http://{address}/v1/chat/completions");
    let request = client().post(url).insert_header(("authorization", format!("Bearer {TOKEN}")));
    read(request.send_body(body.to_string()).await.ok()?).await
}

/// Returns the time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(Duration::from_secs(8)).finish()
}

async fn read<S>(mut response: awc::ClientResponse<S>) -> Option<Answer>
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    let ran = response.headers().get("x-wasabi-ran");
    let ran = ran.and_then(|ran| ran.to_str().ok()).unwrap_or_default().to_owned();
    let body = response.body().limit(1 << 20).await.ok()?;
    let body = String::from_utf8(body.to_vec()).ok()?;
    Some(Answer { status: response.status().as_u16(), ran, body })
}
