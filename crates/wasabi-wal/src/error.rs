//! Errors of the log. All of them end the process.

use std::{io, path::PathBuf};

use snafu::Snafu;

/// The result of an operation on the log.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why the log cannot go on.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The operating system refused an operation on a file.
    #[snafu(display("cannot {action} {}: {source}", path.display()))]
    Io {
        /// What was tried.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[snafu(display("{} is in use by another process", path.display()))]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// Synced data is damaged.
    #[snafu(display(
        "{} is damaged at byte {offset}: {reason}; replace this member by a new one",
        path.display()
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage starts, in bytes.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// A segment file or the records between two others are missing.
    #[snafu(display("{} lacks {missing}; replace this member by a new one", path.display()))]
    Missing {
        /// The folder.
        path: PathBuf,
        /// What is missing.
        missing: String,
    },
    /// A record does not follow the last one.
    #[snafu(display("record {index} does not follow the log, which expects {expected}"))]
    OutOfOrder {
        /// The record's index.
        index: u64,
        /// The index that must come next.
        expected: u64,
    },
    /// A record or snapshot is too large, or its content cannot be encoded or decoded.
    #[snafu(display("cannot encode or decode a record: {reason}"))]
    Codec {
        /// What is wrong.
        reason: String,
    },
    /// An earlier write or sync failed.
    #[snafu(display("an earlier write or sync failed, so that the log is no longer trusted"))]
    Failed,
}
