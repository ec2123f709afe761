//! Hosts of a control group that repairs itself, in virtual time, without a network.
#![allow(clippy::unwrap_used, missing_docs, unreachable_pub)]

pub mod ask;
pub mod duties;
pub mod host;
pub mod ops;
pub mod sim;
