//! The daemon as a process: signals, pauses, and a site of real processes.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use awc::http::StatusCode;
use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use support::{
    Caller, contracts, control::Control, control::order, expected_text, run_count, wait_until,
};
use tempfile::TempDir;
use wasabi_protocol::{
    clock::Millis,
    command::{Command, Order, Outcome},
    contract::Contract,
    endpoint::Kind,
    fingerprint, id,
    rpc::{CommandReply, CommandRequest, method},
};
use wasabi_standin::Standin;
use wasabi_testkit::process::{Daemon, Signal, binary, free_address};

/// Time for which a process is paused; longer than its dispatch window and its serving time of 2 s.
const PAUSE: Duration = Duration::from_millis(2_300);

/// A daemon with its directory and address.
struct Process {
    daemon: Daemon,
    address: String,
    directory: TempDir,
}

impl Process {
    async fn start(binary: &Path, settings: &str) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let path = |name: &str| directory.path().join(name);
        std::fs::write(path("settings.yaml"), settings).unwrap();
        let arguments = [
            PathBuf::from("--settings"),
            path("settings.yaml"),
            "--address-file".into(),
            path("address"),
        ];
        let daemon = Daemon::start(binary, arguments, &path("log")).unwrap();
        let read = || std::fs::read_to_string(path("address")).unwrap_or_default();
        wait_until("the process listens", async || !read().is_empty()).await;
        Self { address: read(), daemon, directory }
    }

    async fn start_entry(extra_settings: &str) -> Self {
        let settings = format!(
            "name: e1\nregion: north\ndata_centre: dc1\n\
             listen: {{callers: 127.0.0.1:0, peers: 127.0.0.1:0, metrics: 127.0.0.1:0}}\n{extra_settings}\n"
        );
        Self::start(Path::new(env!("CARGO_BIN_EXE_wasabi-entryd")), &settings).await
    }

    fn caller(&self) -> Caller {
        Caller::new(self.address.clone())
    }
}

fn start_service(entry: &Process) -> Standin {
    let mut settings = wasabi_standin::Settings::new("s1", Kind::Service, "desk");
    settings.entries = vec![entry.address.clone()];
    Standin::start(settings).unwrap()
}

/// Guards against a daemon that works only inside the process of a test, and against a signal that
/// cuts a running stream.
#[actix_rt::test]
async fn processes_serve_a_stream_and_stop_on_a_signal() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("contracts.yaml");
    std::fs::write(&path, contracts().to_string()).unwrap();
    let extra_settings =
        format!("contracts: {}\ncallers: {{list_lifetime: 100ms}}", path.display());
    let mut entry = Process::start_entry(&extra_settings).await;
    let settings = format!(
        "name: m1\nkind: model\nbackend: coal\nbetween_tokens_ms: 10\nentries: [\"{}\"]\n",
        entry.address
    );
    let mut engine = Process::start(&binary("wasabi-standin"), &settings).await;
    let caller = entry.caller();
    caller.wait_until_served().await;
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        entry.daemon.signal(Signal::Terminate);
        engine.daemon.signal(Signal::Terminate);
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.daemon.signal(Signal::Terminate);
    };
    let (answer, ()) = futures_util::future::join(caller.chat("stock", 100), stop).await;
    assert!(answer.is_done() && answer.is_complete, "{}", answer.body);
    assert_eq!(answer.text(), expected_text("stock", 100));
    assert!(entry.daemon.wait().success(), "{}", entry.daemon.output());
    assert!(engine.daemon.wait().success(), "{}", engine.daemon.output());
}

/// Guards against a dispatch by a process that was paused until after its dispatch window.
#[actix_rt::test]
async fn a_process_paused_past_its_dispatch_window_sends_nothing() {
    let control = Control::start().await;
    let entry = Process::start_entry(&format!("control: [\"{}\"]", control.address())).await;
    let service = start_service(&entry);
    let caller = entry.caller();
    wait_until("an order runs", async || caller.order("warm", "up").await.status == StatusCode::OK)
        .await;
    // The record is committed before the pause, and its answer arrives during it.
    control.hold_answers(true);
    let before = control.recorded_attempts();
    let pause = async {
        wait_until("the record is committed", async || before < control.recorded_attempts()).await;
        entry.daemon.signal(Signal::Stop);
        control.hold_answers(false);
        tokio::time::sleep(PAUSE).await;
        entry.daemon.signal(Signal::Continue);
    };
    let (answer, ()) = futures_util::future::join(caller.order("k1", "one lorry"), pause).await;
    let log = entry.daemon.output();
    assert_eq!(answer.ran, "not_run", "{}\n{log}", answer.body);
    assert_eq!(run_count(&service.counts(), "k1"), 0, "{log}");
    wait_until("the key runs", async || {
        caller.order("k1", "one lorry").await.status == StatusCode::OK
    })
    .await;
    assert_eq!(run_count(&service.counts(), "k1"), 1);
}

