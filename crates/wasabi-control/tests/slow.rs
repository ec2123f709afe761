//! Tests of a group whose members or links are slow.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

mod running;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use running::{free, members, options, put, start_again, stop};
use tempfile::TempDir;
use wasabi_control::Running;
use wasabi_protocol::{
    command::Outcome,
    rpc::{MemberStatus, Proposed, Role},
    site,
};
use wasabi_testkit::relay::{Direction, Relay};

/// Members of the group.
const SIZE: usize = 6;

/// Members that the settings name: the least that the group keeps.
const FOUNDERS: usize = 3;

/// Time for which a group is watched.
const WATCHED: Duration = Duration::from_secs(8);

/// Longest time for a small change in a group whose leader and half of whose members are quick.
const CHANGE_BOUND: Duration = Duration::from_secs(1);

/// Longest time for a configuration of [`BULK`] bytes over [`LINK_BYTES_PER_S`]: it takes 6.7 s in
/// base64, and as much again is left for a second link that shares it and for a busy machine.
const BULK_BOUND: Duration = Duration::from_secs(14);

/// Length of a configuration of some thousand routes, in bytes.
const BULK: usize = 1024 * 1024;

/// What a link passes beside the traffic of a busy host.
const LINK_BYTES_PER_S: u32 = 200_000;

/// A group of which everything that a member receives from the others passes its relay.
struct Slow {
    addresses: Vec<SocketAddr>,
    relays: Vec<Relay>,
    running: Vec<Running>,
    _data: TempDir,
}

impl Slow {
    async fn start() -> Self {
        let addresses: Vec<_> = (0..SIZE).map(|_| free()).collect();
        let relays: Vec<_> = addresses.iter().map(|one| Relay::start(*one).unwrap()).collect();
        let between: Vec<_> = relays.iter().map(Relay::address).collect();
        let data = TempDir::new().unwrap();
        let options = |index: usize, founders: usize| {
            let folder = data.path().join(index.to_string());
            let mut options = options(addresses[index], &between[..founders], &between, &folder);
            options.name = between[index].to_string().as_str().into();
            options
        };
        let start = |index| Running::start(options(index, SIZE));
        let founders = join_all((0..SIZE).map(start)).await;
        let founders: Vec<_> = founders.into_iter().map(Result::unwrap).collect();
        put(1, &founders.iter().collect::<Vec<_>>()).await;
        // The addresses of the members must be in the log before they start anew.
        tokio::time::sleep(Duration::from_secs(1)).await;
        join_all(founders.into_iter().map(stop)).await;
        // A group keeps as many voters as its settings name founders.
        let again = |index| start_again(options(index, FOUNDERS));
        let running = join_all((0..SIZE).map(again)).await;
        put(2, &running.iter().collect::<Vec<_>>()).await;
        Self { addresses, relays, running, _data: data }
    }

    /// Returns the leader's place.
    async fn leader(&self) -> usize {
        let known = self.known(0).await;
        let leader = known.iter().find(|member| member.role == Role::Leader).unwrap();
        let place = self
            .relays
            .iter()
            .position(|relay| leader.member.as_str() == relay.address().to_string());
        place.unwrap()
    }

    async fn known(&self, index: usize) -> Vec<MemberStatus> {
        members(self.addresses[index]).await.unwrap()
    }

    /// Returns the other members than the leader.
    fn followers(leader: usize) -> impl Iterator<Item = usize> {
        (0..SIZE).filter(move |index| *index != leader)
    }

    /// Asserts that the leader still leads and that every member has its vote.
    async fn assert_calm(&self, leader: usize, since: Instant) {
        let known = self.known(leader).await;
        let after = since.elapsed();
        let leads = known.iter().any(|member| {
            member.role == Role::Leader
                && member.member.as_str() == self.relays[leader].address().to_string()
        });
        assert!(leads, "the leader was lost after {after:?}: {known:?}");
        let voters = known.iter().filter(|member| member.role != Role::Learner).count();
        assert_eq!(voters, SIZE, "a member was removed after {after:?}: {known:?}");
    }

    /// Puts a configuration in force at the leader, and returns how long that took.
    async fn put(&self, leader: usize, version: u64, text: String) -> Duration {
        let config = site::Config { version, ..site::Config::default() };
        let document = site::Document { config, source: text };
        let started = Instant::now();
        let put = self.running[leader].local().put_site(document).await;
        let took = started.elapsed();
        assert!(
            matches!(put, Proposed::Committed(Outcome::Accepted { .. })),
            "version {version}: {put:?} after {took:?}"
        );
        took
    }

    async fn stop(self) {
        join_all(self.running.into_iter().map(stop)).await;
    }
}

/// Guards against members that are cut off, removed, or elect another leader, because their answers
/// come after 350 to 900 ms.
#[actix_rt::test]
async fn members_that_answer_late_stay() {
    let group = Slow::start().await;
    let leader = group.leader().await;
    for index in Slow::followers(leader).take(SIZE / 2) {
        group.relays[index].delay(Direction::Backward, 350..900);
    }
    let started = Instant::now();
    let mut version = 2;
    while started.elapsed() < WATCHED {
        version += 1;
        let took = group.put(leader, version, version.to_string()).await;
        assert!(took < CHANGE_BOUND, "version {version} took {took:?}");
        group.assert_calm(leader, started).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    group.stop().await;
}

/// Guards against heartbeats that wait behind a large configuration on slow links, so that the
/// leader is lost and everything is sent again until nothing small passes either.
#[actix_rt::test]
async fn bulk_on_slow_links_costs_no_leader() {
    let group = Slow::start().await;
    let leader = group.leader().await;
    for relay in &group.relays {
        relay.limit(Direction::Forward, LINK_BYTES_PER_S);
        relay.limit(Direction::Backward, LINK_BYTES_PER_S);
    }
    let started = Instant::now();
    let watch = async {
        while started.elapsed() < WATCHED {
            group.assert_calm(leader, started).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let (took, ()) = tokio::join!(group.put(leader, 3, "x".repeat(BULK)), watch);
    assert!(took < BULK_BOUND, "the configuration took {took:?}");
    group.assert_calm(leader, started).await;
    group.stop().await;
}

/// Guards against a member that is gone and keeps its place in a group of an even number, and against
/// connections that stay silent for good after a cut and are not replaced.
#[actix_rt::test]
async fn a_silent_member_leaves_and_silent_connections_are_replaced() {
    let group = Slow::start().await;
    let leader = group.leader().await;
    let gone = Slow::followers(leader).next().unwrap();
    // Shorter than the silence after which a member is removed.
    group.relays[gone].cut_both();
    tokio::time::sleep(Duration::from_millis(500)).await;
    group.relays[gone].restore();
    let restored = Instant::now();
    while restored.elapsed() < Duration::from_secs(3) {
        group.assert_calm(leader, restored).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    group.relays[gone].cut_both();
    let cut = Instant::now();
    let name = group.relays[gone].address().to_string();
    loop {
        let known = group.known(leader).await;
        // It still sends, so that it may ask again and be added without a vote before the next look.
        let has_vote = |member: &&MemberStatus| member.role != Role::Learner;
        if !known.iter().filter(has_vote).any(|member| member.member.as_str() == name) {
            break;
        }
        // 1.5 s of silence, the last heartbeat before it, a commit, and a busy machine.
        assert!(cut.elapsed() < Duration::from_secs(3), "the member stays: {known:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    group.stop().await;
}
