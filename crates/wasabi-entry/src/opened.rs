//! An endpoint's answer that has begun, and why an attempt gave none.

use actix_http::{
    StatusCode,
    header::{self, HeaderMap},
};
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::{StreamExt as _, stream::LocalBoxStream};
use wasabi_protocol::{
    fault::{Fault, Kind},
    request::End,
};

/// An answer whose head belongs to the attempt.
pub(crate) struct Opened {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
}

impl Opened {
    /// Returns whether the answer is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        let content_type = self.headers.get(header::CONTENT_TYPE);
        self.status.is_success()
            && content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
    }

    /// Returns the next bytes of the answer, or nothing at its end.
    ///
    /// # Errors
    ///
    /// Returns the failure when the connection broke.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        self.body.next().await.transpose().map_err(|error| {
            let message = format!("the answer broke off: {error}");
            Failure::new(End::Broken, Kind::EndpointFailed, message)
        })
    }
}

/// Why an attempt gave no whole answer.
#[derive(Debug)]
pub(crate) struct Failure {
    /// What the owner is told.
    pub(crate) end: End,
    /// What the caller is told when there is no other attempt.
    pub(crate) fault: Fault,
}

impl Failure {
    pub(crate) fn new(end: End, kind: Kind, message: impl Into<String>) -> Self {
        Self { end, fault: Fault::new(kind, message) }
    }
}
