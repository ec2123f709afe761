//! Splits a forwarded stream into complete server-sent events, and tracks the id of the last one.

use bytes::Bytes;

use crate::events::{Splitter, TooLong};

/// Reads the events of a forwarded stream.
#[derive(Debug, Default)]
pub struct Reader {
    splitter: Splitter,
    /// The id of the last complete event that has one.
    last_id: Option<String>,
    /// Number of events with at least one field; comments and empty events are not counted.
    count: u32,
}

impl Reader {
    /// Reads a chunk and returns its complete events; an incomplete event is buffered.
    ///
    /// # Errors
    ///
    /// Returns an error when too many bytes arrived without an event.
    pub fn read(&mut self, chunk: &[u8]) -> Result<Bytes, TooLong> {
        self.splitter.push(chunk);
        while let Some(event) = self.splitter.next_event()? {
            if let Some(id) = event_id(event.bytes) {
                self.last_id = Some(id.to_owned());
            }
            self.count = self.count.saturating_add(u32::from(event.has_field));
        }
        Ok(self.splitter.take())
    }

    /// Discards an incomplete event, whose rest will not arrive.
    pub fn drop_partial(&mut self) {
        self.splitter.drop_partial();
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        self.splitter.has_partial()
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the number of events with at least one field.
    pub const fn count(&self) -> u32 {
        self.count
    }
}

/// Returns the last `id` field of an event.
fn event_id(event: &[u8]) -> Option<&str> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(id).ok().map(str::trim)
}
