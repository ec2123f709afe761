//! Simulation of a group in virtual time, with fault injection for network, disks and clocks.
#![allow(clippy::unwrap_used, dead_code, unreachable_pub, missing_docs)]

pub mod ops;
pub mod replica;
pub mod search;
pub mod sim;
