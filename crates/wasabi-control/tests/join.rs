//! Tests of a group whose members join and leave without an operator.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{net::SocketAddr, path::Path, time::Duration};

use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use tempfile::TempDir;
use wasabi_control::{Batching, Contacts, Observer, Options, Running};
use wasabi_protocol::{
    command::Outcome,
    fingerprint, id,
    rpc::{Inquire, Inquired, Join, Joined, MemberStatus, Proposed, Role, Source, method},
    site,
};

const CREDENTIAL: &str = "operator";

/// Longest time for anything that a test waits for.
const BOUND: Duration = Duration::from_secs(30);

/// Returns an address whose port was free a moment ago.
fn free() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn options(
    listen: SocketAddr,
    founders: &[SocketAddr],
    all: &[SocketAddr],
    data: &Path,
) -> Options {
    let member = |address: &SocketAddr| (address.to_string().as_str().into(), address.to_string());
    Options {
        name: listen.to_string().as_str().into(),
        listen,
        data: data.to_owned(),
        members: founders.iter().map(member).collect(),
        contacts: Contacts::new(all.iter().map(ToString::to_string).collect()),
        self_repair: true,
        operator_digests: vec![fingerprint::token(CREDENTIAL)],
        snapshot_every: 100,
        batching: Batching::Shared,
        metrics: Default::default(),
    }
}

/// Returns the members as the asked one knows them.
async fn members(address: SocketAddr) -> Option<Vec<MemberStatus>> {
    let client = WsClientBuilder::default().build(format!("ws://{address}")).await.ok()?;
    let ask = Inquire { credential: CREDENTIAL.to_owned(), source: Source::Member };
    match client.request(method::STATUS, rpc_params![ask]).await.ok()? {
        Inquired::Status(status) => Some(status.members),
        _ => None,
    }
}

/// Waits until the asked member knows a group that is as stated.
async fn wait(address: SocketAddr, what: &str, holds: impl Fn(&[MemberStatus]) -> bool) {
    let started = std::time::Instant::now();
    loop {
        let known = members(address).await.unwrap_or_default();
        if holds(&known) {
            return;
        }
        assert!(started.elapsed() < BOUND, "{what} did not come; the members are {known:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn put(version: u64, running: &[&Running]) {
    let config = site::Config { version, ..site::Config::default() };
    let document = site::Document { config, source: version.to_string() };
    let started = std::time::Instant::now();
    while started.elapsed() < BOUND {
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

async fn stop(mut running: Running) {
    running.stop();
    running.ended().await.unwrap();
}

/// Guards against a host that lost its disk and stays outside of its group for good, against one
/// that comes back under the name whose promises it forgot, and against a second loss after that.
#[actix_rt::test]
async fn a_member_without_its_disk_joins_and_a_second_loss_is_survived() {
    let addresses = [free(), free(), free()];
    let folders = [(); 3].map(|()| TempDir::new().unwrap());
    let start = |index: usize, founders: &[SocketAddr]| {
        Running::start(options(addresses[index], founders, &addresses, folders[index].path()))
    };
    let (one, two, three) =
        tokio::join!(start(0, &addresses), start(1, &addresses), start(2, &addresses));
    let (one, two, three) = (one.unwrap(), two.unwrap(), three.unwrap());
    put(1, &[&one, &two, &three]).await;
    stop(three).await;
    std::fs::remove_dir_all(folders[2].path()).unwrap();
    std::fs::create_dir(folders[2].path()).unwrap();
    let begun = std::time::Instant::now();
    let three = loop {
        // The port of the process before is free once its connections have ended.
        match start(2, &[]).await {
            Ok(running) => break running,
            Err(error) => assert!(begun.elapsed() < BOUND, "{error}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    let old = id::Member::from(addresses[2].to_string());
    wait(addresses[0], "the joined member", |members| {
        let is_voter = |status: &&MemberStatus| status.role != Role::Learner;
        let voters: Vec<_> = members.iter().filter(is_voter).collect();
        voters.len() == 3 && voters.iter().all(|status| status.member != old)
    })
    .await;
    stop(two).await;
    put(2, &[&one, &three]).await;
    stop(three).await;
    stop(one).await;
}

/// Guards against hosts that are told of observers alone and find no member.
#[actix_rt::test]
async fn an_observer_names_the_members_that_introduced_themselves() {
    let (member, listen) = (free(), free());
    let observer = Observer::start(listen).await.unwrap();
    assert_eq!(observer.member(), None);
    let client = WsClientBuilder::default().build(format!("ws://{listen}")).await.unwrap();
    let join = Join {
        member: member.to_string().as_str().into(),
        address: member.to_string(),
        proofs: Vec::new(),
    };
    let joined: Joined = client.request(method::JOIN, rpc_params![join]).await.unwrap();
    assert_eq!(joined, Joined::NotLeader { leader: None });
    assert_eq!(observer.member(), Some(member.to_string()));
}
