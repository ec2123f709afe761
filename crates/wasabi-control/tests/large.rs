//! Tests of configurations that exceed one message between members.
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

mod running;

use running::{free_address, options, put_version_with_text, start_group, stop, wait_for};
use tempfile::TempDir;
use wasabi_control::Running;
use wasabi_protocol::rpc::{MemberStatus, Role};

/// Size of a configuration with some thousand routes, in bytes.
const LARGE_BYTES: usize = 1024 * 1024;

/// Largest configuration that operators may send, in bytes.
const LARGEST_BYTES: usize = 4 * 1024 * 1024;

/// Guards against a member that never catches up, and is never promoted, because the missing
/// entries exceed one message. The next loss of a disk would then lose the group.
#[actix_rt::test]
async fn a_new_member_catches_up_with_large_configurations() {
    let addresses = [free_address(), free_address(), free_address()];
    let data = TempDir::new().unwrap();
    let members = start_group(&addresses, &addresses, data.path()).await;
    for version in 2..22 {
        put_version_with_text(version, &"x".repeat(LARGE_BYTES), &members.each_ref()).await;
    }
    let address = free_address();
    let options = options(address, &[], &addresses, &data.path().join("new"));
    let new = Running::start(options).await.unwrap();
    wait_for(addresses[0], "the promotion of the new member", |members| {
        let is_new = |status: &&MemberStatus| status.address == address.to_string();
        members.iter().find(is_new).is_some_and(|status| status.role != Role::Learner)
    })
    .await;
    stop(new).await;
    for one in members {
        stop(one).await;
    }
}

/// Guards against a configuration of the largest allowed size that is never committed.
#[actix_rt::test]
async fn a_configuration_of_the_largest_size_is_committed() {
    let addresses = [free_address(), free_address(), free_address()];
    let data = TempDir::new().unwrap();
    let members = start_group(&addresses, &addresses, data.path()).await;
    put_version_with_text(2, &"x".repeat(LARGEST_BYTES), &members.each_ref()).await;
    for one in members {
        stop(one).await;
    }
}

/// Largest log that a member of a group with large configurations keeps on its disk, in bytes.
const LOG_BYTES_MAX: u64 = 32 * 1024 * 1024;

/// Guards against a log that is bounded by the number of its entries alone: changes of a large
/// configuration then fill the memory and the disk of all members, and the group does not come back.
#[actix_rt::test]
async fn changes_of_a_large_configuration_do_not_fill_the_disk() {
    let addresses = [free_address(), free_address(), free_address()];
    let data = TempDir::new().unwrap();
    let members = start_group(&addresses, &addresses, data.path()).await;
    for version in 2..44 {
        put_version_with_text(version, &"x".repeat(LARGE_BYTES), &members.each_ref()).await;
    }
    for member in std::fs::read_dir(data.path()).unwrap().flatten() {
        let files = std::fs::read_dir(member.path()).unwrap().flatten();
        let bytes: u64 = files.map(|file| file.metadata().unwrap().len()).sum();
        assert!(bytes < LOG_BYTES_MAX, "{:?} holds {bytes} bytes", member.file_name());
    }
    for one in members {
        stop(one).await;
    }
}
