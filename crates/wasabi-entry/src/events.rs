//! Server-sent events cut out of a byte stream, within a bound on what is no event.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Longest event, in bytes, with the comments and empty events before it. More is an error, so that
/// memory stays bounded and a stream without events ends.
pub const EVENT_BYTES_MAX: usize = 256 * 1024;

/// More than [`EVENT_BYTES_MAX`] bytes came without an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("more than {EVENT_BYTES_MAX} bytes came without an event"))]
pub struct TooLong;

/// Splits a byte stream into whole events, each with the blank line that ends it.
///
/// Every byte is looked at once, however small the parts are in which a long event comes.
#[derive(Debug, Default)]
pub struct Splitter {
    bytes: BytesMut,
    /// Where the last returned event starts and ends.
    last: (usize, usize),
    /// Bytes that were looked at.
    scanned: usize,
    /// Whether the line at `scanned` has no byte yet.
    is_line_empty: bool,
    /// Bytes of comments and empty events since the last other event.
    quiet: usize,
}

/// One whole event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its bytes with the blank line.
    pub bytes: &'a [u8],
    /// Whether it has a field; comments and empty events have none and are no progress.
    pub has_field: bool,
}

impl Splitter {
    /// Takes bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next whole event, or none until more bytes come.
    ///
    /// # Errors
    ///
    /// Returns an error when too many bytes came without an event.
    pub fn next_event(&mut self) -> Result<Option<Event<'_>>, TooLong> {
        let start = self.last.1;
        let Some(end) = self.find_end() else {
            let waiting = self.quiet + (self.bytes.len() - start);
            return if EVENT_BYTES_MAX < waiting { Err(TooLong) } else { Ok(None) };
        };
        let bytes = &self.bytes[start..end];
        let has_field = bytes.split(|byte| *byte == b'\n').any(is_field);
        self.quiet = if has_field { 0 } else { self.quiet + bytes.len() };
        if EVENT_BYTES_MAX < self.quiet.max(bytes.len()) {
            return Err(TooLong);
        }
        self.last = (start, end);
        Ok(Some(Event { bytes, has_field }))
    }

    /// Returns the events since the last call, which may be none.
    pub fn take(&mut self) -> Bytes {
        self.cut(self.last.1)
    }

    /// Returns the events since the last call without the last one.
    pub fn take_before_last(&mut self) -> Bytes {
        self.cut(self.last.0)
    }

    /// Drops the start of an event that its endpoint will not finish.
    pub fn drop_partial(&mut self) {
        self.bytes.truncate(self.last.1);
        self.scanned = self.last.1;
        self.is_line_empty = false;
    }

    /// Returns whether the start of an event waits for its rest.
    pub fn has_partial(&self) -> bool {
        self.last.1 < self.bytes.len()
    }

    fn cut(&mut self, at: usize) -> Bytes {
        self.scanned -= at;
        self.last = (0, self.last.1 - at);
        self.bytes.split_to(at).freeze()
    }

    /// Returns the end of the first event after the bytes that were looked at.
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

/// Returns whether a line states a field of an event.
fn is_field(line: &[u8]) -> bool {
    !matches!(line.trim_ascii_end().first(), None | Some(b':'))
}
