//! A local system on loopback: entries, stand-ins for endpoints, and a client.

#![allow(dead_code, unreachable_pub, reason = "each test file uses some of these helpers")]
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a fault here fails the test")]

pub mod control;
pub mod peer;
pub mod site;

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use awc::http::StatusCode;
use serde_json::{Value, json};
use tempfile::TempDir;
use wasabi_entry::Daemon;
use wasabi_protocol::{endpoint, fingerprint};
use wasabi_settings::{entry::Settings, file};
use wasabi_standin::{Counts, Standin};

/// The bearer token of the test organisation.
pub const TOKEN: &str = "kozani-hospital";

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Polls a condition until it holds. Panics with its description after [`WAIT_TIMEOUT`].
pub async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}: {description}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the contracts of the tests. Their JSON text is valid YAML as well.
pub fn contracts() -> Value {
    let route = |name: &str, target: Value, repeat: Value, tier: u8| {
        json!({
            "name": name, "tier": tier, "target": target, "repeat": repeat,
            "first_token_ms": 2000, "between_tokens_ms": 500, "deadline_ms": 20000,
        })
    };
    let service_target = |method: &str, prefix: &str| json!({"service": {"name": "desk", "method": method, "path_prefix": prefix}});
    let once = json!({"at_most_once": {"require_key": false, "require_key_time": false}});
    let strict = json!({"at_most_once": {"require_key": true, "require_key_time": true}});
    json!([{
        "organisation": "hospital",
        "token_digests": [fingerprint::token(TOKEN)],
        "share": 10,
        "limits": {"requests_per_s": 100_000, "tokens_per_s": 1_000_000_000, "concurrency": 10_000},
        "routes": [
            route("query", json!({"model": {"name": "coal"}}), json!("idempotent"), 0),
            route("draft", json!({"model": {"name": "once"}}), once.clone(), 1),
            route("status", service_target("GET", "/status"), json!("idempotent"), 2),
            route("repeatable", service_target("POST", "/repeatable"), json!("idempotent"), 2),
            route("once", service_target("POST", "/repeatable/once"), once.clone(), 2),
            route("orders", service_target("POST", "/orders"), once, 1),
            route("pickups", service_target("POST", "/pickups"), strict, 1),
        ],
    }])
}

/// An entry with the directory of its contracts.
pub struct Entry {
    pub daemon: Daemon,
    _directory: TempDir,
}

impl Entry {
    /// Starts an entry that reads its contracts from a file and has no control group.
    pub fn standalone(extra_settings: &str) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let path: PathBuf = directory.path().join("contracts.yaml");
        std::fs::write(&path, contracts().to_string()).unwrap();
        let settings = settings("e1", &format!("contracts: {}\n{extra_settings}", path.display()));
        Self { daemon: Daemon::start(settings).unwrap(), _directory: directory }
    }

    /// Starts an entry that takes its configuration from the control member at this address.
    pub fn with_control(name: &str, control: &str, extra_settings: &str) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let settings = settings(name, &format!("control: [\"{control}\"]\n{extra_settings}"));
        Self { daemon: Daemon::start(settings).unwrap(), _directory: directory }
    }

    /// Returns the address on which it serves callers.
    pub fn address(&self) -> String {
        self.daemon.callers().to_string()
    }

    /// Returns a client of this entry.
    pub fn caller(&self) -> Caller {
        Caller::new(self.address())
    }
}

fn settings(name: &str, extra_settings: &str) -> Settings {
    let text = format!(
        "name: {name}\nregion: north\ndata_centre: dc1\n\
         listen:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  metrics: 127.0.0.1:0\n{extra_settings}\n"
    );
    file::parse(&text).unwrap()
}

/// Starts a stand-in engine that announces itself to these entries.
pub fn start_engine(name: &str, entries: &[&Entry]) -> Standin {
    start_standin(name, endpoint::Kind::Model, "coal", entries, |_| {})
}

/// Starts a stand-in service that announces itself to these entries.
pub fn start_service(name: &str, entries: &[&Entry]) -> Standin {
    start_standin(name, endpoint::Kind::Service, "desk", entries, |_| {})
}

