//! Types shared by all crates of wasabidoor: time, identifiers, contracts, errors and internal
//! messages.
//!
//! This crate contains data types and pure functions on them. It opens no sockets and no files.

pub mod clock;
pub mod command;
pub mod contract;
pub mod endpoint;
pub mod fault;
pub mod fingerprint;
pub mod id;
pub mod request;
pub mod rpc;
pub mod site;
