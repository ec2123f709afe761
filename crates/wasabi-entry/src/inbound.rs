//! Inbound connections of callers, endpoints and operators, with limits on bytes that are not a
//! request.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use actix_http::{Extensions, HttpMessage as _, Request, header};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use snafu::Snafu;
use tokio::io::{AsyncRead, ReadBuf};

use crate::pass::pass_writes;

/// Maximum bytes of a request outside its body while the body is read: its head, the framing of the
/// body, and what the HTTP library reads ahead.
const FRAMING_BYTES_MAX: u64 = 512 * 1024;

/// Maximum bytes that arrive while no body is read, such as the body of a refused request. It allows
/// for two bodies of the default size, so that a caller still gets its refusal.
const UNREAD_BYTES_MAX: u64 = 8 * 1024 * 1024;

/// Bytes of framing allowed for each byte of a body; a chunk of one byte has five.
const FRAMING_PER_BODY_BYTE: u64 = 8;

/// Counts the bytes received on a connection and those that belong to bodies.
#[derive(Debug, Clone, Default)]
pub struct Meter(Rc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    read: Cell<u64>,
    body: Cell<u64>,
    /// Whether the body of a request is being read.
    is_body_due: Cell<bool>,
}

impl Meter {
    /// Resets the counts at the start of a request.
    pub fn begin(request: &Request) {
        if let Some(Self(counts)) = request.conn_data() {
            counts.read.set(0);
            counts.body.set(0);
            counts.is_body_due.set(false);
        }
    }

    fn set_body_due(&self, is_due: bool) {
        self.0.is_body_due.set(is_due);
    }

    fn add_body(&self, bytes: usize) {
        self.0.body.set(self.0.body.get().saturating_add(bytes as u64));
    }

    fn is_exceeded(&self) -> bool {
        let body = self.0.body.get();
        let base = if self.0.is_body_due.get() { FRAMING_BYTES_MAX } else { UNREAD_BYTES_MAX };
        let allowed = base.saturating_add(body.saturating_mul(FRAMING_PER_BODY_BYTE));
        allowed < self.0.read.get().saturating_sub(body)
    }
}

/// A connection that fails when too many bytes arrive on it that are not part of a request.
///
/// The HTTP library itself reads the framing of a body, or an unread body, without a limit.
#[derive(Debug)]
pub struct Metered<T> {
    io: T,
    meter: Meter,
}

impl<T> Metered<T> {
    /// Returns the connection, metered.
    pub fn new(io: T) -> Self {
        Self { io, meter: Meter::default() }
    }

    /// Attaches the meter to the requests of the connection.
    pub fn attach(&self, data: &mut Extensions) {
        data.insert(self.meter.clone());
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.is_exceeded() {
            let message = "too many bytes outside the head and the body of a request";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(cx, buffer);
        let count = (buffer.filled().len() - before) as u64;
        let read = &self.meter.0.read;
        read.set(read.get().saturating_add(count));
        polled
    }
}

pass_writes!(Metered<T>, T);

/// Why a body could not be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The body is too large.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive within {} ms; send it faster", time.as_millis()))]
    Late {
        /// The timeout.
        time: Duration,
    },
    /// Other bodies use the memory of the process.
    #[snafu(display("other requests with large bodies use the memory of this host; retry later"))]
    Full,
    /// The body is truncated or malformed.
    #[snafu(display("malformed body: {source}"))]
    Broken {
        /// The cause.
        source: actix_http::error::PayloadError,
    },
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns an error when the body is too large, too slow, truncated or malformed.
pub async fn read_body(
    request: &mut Request,
    limit: usize,
    time: Duration,
) -> Result<Bytes, Error> {
    let mut body = BytesMut::new();
    let push = async |chunk: &[u8]| {
        body.extend_from_slice(chunk);
        Ok(())
    };
    read_parts(request, limit, time, push).await?;
    Ok(body.freeze())
}

/// Returns the length of a body that its head states.
pub(crate) fn stated_length(request: &Request) -> Option<usize> {
    let stated = request.headers().get(header::CONTENT_LENGTH);
    stated.and_then(|value| value.to_str().ok()?.parse().ok())
}

/// Reads the body of a request and passes on each part of it.
///
/// # Errors
///
/// Returns an error when the body is too large, too slow, truncated or malformed, and those of `push`.
pub(crate) async fn read_parts(
    request: &mut Request,
    limit: usize,
    time: Duration,
    mut push: impl AsyncFnMut(&[u8]) -> Result<(), Error>,
) -> Result<(), Error> {
    if stated_length(request).is_some_and(|length| limit < length) {
        return Err(Error::TooLarge { limit });
    }
    let meter = request.conn_data::<Meter>().cloned().unwrap_or_default();
    meter.set_body_due(true);
    let mut payload = request.take_payload();
    let collect = async {
        let mut len = 0;
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|source| Error::Broken { source })?;
            meter.add_body(chunk.len());
            len += chunk.len();
            if limit < len {
                return Err(Error::TooLarge { limit });
            }
            push(&chunk).await?;
        }
        Ok(())
    };
    let read = tokio::time::timeout(time, collect).await.unwrap_or(Err(Error::Late { time }));
    meter.set_body_due(false);
    read
}
