//! The closed list of errors that leave the system, and the table from kind to answer.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// What is known about whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of the request left for an endpoint, and none will.
    NotRun,
    /// The request may have run, wholly or in part.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Ran {
    /// Returns the value as it stands in headers and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

/// Whether the caller may send the request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Retry {
    /// The same request may be sent again after a pause, to the same or another entry.
    Safe,
    /// The same request may be sent again only when it is idempotent or carries its key.
    WithKey,
    /// The same request would get the same answer; it must be changed first.
    Useless,
}

/// The kinds of errors that a caller or an operator can meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed. Remedy: correct it as the message says.
    BadRequest,
    /// The body is larger than the entry accepts. Remedy: send a smaller body.
    BodyTooLarge,
    /// The request did not arrive in time. Remedy: send it faster.
    RequestTimeout,
    /// No valid token. Remedy: send the token of a contract.
    Unauthorized,
    /// The contract has no route for this call. Remedy: ask the operator for one.
    UnknownRoute,
    /// A limit of the contract is used up. Remedy: wait, or change the contract.
    LimitReached,
    /// Higher tiers or earlier requests fill the capacity. Remedy: wait and send again.
    Overloaded,
    /// The deadline passed while the request waited. Remedy: send it with a later deadline.
    DeadlineInQueue,
    /// No endpoint provides the model or service now. Remedy: wait, or start one.
    NoEndpoint,
    /// This entry cannot tell what is in force. Remedy: use another entry.
    EntryIsolated,
    /// This entry is stopping. Remedy: use another entry.
    EntryDraining,
    /// The at-most-once record could not be written. Remedy: send again with the same key.
    RecordUnavailable,
    /// It is not known whether the at-most-once record was written; no byte left for an endpoint.
    /// Remedy: send again with the same key.
    RecordUnknown,
    /// The contract requires an idempotency key. Remedy: send one.
    KeyRequired,
    /// The idempotency key is older than the retention time. Remedy: ask what happened to it.
    KeyExpired,
    /// The idempotency key was used with another body. Remedy: use a new key.
    KeyReused,
    /// The first request with this key has no known outcome yet. Remedy: ask again with the key.
    KeyPending,
    /// The request crashed endpoints and is held back. Remedy: change it, or wait.
    Quarantined,
    /// The endpoint failed before any byte left for it. Remedy: send again.
    EndpointUnreachable,
    /// The endpoint failed after bytes left for it. Remedy: ask again with the key.
    EndpointFailed,
    /// The stream broke after some of the answer. Remedy: send again when idempotent.
    StreamBroken,
    /// The endpoint made no progress within its bound. Remedy: ask again with the key.
    EndpointSilent,
    /// The deadline passed while the request ran. Remedy: send it with a later deadline.
    DeadlineRunning,
    /// The change was made on an older revision. Remedy: look at the current one and decide anew.
    Conflict,
    /// The operator's credential is missing or wrong. Remedy: use a valid one.
    OperatorUnauthorized,
    /// Control has no leader or lost its quorum. Remedy: resend the same command later.
    ControlUnavailable,
    /// The command may or may not have been accepted. Remedy: resend the same command.
    CommandUnknown,
    /// A fault of this system. Remedy: report it with the request's id.
    Internal,
}

/// How a kind is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// What is known about whether the request ran.
    pub ran: Ran,
    /// Whether the request may be sent again.
    pub retry: Retry,
}

impl Kind {
    /// Every kind, in the order of the enum.
    pub const ALL: [Self; 28] = [
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::RequestTimeout,
        Self::Unauthorized,
        Self::UnknownRoute,
        Self::LimitReached,
        Self::Overloaded,
        Self::DeadlineInQueue,
        Self::NoEndpoint,
        Self::EntryIsolated,
        Self::EntryDraining,
        Self::RecordUnavailable,
        Self::RecordUnknown,
        Self::KeyRequired,
        Self::KeyExpired,
        Self::KeyReused,
        Self::KeyPending,
        Self::Quarantined,
        Self::EndpointUnreachable,
        Self::EndpointFailed,
        Self::StreamBroken,
        Self::EndpointSilent,
        Self::DeadlineRunning,
        Self::Conflict,
        Self::OperatorUnauthorized,
        Self::ControlUnavailable,
        Self::CommandUnknown,
        Self::Internal,
    ];

