//! HTTP API for endpoints: announcing, renewing and leaving. The pool owner keeps the registry.

use std::rc::Rc;

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use wasabi_protocol::{
    clock::Millis,
    endpoint::Announcement,
    fault::{Fault, Kind},
};

use crate::{
    callers::{
        body,
        server::{self, Worker},
    },
    message::Message,
};

/// Maximum size of an announcement.
const ANNOUNCEMENT_BYTES_MAX: usize = 64 * 1024;

/// Timeout for an announcement to arrive.
const ANNOUNCEMENT_TIMEOUT: Millis = Millis::from_secs(2);

/// Handles an announcement and forwards it to the pool's owner.
pub(crate) async fn announce(worker: &Rc<Worker>, mut request: Request) -> Response<BoxBody> {
    let bodies = &worker.shared.bodies;
    let read = body::read(&mut request, ANNOUNCEMENT_BYTES_MAX, ANNOUNCEMENT_TIMEOUT, bodies).await;
    let announcement = read.and_then(|body| parse(&body));
    match announcement {
        Ok(announcement) => {
            worker.handle.send(Message::Announce(Box::new(announcement)));
            server::empty(StatusCode::NO_CONTENT)
        }
        Err(fault) => server::refuse(&worker.shared, &fault),
    }
}

/// Handles the departure of an endpoint and forwards it to the pool's owner.
pub(crate) fn leave(worker: &Rc<Worker>, path: &str) -> Response<BoxBody> {
    let name = path.trim_start_matches("/v1/endpoints/");
    if name.is_empty() || name.contains('/') {
        let fault = Fault::new(Kind::BadRequest, "use DELETE /v1/endpoints/{name}");
        return server::refuse(&worker.shared, &fault);
    }
    worker.handle.send(Message::Leave(name.into()));
    server::empty(StatusCode::NO_CONTENT)
}

fn parse(body: &[u8]) -> Result<Announcement, Fault> {
    let announcement: Announcement = serde_json::from_slice(body).map_err(|error| {
        Fault::new(Kind::BadRequest, format!("the body is not a valid announcement: {error}"))
    })?;
    announcement.check().map_err(|problem| {
        Fault::new(Kind::BadRequest, format!("the announcement is invalid: {problem}"))
    })?;
    Ok(announcement)
}
