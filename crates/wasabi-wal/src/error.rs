//! Errors of the log. All of them are fatal for the process.

use std::{io, path::PathBuf};

use snafu::Snafu;

/// The result of an operation on the log.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of the log.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file operation failed.
    #[snafu(display("cannot {action} {}: {source}", path.display()))]
    Io {
        /// The operation that failed.
        action: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// Another process has locked the directory.
    #[snafu(display("{} is in use by another process", path.display()))]
    InUse {
        /// The directory.
        path: PathBuf,
    },
    /// Synced data is corrupted.
    #[snafu(display(
        "{} is corrupted at byte {offset}: {reason}; replace this member with a new one",
        path.display()
    ))]
    Corrupted {
        /// The file.
        path: PathBuf,
        /// The byte offset at which the corruption was detected.
        offset: u64,
        /// The kind of corruption.
        reason: &'static str,
    },
    /// A file, or a range of records, is missing.
    #[snafu(display(
        "missing in {}: {missing}; replace this member with a new one",
        path.display()
    ))]
    Missing {
        /// The directory.
        path: PathBuf,
        /// What is missing.
        missing: String,
    },
    /// A record index does not continue the log.
    #[snafu(display("unexpected record index {index}, expected {expected}"))]
    OutOfOrder {
        /// The index given.
        index: u64,
        /// The index expected.
        expected: u64,
    },
    /// A record or snapshot is too large, or cannot be encoded or decoded.
    #[snafu(display("cannot encode or decode a record or snapshot: {reason}"))]
    Codec {
        /// Description of the error.
        reason: String,
    },
    /// An earlier write or sync failed, so the state on disk is unknown.
    #[snafu(display("an earlier write or sync failed; the log accepts no further operations"))]
    Failed,
}
