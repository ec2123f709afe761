//! Durable log: segment files with checksums, snapshots, and the identity of a member.
//!
//! A record counts once [`Log::sync`] has returned. After any failed write or sync the log refuses
//! all further work and the process must end: what reached the disk is then unknown.

mod error;
mod file;
mod frame;
pub mod identity;
mod log;
mod recover;
pub mod replica;
mod segment;
mod snapshot;

pub use error::{Error, Result};
pub use log::{Log, Options, Recovered, SyncFn};
pub use snapshot::Snapshot;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The index. It is one higher than that of the record before.
    pub index: u64,
    /// The term in which the record was accepted.
    pub term: u64,
    /// The content.
    pub data: Bytes,
}

/// The highest term joined and the vote given in it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Vote {
    /// The highest term joined.
    pub term: u64,
    /// The candidate that got the vote in that term.
    pub voted_for: Option<String>,
}
