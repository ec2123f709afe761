//! Reading a request body within bounds of size and time.

use actix_http::Request;
use bytes::Bytes;
use wasabi_protocol::{
    clock::Millis,
    fault::{Fault, Kind},
};

use crate::inbound::{self, Error};

/// Reads the whole body.
///
/// # Errors
///
/// Returns a refusal when the body is too large, too slow or cut.
pub(crate) async fn read(request: &mut Request, most: usize, time: Millis) -> Result<Bytes, Fault> {
    let read = inbound::read_body(request, most, time.duration()).await;
    read.map_err(|error| {
        let kind = match error {
            Error::TooLarge { .. } => Kind::BodyTooLarge,
            Error::Late { .. } => Kind::RequestTimeout,
            Error::Broken { .. } => Kind::BadRequest,
        };
        Fault::new(kind, error.to_string())
    })
}
