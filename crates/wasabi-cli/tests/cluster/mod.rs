//! A complete system on loopback for end-to-end tests: control members, entries, stand-ins, an
//! operator and callers.

#![allow(dead_code, unreachable_pub, reason = "each test uses only some of these items")]
#![allow(clippy::unwrap_used, reason = "a test fails index the first error")]

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

/// The bearer token of the callers.
pub const CALLER_TOKEN: &str = "caller";

/// The credential of the operator.
const OPERATOR_CREDENTIAL: &str = "operator";

/// Time limit for all entries to join the entry view after the start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of lines of each daemon's log that a failed test prints.
const LOG_LINES_SHOWN: usize = 60;

/// A daemon that can be restarted with the same settings.
pub struct Process {
    binary: &'static str,
    name: String,
    pub address: SocketAddr,
    pub daemon: Daemon,
}

/// A running system.
pub struct Cluster {
    pub control: Vec<Process>,
    pub entries: Vec<Process>,
    folder: TempDir,
}

impl Cluster {
    /// Starts a system and applies the contract of the tests.
    pub fn start(members: usize, entries: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let addresses: Vec<_> = (0..members).map(|_| free_address()).collect();
        let member_list: Vec<_> = (0..members)
            .map(|index| format!("{{name: control-{index}, address: \"{}\"}}", addresses[index]))
            .collect();
        let control = (0..members)
            .map(|index| {
                let name = format!("control-{index}");
                let data = folder.path().join(&name);
                fs::create_dir(&data).unwrap();
                let settings = format!(
                    "name: {name}\nregion: r\ndata_centre: dc-{index}\nlisten: \"{}\"\n\
                     metrics: 127.0.0.1:0\ndata: {}\nmembers: [{}]\noperator_digests: [{}]\n",
                    addresses[index],
                    data.display(),
                    member_list.join(", "),
                    fingerprint::token(OPERATOR_CREDENTIAL),
                );
                Process::start(folder.path(), "wasabi-controld", &name, addresses[index], &settings)
            })
            .collect();
        let addresses: Vec<_> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
        let entries: Vec<_> = (0..entries)
            .map(|index| {
                let (name, address) = (format!("entry-{index}"), free_address());
                let settings = format!(
                    "name: {name}\nregion: r\ndata_centre: dc-{index}\ncontrol: [{}]\n\
                     callers: {{list_lifetime: 1s}}\n\
                     listen: {{callers: \"{address}\", peers: \"{}\", metrics: 127.0.0.1:0}}\n",
                    addresses.join(", "),
                    free_address(),
                );
                Process::start(folder.path(), "wasabi-entryd", &name, address, &settings)
            })
            .collect();
        let cluster = Self { control, entries, folder };
        let count = cluster.entries.len();
        wait::until("all entries in the view", START_TIMEOUT, || {
            let (code, text) = cluster.operate(&["--json", "entries"]);
            (code == 0 && (0..count).all(|index| text.contains(&format!("entry-{index}"))))
                .then_some(())
        });
        let path = cluster.folder.path().join("contract.yaml");
        fs::write(&path, serde_json::to_string(&contract()).unwrap()).unwrap();
        let (code, text) = cluster.operate(&["contract", "apply", path.to_str().unwrap()]);
        assert_eq!(code, 0, "{text}");
        cluster
    }

    /// Runs the `wasabi` command; returns its exit code and output.
    pub fn operate(&self, arguments: &[&str]) -> (i32, String) {
        let addresses: Vec<_> =
            self.control.iter().map(|process| process.address.to_string()).collect();
        let output = Command::new(env!("CARGO_BIN_EXE_wasabi"))
            .env("WASABI_CONTROL", addresses.join(","))
            .env("WASABI_CREDENTIAL", OPERATOR_CREDENTIAL)
            .args(["--operator", "ada", "--timeout", "10"])
            .args(arguments)
            .output()
            .unwrap();
        let text =
            String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        (output.status.code().unwrap_or(-1), text)
    }

    /// Returns settings for a stand-in that announces itself to all entries.
    pub fn standin_settings(&self, name: &str, kind: Kind, backend: &str) -> Settings {
        let mut settings = Settings::new(name, kind, backend);
        settings.entries = self.entries.iter().map(|entry| entry.address.to_string()).collect();
        settings
    }

