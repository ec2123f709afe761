//! Server-sent events as they pass: whole events only, with the number of the last one.

use bytes::Bytes;

use crate::events::{Splitter, TooLong};

/// Reads the events of a stream.
#[derive(Debug, Default)]
pub struct Reader {
    splitter: Splitter,
    /// The id of the last whole event.
    last: Option<String>,
    /// Events so far; comments and empty events do not count.
    count: u32,
}

impl Reader {
    /// Takes bytes and returns the whole events among them; the rest waits for more.
    ///
    /// # Errors
    ///
    /// Returns an error when too many bytes came without an event.
    pub fn read(&mut self, chunk: &[u8]) -> Result<Bytes, TooLong> {
        self.splitter.push(chunk);
        while let Some(event) = self.splitter.next_event()? {
            if let Some(id) = event_id(event.bytes) {
                self.last = Some(id.to_owned());
            }
            self.count = self.count.saturating_add(u32::from(event.has_field));
        }
        Ok(self.splitter.take())
    }

    /// Drops the start of an event that its endpoint will not finish.
    pub fn drop_partial(&mut self) {
        self.splitter.drop_partial();
    }

    /// Returns whether the start of an event waits for its rest.
    pub fn has_partial(&self) -> bool {
        self.splitter.has_partial()
    }

    /// Returns the id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Returns the number of events.
    pub const fn count(&self) -> u32 {
        self.count
    }
}

/// Returns the id that an event states.
fn event_id(event: &[u8]) -> Option<&str> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(id).ok().map(str::trim)
}
