//! Tests of a group with slow members or links.
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

mod running;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use running::{free_address, members, options, put_version, restart, stop};
use tempfile::TempDir;
use wasabi_control::Running;
use wasabi_protocol::{
    command::Outcome,
    rpc::{MemberStatus, Proposed, Role},
    site,
};
use wasabi_testkit::relay::{Direction, Relay};

/// Number of members.
const MEMBER_COUNT: usize = 6;

/// Number of members in the settings, which is the least size of the group.
const INITIAL_MEMBERS: usize = 3;

/// Time for which a group is observed.
const OBSERVED_FOR: Duration = Duration::from_secs(8);

/// Longest time for a small change when the leader and half of the followers are fast.
const CHANGE_TIME_MAX: Duration = Duration::from_secs(1);

/// Longest time for a configuration of [`BULK_BYTES`] over [`LINK_BYTES_PER_S`]: it takes 6.7 s in
/// base64, and the same again is a margin for a second link that shares it and for a loaded
/// machine.
const BULK_TIME_MAX: Duration = Duration::from_secs(14);

/// Size of a configuration with some thousand routes, in bytes.
const BULK_BYTES: usize = 1024 * 1024;

/// Bandwidth that is left by the other traffic of a busy host.
const LINK_BYTES_PER_S: u32 = 200_000;

/// A group in which all messages to a member pass through its relay.
struct SlowGroup {
    addresses: Vec<SocketAddr>,
    relays: Vec<Relay>,
    running: Vec<Running>,
    _data: TempDir,
}

impl SlowGroup {
    async fn start() -> Self {
        let addresses: Vec<_> = (0..MEMBER_COUNT).map(|_| free_address()).collect();
        let relays: Vec<_> = addresses.iter().map(|one| Relay::start(*one).unwrap()).collect();
        let between: Vec<_> = relays.iter().map(Relay::address).collect();
        let data = TempDir::new().unwrap();
        let options = |index: usize, initial: usize| {
            let directory = data.path().join(index.to_string());
            let mut options = options(addresses[index], &between[..initial], &between, &directory);
            options.name = between[index].to_string().as_str().into();
            options
        };
        let start = |index| Running::start(options(index, MEMBER_COUNT));
        let initial = join_all((0..MEMBER_COUNT).map(start)).await;
        let initial: Vec<_> = initial.into_iter().map(Result::unwrap).collect();
        put_version(1, &initial.iter().collect::<Vec<_>>()).await;
        // The members' addresses must be in the log before the restart.
        tokio::time::sleep(Duration::from_secs(1)).await;
        join_all(initial.into_iter().map(stop)).await;
        // A group keeps at least as many voters as its settings name.
        let again = |index| restart(options(index, INITIAL_MEMBERS));
        let running = join_all((0..MEMBER_COUNT).map(again)).await;
        put_version(2, &running.iter().collect::<Vec<_>>()).await;
        Self { addresses, relays, running, _data: data }
    }

    /// Returns the index of the leader.
    async fn leader(&self) -> usize {
        let known = self.known(0).await;
        let leader = known.iter().find(|member| member.role == Role::Leader).unwrap();
        let index = self
            .relays
            .iter()
            .position(|relay| leader.member.as_str() == relay.address().to_string());
        index.unwrap()
    }

    async fn known(&self, index: usize) -> Vec<MemberStatus> {
        members(self.addresses[index]).await.unwrap()
    }

    /// Returns the indices of the followers.
    fn followers(leader: usize) -> impl Iterator<Item = usize> {
        (0..MEMBER_COUNT).filter(move |index| *index != leader)
    }

    /// Asserts that the leader still leads and that all members are voters.
    async fn assert_stable(&self, leader: usize, since: Instant) {
        let known = self.known(leader).await;
        let after = since.elapsed();
        let leads = known.iter().any(|member| {
            member.role == Role::Leader
                && member.member.as_str() == self.relays[leader].address().to_string()
        });
        assert!(leads, "the leader was lost after {after:?}: {known:?}");
        let voters = known.iter().filter(|member| member.role != Role::Learner).count();
        assert_eq!(voters, MEMBER_COUNT, "a member was removed after {after:?}: {known:?}");
    }

