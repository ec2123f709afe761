//! Tests of configurations that are larger than one message between members.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

mod running;

use running::{found, free, options, put_text, stop, wait};
use tempfile::TempDir;
use wasabi_control::Running;
use wasabi_protocol::rpc::{MemberStatus, Role};

/// Length of a configuration of some thousand routes, in bytes.
const LARGE: usize = 1024 * 1024;

/// Length of a configuration that the users' operators may send, in bytes.
const LARGEST: usize = 4 * 1024 * 1024;

/// Guards against a member that never catches up, and stays without a vote, since what it lacks is
/// more than one message may hold. The group is then lost with the next disk.
#[actix_rt::test]
async fn a_new_member_catches_up_with_large_configurations() {
    let addresses = [free(), free(), free()];
    let data = TempDir::new().unwrap();
    let members = found(&addresses, &addresses, data.path()).await;
    for version in 2..22 {
        put_text(version, &"x".repeat(LARGE), &members.each_ref()).await;
    }
    let address = free();
    let options = options(address, &[], &addresses, &data.path().join("new"));
    let new = Running::start(options).await.unwrap();
    wait(addresses[0], "the vote of the new member", |members| {
        let is_new = |status: &&MemberStatus| status.address == address.to_string();
        members.iter().find(is_new).is_some_and(|status| status.role != Role::Learner)
    })
    .await;
    stop(new).await;
    for one in members {
        stop(one).await;
    }
}

/// Guards against a configuration of the largest size that is never committed.
#[actix_rt::test]
async fn a_configuration_of_the_largest_size_is_committed() {
    let addresses = [free(), free(), free()];
    let data = TempDir::new().unwrap();
    let members = found(&addresses, &addresses, data.path()).await;
    put_text(2, &"x".repeat(LARGEST), &members.each_ref()).await;
    for one in members {
        stop(one).await;
    }
}
