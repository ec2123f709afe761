//! Tests of a group whose members join and leave without an operator.
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

mod running;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use jsonrpsee::{
    Extensions, RpcModule,
    core::client::ClientT as _,
    rpc_params,
    server::{Server, ServerHandle},
    types::{ErrorObjectOwned, Params},
    ws_client::WsClientBuilder,
};
use running::{
    TIMEOUT, free_address, members, options, put_version, restart, start_group, stop, wait_for,
};
use tempfile::TempDir;
use wasabi_control::{Observer, Options, Running};
use wasabi_protocol::{
    id,
    rpc::{Join, Joined, MemberStatus, Proposed, Role, method},
    site,
};

/// Waits until the queried member knows three voters without the initial member of a lost host.
async fn wait_for_successor(queried: SocketAddr, lost: SocketAddr) {
    let lost = id::Member::from(lost.to_string());
    wait_for(queried, "the replacement of the lost member", |members| {
        let is_voter = |status: &&MemberStatus| status.role != Role::Learner;
        let voters: Vec<_> = members.iter().filter(is_voter).collect();
        voters.len() == 3 && voters.iter().all(|status| status.member != lost)
    })
    .await;
}

/// Guards against a host that lost its disk and never rejoins its group, against one that rejoins
/// under its old name although its earlier votes are lost, and against a second loss after that.
#[actix_rt::test]
async fn a_member_with_an_empty_disk_rejoins_and_a_second_loss_is_tolerated() {
    let addresses = [free_address(), free_address(), free_address()];
    let data = TempDir::new().unwrap();
    let [one, two, three] = start_group(&addresses, &addresses, data.path()).await;
    stop(three).await;
    let empty = data.path().join("empty");
    let three = restart(options(addresses[2], &[], &addresses, &empty)).await;
    wait_for_successor(addresses[0], addresses[2]).await;
    stop(two).await;
    put_version(2, &[&one, &three]).await;
    stop(three).await;
    stop(one).await;
}

/// Guards against a host that lost its disk and cannot reach any seed: members still send messages
/// to its address, and one of them can name the leader.
#[actix_rt::test]
async fn a_host_with_an_empty_disk_finds_its_group_without_seeds() {
    let addresses = [free_address(), free_address(), free_address()];
    let data = TempDir::new().unwrap();
    let [one, two, three] = start_group(&addresses, &[], data.path()).await;
    stop(three).await;
    let empty = data.path().join("empty");
    let three = restart(options(addresses[2], &[], &[free_address()], &empty)).await;
    wait_for_successor(addresses[0], addresses[2]).await;
    for running in [one, two, three] {
        stop(running).await;
    }
}

/// Guards against hosts that only know observers and therefore find no member.
#[actix_rt::test]
async fn an_observer_names_the_members_that_introduced_themselves() {
    let (member, listen) = (free_address(), free_address());
    let observer = start_observer(listen, &[]).await;
    assert_eq!(observer.member(), None);
    let client = WsClientBuilder::default().build(format!("ws://{listen}")).await.unwrap();
    let join = Join {
        member: member.to_string().as_str().into(),
        address: member.to_string(),
        proofs: Vec::new(),
        leader: None,
    };
    let joined: Joined = client.request(method::JOIN, rpc_params![join]).await.unwrap();
    assert_eq!(joined, Joined::NotLeader { leader: None });
    assert_eq!(observer.member(), Some(member.to_string()));
}

/// Starts an observer with the given contacts.
async fn start_observer(listen: SocketAddr, contacts: &[SocketAddr]) -> Observer {
    Observer::start(&options(listen, &[], contacts, Path::new(""))).await.unwrap()
}

/// Answers every join request with a redirect to the given member.
async fn redirect_all_joins(member: SocketAddr, listen: SocketAddr) -> ServerHandle {
    let server = Server::builder().build(listen).await.unwrap();
    let mut module = RpcModule::new(member.to_string());
    let name = |_: Params<'_>, member: &String, _: &Extensions| {
        Ok::<_, ErrorObjectOwned>(Joined::NotLeader { leader: Some(member.clone()) })
    };
    module.register_method(method::JOIN, name).unwrap();
    server.start(module)
}