    /// Applies a configuration at the leader, and returns the time it took.
    async fn put_version(&self, leader: usize, version: u64, text: String) -> Duration {
        let config = site::Config { version, ..site::Config::default() };
        let document = site::Document { config, source: text };
        let started = Instant::now();
        let proposed = self.running[leader].local().put_site(document).await;
        let took = started.elapsed();
        assert!(
            matches!(proposed, Proposed::Committed(Outcome::Accepted { .. })),
            "version {version}: {proposed:?} after {took:?}"
        );
        took
    }

    async fn stop(self) {
        join_all(self.running.into_iter().map(stop)).await;
    }
}

/// Guards against members that are disconnected, removed, or start an election because their
/// answers take 350 to 900 ms.
#[actix_rt::test]
async fn members_with_slow_answers_are_kept() {
    let group = SlowGroup::start().await;
    let leader = group.leader().await;
    for index in SlowGroup::followers(leader).take(MEMBER_COUNT / 2) {
        group.relays[index].delay(Direction::Backward, 350..900);
    }
    let started = Instant::now();
    let mut version = 2;
    while started.elapsed() < OBSERVED_FOR {
        version += 1;
        let took = group.put_version(leader, version, version.to_string()).await;
        assert!(took < CHANGE_TIME_MAX, "version {version} took {took:?}");
        group.assert_stable(leader, started).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    group.stop().await;
}

/// Guards against heartbeats that queue behind a large configuration on slow links, so that the
/// leader is lost, everything is retransmitted, and small messages are delayed as well.
#[actix_rt::test]
async fn bulk_on_slow_links_does_not_replace_the_leader() {
    let group = SlowGroup::start().await;
    let leader = group.leader().await;
    for relay in &group.relays {
        relay.limit(Direction::Forward, LINK_BYTES_PER_S);
        relay.limit(Direction::Backward, LINK_BYTES_PER_S);
    }
    let started = Instant::now();
    let watch = async {
        while started.elapsed() < OBSERVED_FOR {
            group.assert_stable(leader, started).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let (took, ()) = tokio::join!(group.put_version(leader, 3, "x".repeat(BULK_BYTES)), watch);
    assert!(took < BULK_TIME_MAX, "the configuration took {took:?}");
    group.assert_stable(leader, started).await;
    group.stop().await;
}

/// Guards against a lost member that stays in a group of an even number, and against connections
/// that stay silent after a network cut and are not replaced.
#[actix_rt::test]
async fn a_silent_member_is_removed_and_silent_connections_are_replaced() {
    let group = SlowGroup::start().await;
    let leader = group.leader().await;
    let silent = SlowGroup::followers(leader).next().unwrap();
    // Shorter than the silence after which a member is removed.
    group.relays[silent].cut_both();
    tokio::time::sleep(Duration::from_millis(500)).await;
    group.relays[silent].restore();
    let restored = Instant::now();
    while restored.elapsed() < Duration::from_secs(3) {
        group.assert_stable(leader, restored).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    group.relays[silent].cut_both();
    let cut = Instant::now();
    let name = group.relays[silent].address().to_string();
    loop {
        let known = group.known(leader).await;
        // It can still send join requests, and may have been added as a learner again since the
        // last check.
        let has_vote = |member: &&MemberStatus| member.role != Role::Learner;
        if !known.iter().filter(has_vote).any(|member| member.member.as_str() == name) {
            break;
        }
        // 1.5 s of silence, the last heartbeat before it, a commit, and a margin for a loaded
        // machine.
        assert!(cut.elapsed() < Duration::from_secs(3), "the member was not removed: {known:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    group.stop().await;
}
