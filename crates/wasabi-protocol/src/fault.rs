//! The closed list of errors returned to callers and operators, and how each one is answered.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Whether a request ran, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of the request was sent to an endpoint, and none will be.
    NotRun,
    /// The request may have run, completely or in part.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Ran {
    /// Returns the value as used in headers and messages.
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
    /// The same request may be sent again after a delay, to the same or another entry.
    Safe,
    /// The same request may be sent again only if it is idempotent or has an idempotency key.
    WithKey,
    /// The same request would fail again; it must be changed first.
    Useless,
}

/// The kinds of errors returned to callers and operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed. Remedy: correct it as described in the message.
    BadRequest,
    /// The body exceeds the size limit of the entry. Remedy: send a smaller body.
    BodyTooLarge,
    /// The request was not received in time. Remedy: send it faster.
    RequestTimeout,
    /// The token is missing or invalid. Remedy: send the token of a contract.
    Unauthorized,
    /// The contract has no route for this call. Remedy: ask the operator for one.
    UnknownRoute,
    /// A limit of the contract is reached. Remedy: wait, or change the contract.
    LimitReached,
    /// More urgent or earlier requests use all capacity. Remedy: wait and send again.
    Overloaded,
    /// The deadline passed while the request was queued. Remedy: send it with a later deadline.
    DeadlineInQueue,
    /// No endpoint for the model or service is available. Remedy: wait, or start one.
    NoEndpoint,
    /// This entry can't confirm that its configuration is current. Remedy: use another entry.
    EntryIsolated,
    /// This entry is shutting down. Remedy: use another entry.
    EntryDraining,
    /// The at-most-once record could not be written. Remedy: send again with the same key.
    RecordUnavailable,
    /// It is unknown whether the at-most-once record was written; no byte was sent to an endpoint.
    /// Remedy: send again with the same key.
    RecordUnknown,
    /// The contract requires an idempotency key. Remedy: send one.
    KeyRequired,
    /// The idempotency key is older than the retention time. Remedy: find out by other means
    /// whether the request ran.
    KeyExpired,
    /// The idempotency key was used with a different body. Remedy: use a new key.
    KeyReused,
    /// The first request with this key has no known outcome yet. Remedy: send again with the same
    /// key.
    KeyPending,
    /// The request crashed endpoints and is quarantined. Remedy: change it, or wait.
    Quarantined,
    /// The endpoint failed before any byte was sent to it. Remedy: send again.
    EndpointUnreachable,
    /// The endpoint failed after bytes were sent to it. Remedy: send again with the same key.
    EndpointFailed,
    /// The stream ended before the response was complete. Remedy: send again if idempotent.
    StreamBroken,
    /// The endpoint made no progress before its timeout. Remedy: send again with the same key.
    EndpointSilent,
    /// The deadline passed while the request ran. Remedy: send it with a later deadline.
    DeadlineRunning,
    /// The change is based on an outdated revision. Remedy: review the current one and try again.
    Conflict,
    /// The operator's credential is missing or wrong. Remedy: use a valid one.
    OperatorUnauthorized,
    /// The control group has no leader or no quorum. Remedy: resend the same command later.
    ControlUnavailable,
    /// The command may or may not have been accepted. Remedy: resend the same command.
    CommandUnknown,
    /// An internal error. Remedy: report it with the request id.
    Internal,
}

/// How an error of some kind is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request ran, as far as is known.
    pub ran: Ran,
    /// Whether the request may be sent again.
    pub retry: Retry,
}

impl Kind {
    /// All kinds, in the order of the enum.
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
            // The record may exist although nothing was sent, so a retry needs the same key.
            Self::RecordUnknown => (503, NotRun, WithKey),
            Self::KeyRequired => (400, NotRun, Useless),
            // Only this attempt certainly did not run; records of earlier ones have expired.
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

    /// Returns the name of the kind in messages and metrics.
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

/// An error returned to a caller or an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fault {
    /// The kind, which determines the status code and whether the request may have run.
    pub kind: Kind,
    /// What happened and what to do about it.
    pub message: String,
    /// Time after which the same request is likely to succeed, in milliseconds.
    #[serde(default)]
    pub retry_after: Option<Millis>,
}

impl Fault {
    /// Creates an error of this kind.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), retry_after: None }
    }

    /// Sets the time after which the request may be sent again.
    #[must_use]
    pub fn after(self, delay: Millis) -> Self {
        Self { retry_after: Some(delay), ..self }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Fault {}
