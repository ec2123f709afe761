//! A group of members in virtual time, with a network, disks and clocks that fail on demand.
#![allow(clippy::unwrap_used, dead_code, unreachable_pub, missing_docs)]

pub mod ops;
pub mod replica;
pub mod search;
pub mod sim;
