//! Reading a request body within bounds of size and time.

use actix_http::{HttpMessage as _, Request, header};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use wasabi_protocol::{
    clock::Millis,
    fault::{Fault, Kind},
};

/// Reads the whole body.
///
/// # Errors
///
/// Returns a refusal when the body is too large, too slow or cut.
pub(crate) async fn read(request: &mut Request, most: usize, time: Millis) -> Result<Bytes, Fault> {
    let stated = request
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if stated.is_some_and(|length| (most as u64) < length) {
        return Err(too_large(most));
    }
    let collect = async {
        let mut payload = request.take_payload();
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk
                .map_err(|error| Fault::new(Kind::BadRequest, format!("broken body: {error}")))?;
            if most < body.len() + chunk.len() {
                return Err(too_large(most));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    match tokio::time::timeout(time.duration(), collect).await {
        Ok(body) => body,
        Err(_) => {
            let message = format!("the body did not arrive within {time}; send it faster");
            Err(Fault::new(Kind::RequestTimeout, message))
        }
    }
}

fn too_large(most: usize) -> Fault {
    Fault::new(Kind::BodyTooLarge, format!("the body is larger than {most} bytes"))
}
