//! Failures of commands and their exit codes.

use std::{fmt, process::ExitCode};

use wasabi_protocol::{
    contract::Problem,
    fault::{Fault, Kind},
    id,
};

/// The reason why a command did not succeed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// A bug in this program, or a response that it cannot interpret.
    Internal(String),
    /// The command line or an input file is invalid; nothing was sent.
    Input(String),
    /// The change is based on an older revision than the one in force.
    Conflict {
        /// The revision in force.
        revision: id::Revision,
        /// Who made the change in force.
        operator: String,
        /// A description of that change.
        change: String,
    },
    /// Control rejected the change.
    Refused(Vec<Problem>),
    /// No control member could process the command; it was not accepted.
    Unavailable(String),
    /// The command may or may not have been accepted.
    Unknown(id::Command),
    /// The change is accepted, but these entries have not confirmed it.
    NotInForce(Vec<id::Entry>),
    /// A membership change is still in progress.
    InProgress(String),
    /// The credential is missing or invalid.
    Unauthorized(String),
    /// The version move was rolled back.
    RolledBack(String),
}

impl Failure {
    /// Converts a fault that control returned.
    pub(crate) fn from_fault(fault: Fault) -> Self {
        match fault.kind {
            Kind::OperatorUnauthorized => Self::Unauthorized(fault.message),
            Kind::ControlUnavailable => Self::Unavailable(fault.message),
            _ => Self::Refused(vec![Problem { field: String::new(), message: fault.message }]),
        }
    }

    /// Returns the exit code. The codes are documented in `docs/operators.md`.
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Internal(_) => 1,
            Self::Input(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Refused(_) => 4,
            Self::Unavailable(_) => 5,
            Self::Unknown(_) => 6,
            Self::NotInForce(_) | Self::InProgress(_) => 7,
            Self::Unauthorized(_) => 8,
            Self::RolledBack(_) => 9,
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Internal(message) => write!(f, "internal error: {message}"),
            Self::Input(message) => f.write_str(message),
            Self::Conflict { revision, operator, change } => write!(
                f,
                "conflict: revision {revision} is in force; {operator} {change}\n\
                 review it with `wasabi contract show` and, if needed, send a new command"
            ),
            Self::Refused(problems) => {
                f.write_str("refused:")?;
                for problem in problems {
                    let separator = if problem.field.is_empty() { "" } else { " " };
                    write!(f, "\n  {}{separator}{}", problem.field, problem.message)?;
                }
                Ok(())
            }
            Self::Unavailable(message) => {
                write!(f, "control is unavailable, nothing was changed: {message}")
            }
            Self::Unknown(command) => write!(
                f,
                "the outcome is unknown: the change may or may not have been accepted\n\
                 repeat the command with --command-id {command}; it is applied at most once"
            ),
            Self::NotInForce(entries) => {
                let names: Vec<_> = entries.iter().map(id::Entry::as_str).collect();
                write!(
                    f,
                    "accepted, but not confirmed by: {}\n\
                     the change remains accepted; these entries may still serve an older revision",
                    names.join(", ")
                )
            }
            Self::InProgress(reason) => {
                write!(f, "still in progress: {reason}; repeat the command to continue")
            }
            Self::Unauthorized(message) => write!(f, "not authorized: {message}"),
            Self::RolledBack(reason) => write!(f, "rolled back: {reason}"),
        }
    }
}
