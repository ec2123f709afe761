//! Tests of a group whose members join and leave without an operator.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

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
use running::{BOUND, found, free, members, options, put, start_again, stop, wait};
use tempfile::TempDir;
use wasabi_control::{Observer, Options, Running};
use wasabi_protocol::{
    id,
    rpc::{Join, Joined, MemberStatus, Proposed, Role, method},
    site,
};

/// Waits until the asked member knows three voters without the one that founded at an address.
async fn wait_for_successor(asked: SocketAddr, lost: SocketAddr) {
    let lost = id::Member::from(lost.to_string());
    wait(asked, "the member in the lost one's place", |members| {
        let is_voter = |status: &&MemberStatus| status.role != Role::Learner;
        let voters: Vec<_> = members.iter().filter(is_voter).collect();
        voters.len() == 3 && voters.iter().all(|status| status.member != lost)
    })
    .await;
}

/// Guards against a host that lost its disk and stays outside of its group for good, against one
/// that comes back under the name whose promises it forgot, and against a second loss after that.
#[actix_rt::test]
async fn a_member_without_its_disk_joins_and_a_second_loss_is_survived() {
    let addresses = [free(), free(), free()];
    let data = TempDir::new().unwrap();
    let [one, two, three] = found(&addresses, &addresses, data.path()).await;
    stop(three).await;
    let empty = data.path().join("empty");
    let three = start_again(options(addresses[2], &[], &addresses, &empty)).await;
    wait_for_successor(addresses[0], addresses[2]).await;
    stop(two).await;
    put(2, &[&one, &three]).await;
    stop(three).await;
    stop(one).await;
}

/// Guards against a host that lost its disk and whose seeds are all gone: the members still send to
/// its address, and one of them can tell it who leads.
#[actix_rt::test]
async fn a_host_without_its_disk_finds_its_group_without_seeds() {
    let addresses = [free(), free(), free()];
    let data = TempDir::new().unwrap();
    let [one, two, three] = found(&addresses, &[], data.path()).await;
    stop(three).await;
    let empty = data.path().join("empty");
    let three = start_again(options(addresses[2], &[], &[free()], &empty)).await;
    wait_for_successor(addresses[0], addresses[2]).await;
    for running in [one, two, three] {
        stop(running).await;
    }
}

/// Guards against hosts that are told of observers alone and find no member.
#[actix_rt::test]
async fn an_observer_names_the_members_that_introduced_themselves() {
    let (member, listen) = (free(), free());
    let observer = observe(listen, &[]).await;
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

/// Starts an observer that is told these contacts.
async fn observe(listen: SocketAddr, contacts: &[SocketAddr]) -> Observer {
    Observer::start(&options(listen, &[], contacts, Path::new(""))).await.unwrap()
}

/// Answers every host that asks to be taken in with the address of one member, whatever it is.
async fn name_always(member: SocketAddr, listen: SocketAddr) -> ServerHandle {
    let server = Server::builder().build(listen).await.unwrap();
    let mut module = RpcModule::new(member.to_string());
    let name = |_: Params<'_>, member: &String, _: &Extensions| {
        Ok::<_, ErrorObjectOwned>(Joined::NotLeader { leader: Some(member.clone()) })
    };
    module.register_method(method::JOIN, name).unwrap();
    server.start(module)
}

