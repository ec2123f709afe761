//! Types that every part of wasabidoor shares: time, names, contracts, errors and inner messages.
//!
//! This crate holds data and small pure rules on that data. It opens no socket and no file.

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