    /// Starts a service that responds to a call after `delay_ms` milliseconds.
    pub fn start_service(&self, name: &str, delay_ms: u64) -> Standin {
        let mut settings = self.standin_settings(name, Kind::Service, "desk");
        settings.first_token_ms.0 = delay_ms;
        Standin::start(settings).unwrap()
    }

    /// Restarts a daemon after it was killed.
    pub fn restart(folder: &Path, process: &mut Process) {
        let log = folder.join(format!("{}.log", process.name));
        process.daemon = launch(folder, process.binary, &process.name, &log);
    }

    /// Returns the directory with settings, logs and data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for process in self.control.iter().chain(&self.entries) {
            let log = process.daemon.output();
            let lines: Vec<_> = log.lines().collect();
            let first = lines.len().saturating_sub(LOG_LINES_SHOWN);
            eprintln!("log of {}:\n{}", process.name, lines[first..].join("\n"));
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

fn launch(folder: &Path, binary_name: &str, name: &str, log: &Path) -> Daemon {
    let settings = folder.join(format!("{name}.yaml"));
    let arguments = ["--settings".into(), settings.into_os_string()];
    Daemon::start(&binary(binary_name), arguments, log).unwrap()
}

/// Returns the contract of the tests.
fn contract() -> Contract {
    let route = |name: &str, tier: u8, target: serde_json::Value, repeat: serde_json::Value| {
        serde_json::json!({
            "name": name, "tier": tier, "target": target, "repeat": repeat,
            "first_token_ms": 2000, "between_tokens_ms": 500, "deadline_ms": 5000,
        })
    };
    let at_most_once =
        serde_json::json!({"at_most_once": {"require_key": true, "require_key_time": true}});
    let desk = |method: &str, prefix: &str| serde_json::json!({"service": {"name": "desk", "method": method, "path_prefix": prefix}});
    serde_json::from_value(serde_json::json!({
        "organisation": "clinic",
        "token_digests": [fingerprint::token(CALLER_TOKEN)],
        "share": 1,
        "limits": {"requests_per_s": 10_000, "tokens_per_s": 100_000_000, "concurrency": 1_000},
        "routes": [
            route("quote", 1, serde_json::json!({"model": {"name": "chat"}}), "idempotent".into()),
            route("book", 1, desk("POST", "/bookings"), at_most_once),
            route("status", 2, desk("GET", "/status"), "idempotent".into()),
        ],
    }))
    .unwrap()
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub ran: String,
    pub body: String,
}

/// Sends a booking with an idempotency key. Returns `None` without a complete response.
pub async fn book(address: SocketAddr, key: &str, created: u128, body: &str) -> Option<Response> {
    let url = format!("http://{address}/services/desk/bookings");
    let request = client()
        .post(url)
        .insert_header(("authorization", format!("Bearer {CALLER_TOKEN}")))
        .insert_header(("idempotency-key", key))
        .insert_header(("idempotency-key-created", created.to_string()));
    read_response(request.send_body(body.to_owned()).await.ok()?).await
}

/// Requests a streamed completion. Returns `None` without a complete response.
pub async fn quote(address: SocketAddr, prompt: &str, tokens: u32) -> Option<Response> {
    let body = serde_json::json!({
        "model": "chat", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    });
    let url = format!("http://{address}/v1/chat/completions");
    let request =
        client().post(url).insert_header(("authorization", format!("Bearer {CALLER_TOKEN}")));
    read_response(request.send_body(body.to_string()).await.ok()?).await
}

/// Returns the time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(Duration::from_secs(8)).finish()
}

async fn read_response<S>(mut response: awc::ClientResponse<S>) -> Option<Response>
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    let ran = response.headers().get("x-wasabi-ran");
    let ran = ran.and_then(|ran| ran.to_str().ok()).unwrap_or_default().to_owned();
    let body = response.body().limit(1 << 20).await.ok()?;
    let body = String::from_utf8(body.to_vec()).ok()?;
    Some(Response { status: response.status().as_u16(), ran, body })
}
