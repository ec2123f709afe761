//! Splits a byte stream into server-sent events, with a limit on bytes that hold no event.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Maximum size of an event, including the comments and empty events before it. The limit bounds
/// memory and ends streams without events.
pub const EVENT_BYTES_MAX: usize = 256 * 1024;

/// More than [`EVENT_BYTES_MAX`] bytes arrived without an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("more than {EVENT_BYTES_MAX} bytes arrived without an event"))]
pub struct TooLong;

/// Splits a byte stream into complete events, each with the blank line that ends it.
///
/// Every byte is scanned once, even when a long event arrives in many small chunks.
#[derive(Debug, Default)]
pub struct Splitter {
    bytes: BytesMut,
    /// Start and end of the last returned event.
    last: (usize, usize),
    /// Number of scanned bytes.
    scanned: usize,
    /// Whether the current line has no byte yet.
    is_line_empty: bool,
    /// Bytes of comments and empty events since the last event with a field.
    skipped: usize,
}

/// One complete event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its bytes, including the blank line.
    pub bytes: &'a [u8],
    /// Whether it has a field. Comments and empty events have none and do not count as progress.
    pub has_field: bool,
}

impl Splitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or none until more bytes arrive.
    ///
    /// # Errors
    ///
    /// Returns an error when too many bytes arrived without an event.
    pub fn next_event(&mut self) -> Result<Option<Event<'_>>, TooLong> {
        let start = self.last.1;
        let Some(end) = self.find_end() else {
            let waiting = self.skipped + (self.bytes.len() - start);
            return if EVENT_BYTES_MAX < waiting { Err(TooLong) } else { Ok(None) };
        };
        let bytes = &self.bytes[start..end];
        let has_field = bytes.split(|byte| *byte == b'\n').any(is_field);
        self.skipped = if has_field { 0 } else { self.skipped + bytes.len() };
        if EVENT_BYTES_MAX < self.skipped.max(bytes.len()) {
            return Err(TooLong);
        }
        self.last = (start, end);
        Ok(Some(Event { bytes, has_field }))
    }

    /// Returns the bytes of the events since the last call, which may be empty.
    pub fn take(&mut self) -> Bytes {
        self.cut(self.last.1)
    }

    /// Returns the bytes of the events since the last call, except the last event.
    pub fn take_before_last(&mut self) -> Bytes {
        self.cut(self.last.0)
    }

    /// Drops the start of an event that the endpoint will not complete.
    pub fn drop_partial(&mut self) {
        self.bytes.truncate(self.last.1);
        self.scanned = self.last.1;
        self.is_line_empty = false;
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        self.last.1 < self.bytes.len()
    }

    fn cut(&mut self, at: usize) -> Bytes {
        self.scanned -= at;
        self.last = (0, self.last.1 - at);
        self.bytes.split_to(at).freeze()
    }

    /// Returns the end of the next event after the scanned bytes.
    fn find_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.bytes.get(self.scanned) {
            self.scanned += 1;
            match byte {
                b'\n' if self.is_line_empty => {
                    self.is_line_empty = false;
                    return Some(self.scanned);
                }
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        None
    }
}

/// Returns whether a line holds a field of an event.
fn is_field(line: &[u8]) -> bool {
    !matches!(line.trim_ascii_end().first(), None | Some(b':'))
}
