//! Simulation of a control group that repairs itself, in virtual time and without a network.
#![allow(clippy::unwrap_used, missing_docs, unreachable_pub)]

pub mod host;
pub mod join;
pub mod leader;
pub mod ops;
pub mod sim;
