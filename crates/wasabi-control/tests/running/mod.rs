//! Members of a control group that run in the test process.

#![allow(dead_code, unreachable_pub, reason = "each test file uses only some items")]

use std::{net::SocketAddr, path::Path, time::Duration};

use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use wasabi_control::{Batching, Contacts, Options, Running};
use wasabi_protocol::{
    command::Outcome,
    fingerprint,
    rpc::{MemberStatus, Proposed, Source, StatusReply, StatusRequest, method},
    site,
};
use wasabi_testkit::process;

/// The operator's credential.
pub const CREDENTIAL: &str = "operator";

/// Longest time that a test waits for a condition.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns an address with a free port that is not assigned to other connections or relays
/// meanwhile.
pub fn free_address() -> SocketAddr {
    process::free_address()
}

/// Returns the options of a member.
pub fn options(
    listen: SocketAddr,
    initial: &[SocketAddr],
    all: &[SocketAddr],
    data: &Path,
) -> Options {
    let member = |address: &SocketAddr| (address.to_string().as_str().into(), address.to_string());
    Options {
        name: listen.to_string().as_str().into(),
        listen,
        data: data.to_owned(),
        members: initial.iter().map(member).collect(),
        contacts: Contacts::new(all.iter().map(ToString::to_string).collect()),
        self_repair: true,
        operator_digests: vec![fingerprint::token(CREDENTIAL)],
        snapshot_every: 100,
        batching: Batching::Shared,
        metrics: Default::default(),
    }
}

/// Returns the members that the queried member knows.
pub async fn members(address: SocketAddr) -> Option<Vec<MemberStatus>> {
    let client = WsClientBuilder::default().build(format!("ws://{address}")).await.ok()?;
    let ask = StatusRequest { credential: CREDENTIAL.to_owned(), source: Source::Member };
    match client.request(method::STATUS, rpc_params![ask]).await.ok()? {
        StatusReply::Status(status) => Some(status.members),
        _ => None,
    }
}

/// Waits until the members known to the queried member meet a condition.
pub async fn wait_for(address: SocketAddr, what: &str, holds: impl Fn(&[MemberStatus]) -> bool) {
    let started = std::time::Instant::now();
    loop {
        let known = members(address).await.unwrap_or_default();
        if holds(&known) {
            return;
        }
        assert!(
            started.elapsed() < TIMEOUT,
            "timed out waiting for {what}; the members are {known:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Applies a configuration with this version.
pub async fn put_version(version: u64, running: &[&Running]) {
    put_version_with_text(version, &version.to_string(), running).await;
}

/// Applies a configuration with this version and source text.
pub async fn put_version_with_text(version: u64, text: &str, running: &[&Running]) {
    let config = site::Config { version, ..site::Config::default() };
    let document = site::Document { config, source: text.to_owned() };
    let started = std::time::Instant::now();
    while started.elapsed() < TIMEOUT {
        for one in running {
            let proposed = one.local().put_site(document.clone()).await;
            if matches!(proposed, Proposed::Committed(Outcome::Accepted { .. } | Outcome::Done)) {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("version {version} was not committed");
}

/// Stops a member and waits for its end.
pub async fn stop(mut running: Running) {
    running.stop();
    running.ended().await.unwrap();
}

/// Starts the initial members of a group, each with its own directory, and waits for the first
/// commit.
pub async fn start_group(
    addresses: &[SocketAddr; 3],
    contacts: &[SocketAddr],
    data: &Path,
) -> [Running; 3] {
    let start = |index: usize| {
        let directory = data.join(index.to_string());
        Running::start(options(addresses[index], addresses, contacts, &directory))
    };
    let (one, two, three) = tokio::join!(start(0), start(1), start(2));
    let running = [one.unwrap(), two.unwrap(), three.unwrap()];
    put_version(1, &running.each_ref()).await;
    running
}

/// Starts a member at the address of a stopped one.
pub async fn restart(options: Options) -> Running {
    let started = std::time::Instant::now();
    loop {
        // The port of the previous process is released once its connections have closed.
        match Running::start(options.clone()).await {
            Ok(running) => return running,
            Err(error) => assert!(started.elapsed() < TIMEOUT, "{error}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
