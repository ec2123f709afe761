//! Server-sent events as they pass: whole events only, with the number of the last one.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes. A longer one is an error, so that memory stays bounded.
const EVENT_BYTES_MAX: usize = 256 * 1024;

/// Splits a byte stream into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    /// The id of the last whole event.
    last: Option<String>,
    /// Whole events so far.
    count: u32,
}

/// Whole events of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Events {
    /// These bytes are whole events; they may be empty.
    Whole(Bytes),
    /// An event is longer than this system holds.
    TooLong,
}

impl Splitter {
    /// Takes bytes and returns the whole events among them; the rest waits for more.
    pub fn push(&mut self, chunk: Bytes) -> Events {
        let mut bytes = if self.partial.is_empty() {
            chunk
        } else {
            self.partial.extend_from_slice(&chunk);
            self.partial.split().freeze()
        };
        let mut end = 0;
        while let Some(length) = event_length(&bytes[end..]) {
            if let Some(id) = event_id(&bytes[end..end + length]) {
                self.last = Some(id.to_owned());
            }
            self.count += 1;
            end += length;
        }
        let whole = bytes.split_to(end);
        if EVENT_BYTES_MAX < bytes.len() {
            return Events::TooLong;
        }
        self.partial = BytesMut::from(bytes.as_ref());
        Events::Whole(whole)
    }

    /// Drops the start of an event that its endpoint will not finish.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns whether the start of an event waits for its rest.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Returns the number of whole events.
    pub const fn count(&self) -> u32 {
        self.count
    }
}

/// Returns the length of the first event with the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_is_empty = false;
    for (at, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if line_is_empty => return Some(at + 1),
            b'\n' => line_is_empty = true,
            b'\r' => {}
            _ => line_is_empty = false,
        }
    }
    None
}

/// Returns the id that an event states.
fn event_id(event: &[u8]) -> Option<&str> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(id).ok().map(str::trim)
}