/// Returns the place of the member that leads.
async fn leader(addresses: &[SocketAddr]) -> usize {
    let started = std::time::Instant::now();
    loop {
        for address in addresses {
            let known = members(*address).await.unwrap_or_default();
            if let Some(leader) = known.iter().find(|status| status.role == Role::Leader) {
                let place = addresses.iter().position(|one| one.to_string() == leader.address);
                return place.unwrap();
            }
        }
        assert!(started.elapsed() < BOUND, "nobody leads");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a host that is never taken in, since its seeds name a follower to everybody and what they name replaces the leader that a follower has just named.
#[actix_rt::test]
async fn a_host_whose_seeds_know_a_follower_finds_the_leader() {
    let addresses = [free(), free(), free()];
    let data = TempDir::new().unwrap();
    // Without contacts, the founders introduce themselves to nobody.
    let running = found(&addresses, &[], data.path()).await;
    let observers = [free(), free()];
    let follower = addresses[(leader(&addresses).await + 1) % 3];
    let [first, second] = observers;
    let _servers = (name_always(follower, first).await, name_always(follower, second).await);
    let host = free();
    let joined =
        Running::start(options(host, &[], &observers, &data.path().join("host"))).await.unwrap();
    wait(addresses[0], "the host that was taken in", |members| {
        let is_voter = |status: &&MemberStatus| status.role != Role::Learner;
        members.iter().filter(is_voter).any(|status| status.address == host.to_string())
    })
    .await;
    stop(joined).await;
    for one in running {
        stop(one).await;
    }
}

/// Puts a file in the place of the member's folder, and returns once the member has seen that its
/// disk refuses writes, and where the folder is.
async fn refuse_writes(folder: &Path, running: &Running) -> PathBuf {
    let away = folder.with_extension("away");
    std::fs::rename(folder, &away).unwrap();
    std::fs::write(folder, "").unwrap();
    let started = std::time::Instant::now();
    for version in 100_u64.. {
        let config = site::Config { version, ..site::Config::default() };
        let document = site::Document { config, source: version.to_string() };
        // A snapshot, which needs a new file, is taken after nearly each change.
        if matches!(running.local().put_site(document).await, Proposed::Unknown) {
            break;
        }
        assert!(started.elapsed() < BOUND, "the disk takes writes");
    }
    away
}

/// Guards against a member that introduces itself to nobody any more after its disk refused a
/// write, so that hosts which only know observers do not find it.
#[actix_rt::test]
async fn a_member_introduces_itself_after_its_disk_refused_a_write() {
    let (address, listen) = (free(), free());
    let parent = TempDir::new().unwrap();
    let folder = parent.path().join("member");
    let member = options(address, &[address], &[free()], &folder);
    let contacts = member.contacts.clone();
    let running = Running::start(Options { snapshot_every: 1, ..member }).await.unwrap();
    put(1, &[&running]).await;
    let away = refuse_writes(&folder, &running).await;
    let observer = observe(listen, &[]).await;
    contacts.set(vec![listen.to_string()]);
    let started = std::time::Instant::now();
    while observer.member().is_none() {
        assert!(started.elapsed() < BOUND, "the member does not introduce itself");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    std::fs::remove_file(&folder).unwrap();
    std::fs::rename(&away, &folder).unwrap();
    put(1_000_000, &[&running]).await;
    stop(running).await;
}

/// Guards against a planned stop that is discarded while the disk refuses writes.
#[actix_rt::test]
async fn a_member_whose_disk_refuses_writes_can_be_stopped() {
    let address = free();
    let parent = TempDir::new().unwrap();
    let folder = parent.path().join("member");
    let member = options(address, &[address], &[], &folder);
    let mut running = Running::start(Options { snapshot_every: 1, ..member }).await.unwrap();
    put(1, &[&running]).await;
    refuse_writes(&folder, &running).await;
    running.stop();
    tokio::time::timeout(BOUND, running.ended()).await.unwrap().unwrap();
}

/// Guards against a planned stop that is forgotten when the disk refuses a write before the end.
#[actix_rt::test]
async fn a_stop_outlives_the_disk() {
    let address = free();
    let parent = TempDir::new().unwrap();
    let folder = parent.path().join("member");
    let member = options(address, &[address], &[], &folder);
    let mut running = Running::start(Options { snapshot_every: 1, ..member }).await.unwrap();
    put(1, &[&running]).await;
    // Answered in a later turn of the member, after the snapshots of what was put before.
    for _ in 0..3 {
        running.local().view().await;
    }
    std::fs::rename(&folder, folder.with_extension("away")).unwrap();
    std::fs::write(&folder, "").unwrap();
    let config = site::Config { version: 2, ..site::Config::default() };
    let document = site::Document { config, source: "2".to_owned() };
    let local = running.local();
    let put = actix_rt::spawn(async move { local.put_site(document).await });
    // Its proposal is on the way before the stop is.
    tokio::task::yield_now().await;
    running.stop();
    tokio::time::timeout(BOUND, running.ended()).await.unwrap().unwrap();
    put.await.unwrap();
}

/// Guards against a member that goes on as a new one, under the links and the name of the old one,
/// when its folder is empty for a while, as before a disk is mounted again.
#[actix_rt::test]
async fn a_member_whose_folder_is_empty_for_a_while_stays_the_same() {
    let address = free();
    let parent = TempDir::new().unwrap();
    let folder = parent.path().join("member");
    let member = options(address, &[address], &[], &folder);
    let running = Running::start(Options { snapshot_every: 1, ..member }).await.unwrap();
    put(1, &[&running]).await;
    let away = refuse_writes(&folder, &running).await;
    std::fs::remove_file(&folder).unwrap();
    std::fs::create_dir(&folder).unwrap();
    // More than one look at the folder falls into this time.
    let started = std::time::Instant::now();
    while started.elapsed() < Duration::from_millis(1_000) {
        assert_eq!(std::fs::read_dir(&folder).unwrap().count(), 0);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    std::fs::remove_dir(&folder).unwrap();
    std::fs::rename(&away, &folder).unwrap();
    put(1_000_000, &[&running]).await;
    stop(running).await;
}
