//! Reads a request body with limits on size and time.

use actix_http::Request;
use bytes::Bytes;
use wasabi_protocol::{
    clock::Millis,
    fault::{Fault, Kind},
};

use crate::inbound::{self, Error};

/// Reads a complete request body.
///
/// # Errors
///
/// Returns an error when the body is larger than `max_bytes`, does not arrive within `timeout` or
/// is truncated.
pub(crate) async fn read(
    request: &mut Request,
    max_bytes: usize,
    timeout: Millis,
) -> Result<Bytes, Fault> {
    let read = inbound::read_body(request, max_bytes, timeout.duration()).await;
    read.map_err(|error| {
        let kind = match error {
            Error::TooLarge { .. } => Kind::BodyTooLarge,
            Error::Late { .. } => Kind::RequestTimeout,
            Error::Broken { .. } => Kind::BadRequest,
        };
        Fault::new(kind, error.to_string())
    })
}