    /// Returns how this kind is answered.
    pub const fn answer(self) -> Answer {
        use Ran::{MayHaveRun, NotRun};
        use Retry::{Safe, Useless, WithKey};

        let (status, ran, retry) = match self {
            Self::BadRequest => (400, NotRun, Useless),
            Self::BodyTooLarge => (413, NotRun, Useless),
            Self::RequestTimeout => (408, NotRun, Safe),
            Self::Unauthorized => (401, NotRun, Useless),
            Self::UnknownRoute => (404, NotRun, Useless),
            Self::LimitReached => (429, NotRun, Safe),
            Self::Overloaded => (503, NotRun, Safe),
            Self::DeadlineInQueue => (504, NotRun, Safe),
            Self::NoEndpoint => (503, NotRun, Safe),
            Self::EntryIsolated => (503, NotRun, Safe),
            Self::EntryDraining => (503, NotRun, Safe),
            Self::RecordUnavailable => (503, NotRun, Safe),
            // The record may exist although nothing was sent, so the key stays needed.
            Self::RecordUnknown => (503, NotRun, WithKey),
            Self::KeyRequired => (400, NotRun, Useless),
            // Only this attempt is known not to have run; earlier ones are past the retention.
            Self::KeyExpired => (410, NotRun, Useless),
            Self::KeyReused => (422, NotRun, Useless),
            Self::KeyPending => (409, MayHaveRun, WithKey),
            Self::Quarantined => (422, NotRun, Useless),
            Self::EndpointUnreachable => (502, NotRun, Safe),
            Self::EndpointFailed => (502, MayHaveRun, WithKey),
            Self::StreamBroken => (502, MayHaveRun, WithKey),
            Self::EndpointSilent => (504, MayHaveRun, WithKey),
            Self::DeadlineRunning => (504, MayHaveRun, WithKey),
            Self::Conflict => (409, NotRun, Useless),
            Self::OperatorUnauthorized => (401, NotRun, Useless),
            Self::ControlUnavailable => (503, NotRun, Safe),
            Self::CommandUnknown => (503, MayHaveRun, WithKey),
            Self::Internal => (500, MayHaveRun, WithKey),
        };
        Answer { status, ran, retry }
    }

    /// Returns the kind as it stands in messages and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::RequestTimeout => "request_timeout",
            Self::Unauthorized => "unauthorized",
            Self::UnknownRoute => "unknown_route",
            Self::LimitReached => "limit_reached",
            Self::Overloaded => "overloaded",
            Self::DeadlineInQueue => "deadline_in_queue",
            Self::NoEndpoint => "no_endpoint",
            Self::EntryIsolated => "entry_isolated",
            Self::EntryDraining => "entry_draining",
            Self::RecordUnavailable => "record_unavailable",
            Self::RecordUnknown => "record_unknown",
            Self::KeyRequired => "key_required",
            Self::KeyExpired => "key_expired",
            Self::KeyReused => "key_reused",
            Self::KeyPending => "key_pending",
            Self::Quarantined => "quarantined",
            Self::EndpointUnreachable => "endpoint_unreachable",
            Self::EndpointFailed => "endpoint_failed",
            Self::StreamBroken => "stream_broken",
            Self::EndpointSilent => "endpoint_silent",
            Self::DeadlineRunning => "deadline_running",
            Self::Conflict => "conflict",
            Self::OperatorUnauthorized => "operator_unauthorized",
            Self::ControlUnavailable => "control_unavailable",
            Self::CommandUnknown => "command_unknown",
            Self::Internal => "internal",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An error that leaves the system.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fault {
    /// The kind, which sets the status and what is said about running.
    pub kind: Kind,
    /// What happened and what the reader can do.
    pub message: String,
    /// When the same request is likely to find room, in milliseconds from now.
    #[serde(default)]
    pub retry_after: Option<Millis>,
}

impl Fault {
    /// Returns a fault of a kind with its message.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), retry_after: None }
    }

    /// Returns the fault with the time after which the request may be sent again.
    #[must_use]
    pub fn after(self, pause: Millis) -> Self {
        Self { retry_after: Some(pause), ..self }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Fault {}