/// Guards against a process that resumes after a pause and serves a contract that was removed
/// during the pause.
#[actix_rt::test]
async fn a_resumed_process_does_not_serve_a_removed_contract() {
    let control = Control::start().await;
    let entry = Process::start_entry(&format!("control: [\"{}\"]", control.address())).await;
    let service = start_service(&entry);
    let caller = entry.caller();
    wait_until("an order runs", async || caller.order("warm", "up").await.status == StatusCode::OK)
        .await;
    entry.daemon.signal(Signal::Stop);
    let organisation = "hospital".into();
    control.apply(&Command::RemoveContract { order: order(&control, "end"), organisation });
    let resume = async {
        tokio::time::sleep(PAUSE).await;
        entry.daemon.signal(Signal::Continue);
    };
    let before = service.counts().requests;
    // Uses a new connection: the entry closes one that was idle for 5 s, which a late resume could
    // reach.
    let caller = entry.caller();
    let request = caller.request("POST", "/services/desk/repeatable");
    let (answer, ()) = futures_util::future::join(caller.send(request, "x"), resume).await;
    assert_eq!(answer.ran, "not_run", "{}\n{}", answer.body, entry.daemon.output());
    assert!(["entry_isolated", "unauthorized"].contains(&answer.kind().as_str()));
    assert_eq!(service.counts().requests, before);
    drop(entry.directory);
}

/// Guards against a second run after the entry of a running order was killed: the record outlives
/// the entry, and the key stays taken.
#[actix_rt::test]
async fn records_outlive_a_killed_entry() {
    let control = Control::start().await;
    let settings = format!("control: [\"{}\"]", control.address());
    let mut entry = Process::start_entry(&settings).await;
    let service = start_service(&entry);
    let caller = entry.caller();
    wait_until("an order runs", async || caller.order("warm", "up").await.status == StatusCode::OK)
        .await;
    service.set_faults(wasabi_standin::Faults { frozen: true, ..Default::default() });
    let mut order = Box::pin(
        caller
            .request("POST", "/services/desk/orders")
            .insert_header(("idempotency-key", "k1"))
            .send_body("one lorry"),
    );
    let is_running = wait_until("the order runs", async || run_count(&service.counts(), "k1") == 1);
    tokio::select! {
        _ = &mut order => panic!("the order was answered although the service is frozen"),
        () = is_running => {}
    }
    entry.daemon.kill();
    service.set_faults(wasabi_standin::Faults::default());
    let next = Process::start_entry(&settings).await;
    service.announce_to(vec![next.address.clone()]);
    let caller = next.caller();
    wait_until("another order runs", async || {
        caller.order("k2", "x").await.status == StatusCode::OK
    })
    .await;
    let request = caller
        .request("POST", "/services/desk/orders")
        .insert_header(("idempotency-key", "k1"))
        .insert_header(("x-wasabi-deadline-ms", "1000"));
    let answer = caller.send(request, "one lorry").await;
    assert_eq!((answer.kind().as_str(), answer.ran.as_str()), ("key_pending", "may_have_run"));
    assert_eq!(run_count(&service.counts(), "k1"), 1);
}

/// Applies a contract as an operator, retrying until the control daemon leads and accepts it.
async fn apply_contract(address: &str, contract: Contract) {
    let client = WsClientBuilder::default().build(format!("ws://{address}"));
    let client = client.await.unwrap();
    wait_until("the contract is accepted", async || {
        let order = Order {
            command: "first".into(),
            operator: "test".to_owned(),
            base: id::Revision::default(),
        };
        let command = Command::ApplyContract { order, contract: contract.clone() };
        let operate =
            CommandRequest { credential: "operator".to_owned(), command, wait: Millis::ZERO };
        let operated =
            client.request::<CommandReply, _>(method::OPERATE, rpc_params![operate]).await;
        matches!(operated, Ok(CommandReply::Committed { outcome: Outcome::Accepted { .. }, .. }))
    })
    .await;
}

/// Guards against daemons that work with the simulated ones of other tests but not with each other.
#[actix_rt::test]
async fn an_order_runs_once_between_real_daemons() {
    let directory = tempfile::tempdir().unwrap();
    let (listen, metrics) = (free_address().to_string(), free_address().to_string());
    let data = directory.path().join("data");
    std::fs::create_dir(&data).unwrap();
    let settings = format!(
        "name: c1\nregion: north\ndata_centre: dc1\nlisten: {listen}\nmetrics: {metrics}\n\
         data: {}\nmembers: [{{name: c1, address: \"{listen}\"}}]\noperator_digests: [\"{}\"]\n",
        data.display(),
        fingerprint::token("operator"),
    );
    let path = directory.path().join("settings.yaml");
    std::fs::write(&path, settings).unwrap();
    let arguments = [PathBuf::from("--settings"), path];
    let log = directory.path().join("log");
    let control = Daemon::start(&binary("wasabi-controld"), arguments, &log).unwrap();
    wait_until("control listens", async || {
        WsClientBuilder::default().build(format!("ws://{listen}")).await.is_ok()
    })
    .await;
    let mut contracts: Vec<Contract> = serde_json::from_value(contracts()).unwrap();
    apply_contract(&listen, contracts.remove(0)).await;
    let entry = Process::start_entry(&format!("control: [\"{listen}\"]")).await;
    let service = start_service(&entry);
    let caller = entry.caller();
    wait_until("an order runs", async || {
        caller.order("k1", "one lorry").await.status == StatusCode::OK
    })
    .await;
    let again = caller.order("k1", "one lorry").await;
    assert_eq!((again.status, again.ran.as_str()), (StatusCode::OK, "ran"), "{}", again.body);
    assert_eq!(run_count(&service.counts(), "k1"), 1, "{}", control.output());
}
