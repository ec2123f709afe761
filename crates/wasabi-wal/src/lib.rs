//! Write-ahead log with checksummed segment files, snapshots, and the identity of a member.
//!
//! A record is durable once [`Log::sync`] has returned. After a failed write or sync, the log
//! refuses all further operations and the process must terminate because the state on disk is
//! unknown.

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

/// A log record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The log index, one higher than that of the preceding record.
    pub index: u64,
    /// The term of the leader that appended the record.
    pub term: u64,
    /// The payload.
    pub data: Bytes,
}

/// The current term of a member and the vote cast in it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Vote {
    /// The current term.
    pub term: u64,
    /// The candidate that the member voted for in that term.
    pub voted_for: Option<String>,
}
