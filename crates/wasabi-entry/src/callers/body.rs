//! Reads a request body with limits on size and time.

use std::{sync::Arc, time::Duration};

use actix_http::Request;
use bytes::Bytes;
use tokio::time::Instant;
use wasabi_protocol::{
    clock::Millis,
    fault::{Fault, Kind},
};

use crate::{
    buffer::{Budget, Buffer, Full},
    inbound::{self, Error},
};

/// Longest time for which a body waits until others have left memory for it. Its caller leaves when
/// it is not read for a second.
const MEMORY_WAIT: Duration = Duration::from_millis(400);

/// Interval at which a waiting body asks again.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reads a complete request body into memory of the budget.
///
/// # Errors
///
/// Returns an error when the body is larger than `max_bytes`, does not arrive within `timeout`, is
/// truncated, or finds no memory.
pub(crate) async fn read(
    request: &mut Request,
    max_bytes: usize,
    timeout: Millis,
    budget: &Arc<Budget>,
) -> Result<Bytes, Fault> {
    let read = read_buffered(request, max_bytes, timeout.duration(), budget).await;
    read.map_err(|error| {
        let kind = match error {
            Error::TooLarge { .. } => Kind::BodyTooLarge,
            Error::Late { .. } => Kind::RequestTimeout,
            Error::Broken { .. } => Kind::BadRequest,
            Error::Full => Kind::Overloaded,
        };
        Fault::new(kind, error.to_string())
    })
}

async fn read_buffered(
    request: &mut Request,
    limit: usize,
    time: Duration,
    budget: &Arc<Budget>,
) -> Result<Bytes, Error> {
    let mut buffer = Some(Buffer::new(budget));
    // Bodies that reserved only what has arrived would wait for each other.
    let stated = inbound::stated_length(request).filter(|length| *length <= limit);
    take_memory(&mut buffer, limit, |buffer| buffer.reserve(stated.unwrap_or_default())).await?;
    let push =
        async |chunk: &[u8]| take_memory(&mut buffer, limit, |buffer| buffer.push(chunk)).await;
    inbound::read_parts(request, limit, time, push).await?;
    buffer.map(Buffer::freeze).ok_or(Error::Full)
}

/// Takes memory for a buffer, and drops the buffer when there is none. The rest of its body is then read
/// and discarded: a caller that still sends gets no response.
async fn take_memory(
    buffer: &mut Option<Buffer>,
    limit: usize,
    mut take: impl FnMut(&mut Buffer) -> Result<(), Full>,
) -> Result<(), Error> {
    let Some(open) = buffer else { return Ok(()) };
    match wait_for_memory(limit, || take(open)).await {
        Err(Error::Full) => *buffer = None,
        other => other?,
    }
    Ok(())
}

/// Repeats an attempt to take memory until there is some.
async fn wait_for_memory(
    limit: usize,
    mut take: impl FnMut() -> Result<(), Full>,
) -> Result<(), Error> {
    let until = Instant::now() + MEMORY_WAIT;
    loop {
        match take() {
            Ok(()) => return Ok(()),
            Err(Full::Body) => return Err(Error::TooLarge { limit }),
            Err(Full::Process) if until <= Instant::now() => return Err(Error::Full),
            Err(Full::Process) => tokio::time::sleep(MEMORY_POLL_INTERVAL).await,
        }
    }
}
