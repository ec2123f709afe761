//! Bodies of requests and answers that are buffered until they are complete, with a bound on their
//! memory in the process.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};

/// Bytes of a body that don't count towards the budget, so that small bodies are buffered whatever
/// the large ones use.
const FREE_BYTES: usize = 64 * 1024;

/// Maximum number of bytes of one answer.
pub(crate) const BUFFER_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Maximum number of bytes beyond [`FREE_BYTES`] in all answers of the process.
const ANSWERS_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Maximum number of bytes beyond [`FREE_BYTES`] in all requests of the process. Each of them stands in
/// memory once more while it is sent.
const REQUESTS_BYTES_MAX: usize = 12 * 1024 * 1024;

/// The memory that the buffers of the process share.
#[derive(Debug)]
pub(crate) struct Budget {
    capacity: usize,
    /// Maximum number of bytes of one buffer.
    buffer_max: usize,
    used: AtomicUsize,
}

impl Budget {
    /// Returns the budget of answers.
    pub(crate) fn of_answers() -> Arc<Self> {
        Self::new(ANSWERS_BYTES_MAX, BUFFER_BYTES_MAX)
    }

    /// Returns the budget of requests, which have limits of their own to the size of each.
    pub(crate) fn of_requests() -> Arc<Self> {
        Self::new(REQUESTS_BYTES_MAX, usize::MAX)
    }

    fn new(capacity: usize, buffer_max: usize) -> Arc<Self> {
        Arc::new(Self { capacity, buffer_max, used: AtomicUsize::new(0) })
    }

    fn take(&self, bytes: usize) -> bool {
        // One that is larger than all others together may be must wait until it is alone.
        let is_free = |used: usize, sum: usize| sum <= self.capacity || used == 0;
        let add = |used: usize| used.checked_add(bytes).filter(|sum| is_free(used, *sum));
        self.used.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).is_ok()
    }
}

/// Bytes taken from a budget, which dropping returns.
#[derive(Debug)]
struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Why a buffer takes no more bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Full {
    /// The body is too large.
    Body,
    /// The other buffers of the process use the memory for large bodies.
    Process,
}

/// A body that is being received.
#[derive(Debug)]
pub(crate) struct Buffer {
    bytes: BytesMut,
    reservation: Reservation,
}

impl Buffer {
    pub(crate) fn new(budget: &Arc<Budget>) -> Self {
        let reservation = Reservation { budget: Arc::clone(budget), bytes: 0 };
        Self { bytes: BytesMut::new(), reservation }
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Returns why the body must be given up.
    pub(crate) fn push(&mut self, received: &[u8]) -> Result<(), Full> {
        self.reserve(self.bytes.len() + received.len())?;
        self.bytes.extend_from_slice(received);
        Ok(())
    }

    /// Reserves memory for a body of `len` bytes.
    ///
    /// # Errors
    ///
    /// Returns why the body must be given up.
    pub(crate) fn reserve(&mut self, len: usize) -> Result<(), Full> {
        if self.reservation.budget.buffer_max < len {
            return Err(Full::Body);
        }
        let missing = len.saturating_sub(FREE_BYTES + self.reservation.bytes);
        if missing == 0 {
            return Ok(());
        }
        if !self.reservation.budget.take(missing) {
            return Err(Full::Process);
        }
        self.reservation.bytes += missing;
        self.bytes.reserve(len - self.bytes.len());
        Ok(())
    }

    /// Returns the body, which counts towards the budget until its last part is dropped.
    pub(crate) fn freeze(self) -> Bytes {
        if self.reservation.bytes == 0 {
            return self.bytes.freeze();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