/// Starts a stand-in that announces itself to these entries; `change` adjusts its settings.
pub fn start_standin(
    name: &str,
    kind: endpoint::Kind,
    backend: &str,
    entries: &[&Entry],
    change: impl FnOnce(&mut wasabi_standin::Settings),
) -> Standin {
    let mut settings = wasabi_standin::Settings::new(name, kind, backend);
    settings.entries = entries.iter().map(|entry| entry.address()).collect();
    change(&mut settings);
    Standin::start(settings).unwrap()
}

/// Returns how often the stand-in ran a request with this key.
pub fn run_count(counts: &Counts, key: &str) -> u64 {
    counts.runs.get(key).copied().unwrap_or_default()
}

/// An answer, read to its end.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    /// The value of `x-wasabi-ran`; empty without the header.
    pub ran: String,
    pub body: String,
    /// Whether the body ended as its framing requires.
    pub is_complete: bool,
}

impl Answer {
    /// Returns the kind of an error answer.
    pub fn kind(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["kind"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the text of the tokens of a streamed answer.
    pub fn text(&self) -> String {
        let data = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|event| Some(event["choices"][0]["delta"]["content"].as_str()?.to_owned()))
            .collect()
    }

    /// Returns whether the stream ends with the `[DONE]` event.
    pub fn is_done(&self) -> bool {
        self.body.ends_with("data: [DONE]\n\n")
    }
}

/// An HTTP client of one entry, with its own connection pool.
pub struct Caller {
    address: String,
    client: awc::Client,
}

impl Caller {
    /// Returns a client of the entry at this address.
    pub fn new(address: String) -> Self {
        let client = awc::Client::builder().timeout(Duration::from_secs(30)).finish();
        Self { address, client }
    }

    /// Returns a request with the test token.
    pub fn request(&self, method: &str, path: &str) -> awc::ClientRequest {
        let url = format!("http://{}{path}", self.address);
        self.client
            .request(method.parse().unwrap(), url)
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
    }

    /// Sends a request and reads the answer to its end.
    pub async fn send(&self, request: awc::ClientRequest, body: impl Into<String>) -> Answer {
        let mut response = request.send_body(body.into()).await.unwrap();
        let ran = response.headers().get("x-wasabi-ran");
        let ran = ran.map(|ran| ran.to_str().unwrap().to_owned()).unwrap_or_default();
        let mut body = Vec::new();
        let mut is_complete = true;
        while let Some(chunk) = futures_util::StreamExt::next(&mut response).await {
            match chunk {
                Ok(chunk) => body.extend_from_slice(&chunk),
                Err(_) => {
                    is_complete = false;
                    break;
                }
            }
        }
        let body = String::from_utf8(body).unwrap();
        Answer { status: response.status(), ran, body, is_complete }
    }

    /// Sends a streamed chat completion and reads the whole stream.
    pub async fn chat(&self, prompt: &str, tokens: u32) -> Answer {
        let request = self.request("POST", "/v1/chat/completions");
        self.send(request, chat_body("coal", prompt, tokens)).await
    }

    /// Calls the at-most-once route of the service with an idempotency key.
    pub async fn order(&self, key: &str, body: &str) -> Answer {
        let request =
            self.request("POST", "/services/desk/orders").insert_header(("idempotency-key", key));
        self.send(request, body).await
    }

    /// Waits until a chat completion succeeds.
    pub async fn wait_until_served(&self) {
        wait_until("a chat is answered", async || {
            self.chat("are you there", 1).await.status == StatusCode::OK
        })
        .await;
    }
}

/// Returns the body of a streamed chat completion.
pub fn chat_body(model: &str, prompt: &str, tokens: u32) -> String {
    json!({
        "model": model, "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string()
}

/// Returns the text with which the stand-in answers a prompt.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    let messages = json!([{"role": "user", "content": prompt}]).to_string();
    let seed = format!("{:08x}", fingerprint::content(messages.as_bytes()) as u32);
    (0..tokens).map(|number| wasabi_standin::token(&seed, number)).collect()
}
