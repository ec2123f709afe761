//! Exit codes and the failures behind them.

use std::{fmt, process::ExitCode};

use wasabi_protocol::{
    contract::Problem,
    fault::{Fault, Kind},
    id,
};

/// Why a command did not end as asked.
#[derive(Debug)]
pub(crate) enum Failure {
    /// A fault of this program or an answer that it does not understand.
    Internal(String),
    /// The command line or a file is wrong; nothing was sent.
    Input(String),
    /// The change was made on an older revision.
    Conflict {
        /// The revision in force.
        revision: id::Revision,
        /// Who made the change in force.
        operator: String,
        /// What it was.
        change: String,
    },
    /// Control refused the change.
    Refused(Vec<Problem>),
    /// No control member could take the command; it was not accepted.
    Unavailable(String),
    /// The outcome is not known.
    Unknown(id::Command),
    /// The change is accepted; these entries have not confirmed it.
    NotInForce(Vec<id::Entry>),
    /// A change of members is under way.
    NotDone(String),
    /// The credential is missing or wrong.
    Unauthorized(String),
    /// The move was taken back.
    TakenBack(String),
}

impl Failure {
    /// Returns the failure for a fault that control answered.
    pub(crate) fn of(fault: Fault) -> Self {
        match fault.kind {
            Kind::OperatorUnauthorized => Self::Unauthorized(fault.message),
            Kind::ControlUnavailable => Self::Unavailable(fault.message),
            _ => Self::Refused(vec![Problem { field: String::new(), message: fault.message }]),
        }
    }

    /// Returns the exit code. `docs/operators.md` lists them.
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Internal(_) => 1,
            Self::Input(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Refused(_) => 4,
            Self::Unavailable(_) => 5,
            Self::Unknown(_) => 6,
            Self::NotInForce(_) | Self::NotDone(_) => 7,
            Self::Unauthorized(_) => 8,
            Self::TakenBack(_) => 9,
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Internal(message) => write!(f, "internal fault: {message}"),
            Self::Input(message) => f.write_str(message),
            Self::Conflict { revision, operator, change } => write!(
                f,
                "conflict: revision {revision} is in force; {operator} {change}\n\
                 look at it (`wasabi contract show`) and decide anew with a new command"
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
                 give the same command again with --command-id {command}; it has no second effect"
            ),
            Self::NotInForce(entries) => {
                let names: Vec<_> = entries.iter().map(id::Entry::as_str).collect();
                write!(
                    f,
                    "accepted, but not confirmed by: {}\n\
                     the change stays accepted; these entries may still serve the older revision",
                    names.join(", ")
                )
            }
            Self::NotDone(reason) => {
                write!(f, "not done yet: {reason}; give the command again, it goes on")
            }
            Self::Unauthorized(message) => write!(f, "not authorized: {message}"),
            Self::TakenBack(reason) => write!(f, "taken back: {reason}"),
        }
    }
}