/// Returns the index of the leader.
async fn leader(addresses: &[SocketAddr]) -> usize {
    let started = std::time::Instant::now();
    loop {
        for address in addresses {
            let known = members(*address).await.unwrap_or_default();
            if let Some(leader) = known.iter().find(|status| status.role == Role::Leader) {
                let index = addresses.iter().position(|one| one.to_string() == leader.address);
                return index.unwrap();
            }
        }
        assert!(started.elapsed() < TIMEOUT, "no member leads");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a host that never joins because its seeds always name a follower, and their
/// redirect replaces the leader that a follower has just named.
#[actix_rt::test]
async fn a_host_whose_seeds_know_a_follower_finds_the_leader() {
    let addresses = [free_address(), free_address(), free_address()];
    let data = TempDir::new().unwrap();
    // Without contacts, the initial members do not introduce themselves to the seeds.
    let running = start_group(&addresses, &[], data.path()).await;
    let observers = [free_address(), free_address()];
    let follower = addresses[(leader(&addresses).await + 1) % 3];
    let [first, second] = observers;
    let _servers =
        (redirect_all_joins(follower, first).await, redirect_all_joins(follower, second).await);
    let host = free_address();
    let joined =
        Running::start(options(host, &[], &observers, &data.path().join("host"))).await.unwrap();
    wait_for(addresses[0], "the promotion of the joined host", |members| {
        let is_voter = |status: &&MemberStatus| status.role != Role::Learner;
        members.iter().filter(is_voter).any(|status| status.address == host.to_string())
    })
    .await;
    stop(joined).await;
    for one in running {
        stop(one).await;
    }
}

/// Replaces the member's directory by a file, and waits until a write of the member has failed.
/// Returns the path of the moved directory.
async fn make_writes_fail(directory: &Path, running: &Running) -> PathBuf {
    let moved = directory.with_extension("moved");
    std::fs::rename(directory, &moved).unwrap();
    std::fs::write(directory, "").unwrap();
    let started = std::time::Instant::now();
    for version in 100_u64.. {
        let config = site::Config { version, ..site::Config::default() };
        let document = site::Document { config, source: version.to_string() };
        // A snapshot, which needs a new file, is taken after nearly every change.
        if matches!(running.local().put_site(document).await, Proposed::Unknown) {
            break;
        }
        assert!(started.elapsed() < TIMEOUT, "writes still succeed");
    }
    moved
}

/// Guards against a member that stops introducing itself after a disk error, so that hosts which
/// only know observers cannot find it.
#[actix_rt::test]
async fn a_member_introduces_itself_after_a_disk_error() {
    let (address, listen) = (free_address(), free_address());
    let parent = TempDir::new().unwrap();
    let directory = parent.path().join("member");
    let member = options(address, &[address], &[free_address()], &directory);
    let contacts = member.contacts.clone();
    let running = Running::start(Options { snapshot_every: 1, ..member }).await.unwrap();
    put_version(1, &[&running]).await;
    let moved = make_writes_fail(&directory, &running).await;
    let observer = start_observer(listen, &[]).await;
    contacts.set(vec![listen.to_string()]);
    let started = std::time::Instant::now();
    while observer.member().is_none() {
        assert!(started.elapsed() < TIMEOUT, "the member does not introduce itself");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    std::fs::remove_file(&directory).unwrap();
    std::fs::rename(&moved, &directory).unwrap();
    put_version(1_000_000, &[&running]).await;
    stop(running).await;
}

/// Guards against a graceful stop that is discarded while writes fail.
#[actix_rt::test]
async fn a_member_can_be_stopped_during_disk_errors() {
    let address = free_address();
    let parent = TempDir::new().unwrap();
    let directory = parent.path().join("member");
    let member = options(address, &[address], &[], &directory);
    let mut running = Running::start(Options { snapshot_every: 1, ..member }).await.unwrap();
    put_version(1, &[&running]).await;
    make_writes_fail(&directory, &running).await;
    running.stop();
    tokio::time::timeout(TIMEOUT, running.ended()).await.unwrap().unwrap();
}

/// Guards against a graceful stop that is lost when a write fails before the member has ended.
#[actix_rt::test]
async fn a_stop_request_survives_a_disk_error() {
    let address = free_address();
    let parent = TempDir::new().unwrap();
    let directory = parent.path().join("member");
    let member = options(address, &[address], &[], &directory);
    let mut running = Running::start(Options { snapshot_every: 1, ..member }).await.unwrap();
    put_version(1, &[&running]).await;
    // Each view is answered in a later turn of the member, after the snapshots of the earlier
    // changes.
    for _ in 0..3 {
        running.local().view().await;
    }
    std::fs::rename(&directory, directory.with_extension("moved")).unwrap();
    std::fs::write(&directory, "").unwrap();
    let config = site::Config { version: 2, ..site::Config::default() };
    let document = site::Document { config, source: "2".to_owned() };
    let local = running.local();
    let write = actix_rt::spawn(async move { local.put_site(document).await });
    // The proposal is queued before the stop.
    tokio::task::yield_now().await;
    running.stop();
    tokio::time::timeout(TIMEOUT, running.ended()).await.unwrap().unwrap();
    write.await.unwrap();
}

/// Guards against a member that continues as a new one, with the links and the name of the old one,
/// when its directory is temporarily empty, as before a disk is mounted.
#[actix_rt::test]
async fn a_member_with_a_temporarily_empty_directory_keeps_its_identity() {
    let address = free_address();
    let parent = TempDir::new().unwrap();
    let directory = parent.path().join("member");
    let member = options(address, &[address], &[], &directory);
    let running = Running::start(Options { snapshot_every: 1, ..member }).await.unwrap();
    put_version(1, &[&running]).await;
    let moved = make_writes_fail(&directory, &running).await;
    std::fs::remove_file(&directory).unwrap();
    std::fs::create_dir(&directory).unwrap();
    // The member retries the directory more than once in this time.
    let started = std::time::Instant::now();
    while started.elapsed() < Duration::from_millis(1_000) {
        assert_eq!(std::fs::read_dir(&directory).unwrap().count(), 0);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    std::fs::remove_dir(&directory).unwrap();
    std::fs::rename(&moved, &directory).unwrap();
    put_version(1_000_000, &[&running]).await;
    stop(running).await;
}
