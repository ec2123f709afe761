//! Connections of callers, endpoints and operators: what may come on them that is no request.

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

/// Most bytes of one request that are not a part of its body while the body is read: its head, the
/// framing of the body, and what the HTTP library reads ahead.
const FRAMING_BYTES_MAX: u64 = 512 * 1024;

/// Most bytes that come while no body is read, such as the body of a request that was refused. It
/// leaves room for two bodies of the default size, so that a caller gets its refusal.
const UNREAD_BYTES_MAX: u64 = 8 * 1024 * 1024;

/// Bytes of framing that each byte of a body may bring besides; a chunk of one byte has five.
const FRAMING_PER_BODY_BYTE: u64 = 8;

/// Counts what came on a connection and what of it was used.
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
    /// Notes that a request of the connection begins.
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

/// A connection that ends when too much comes on it that is of no use.
///
/// The HTTP library reads on for as long as the framing of a body or an unread body goes on.
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

    /// Makes the meter known to the requests of the connection.
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
            let message = "too many bytes that are neither a head nor a body";
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

/// Why a body was not read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// It is too large.
    #[snafu(display("the body is larger than {most} bytes"))]
    TooLarge {
        /// The most that is read.
        most: usize,
    },
    /// It did not come in time.
    #[snafu(display("the body did not arrive within {} ms; send it faster", time.as_millis()))]
    Late {
        /// The time that it had.
        time: Duration,
    },
    /// It was cut, or is no body.
    #[snafu(display("broken body: {source}"))]
    Broken {
        /// The cause.
        source: actix_http::error::PayloadError,
    },
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns an error when the body is too large, too slow or cut.
pub async fn read_body(request: &mut Request, most: usize, time: Duration) -> Result<Bytes, Error> {
    let stated = request.headers().get(header::CONTENT_LENGTH);
    let stated = stated.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if stated.is_some_and(|length| (most as u64) < length) {
        return Err(Error::TooLarge { most });
    }
    let meter = request.conn_data::<Meter>().cloned().unwrap_or_default();
    meter.set_body_due(true);
    let mut payload = request.take_payload();
    let collect = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|source| Error::Broken { source })?;
            meter.add_body(chunk.len());
            if most < body.len() + chunk.len() {
                return Err(Error::TooLarge { most });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let read = tokio::time::timeout(time, collect).await.unwrap_or(Err(Error::Late { time }));
    meter.set_body_due(false);
    read
}
