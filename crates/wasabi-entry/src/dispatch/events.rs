//! Server-sent events of an endpoint: whole events, their count, and the explicit end.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use wasabi_protocol::id;

/// Longest event, in bytes. A longer one is an error, so that memory stays bounded.
pub const EVENT_BYTES_MAX: usize = 256 * 1024;

/// The blank line that ends an event.
const SEPARATOR: &[u8] = b"\n\n";

/// The explicit end of a stream, as the endpoint states it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct End {
    /// The attempt that the stream answers.
    pub attempt: id::Attempt,
    /// The number of token events of the whole answer.
    pub tokens: u32,
}

/// Why a stream is not passed on any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Malformed {
    /// An event is longer than [`EVENT_BYTES_MAX`].
    TooLong,
    /// The end event cannot be read.
    End,
    /// The stream states an error.
    Error,
    /// The end event names another attempt.
    Crossed,
    /// The end event counts other tokens than were received.
    Count,
    /// The stream says that it is done without an end event.
    NoEnd,
}

/// Splits a byte stream into events and counts the tokens.
#[derive(Debug)]
pub struct Reader {
    attempt: id::Attempt,
    partial: BytesMut,
    tokens: u32,
    ended: bool,
}

/// What one chunk of a stream held.
#[derive(Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The whole events to pass on.
    pub events: Bytes,
    /// Whether the answer is whole: its end event came and matched.
    pub is_whole: bool,
}

impl Reader {
    /// Returns a reader for the answer to `attempt` that already received `tokens` tokens.
    pub fn new(attempt: id::Attempt, tokens: u32) -> Self {
        Self { attempt, partial: BytesMut::new(), tokens, ended: false }
    }

    /// Returns the number of tokens received.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Reads a chunk and returns its whole events; the rest is kept until more comes.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot be passed on. Events before the fault are dropped with it,
    /// since the caller gets an explicit error in any case.
    pub fn read(&mut self, chunk: Bytes) -> Result<Chunk, Malformed> {
        let mut bytes = if self.partial.is_empty() {
            chunk
        } else {
            self.partial.extend_from_slice(&chunk);
            self.partial.split().freeze()
        };
        let mut start = 0;
        while let Some(length) = find_separator(&bytes[start..]) {
            let event = &bytes[start..start + length];
            match self.classify(event)? {
                Event::Pass => start += length + SEPARATOR.len(),
                Event::End => {
                    let events = bytes.split_to(start);
                    return Ok(Chunk { events, is_whole: true });
                }
            }
        }
        let events = bytes.split_to(start);
        if EVENT_BYTES_MAX < bytes.len() {
            return Err(Malformed::TooLong);
        }
        self.partial = BytesMut::from(bytes.as_ref());
        Ok(Chunk { events, is_whole: false })
    }

    fn classify(&mut self, event: &[u8]) -> Result<Event, Malformed> {
        if self.ended {
            return Err(Malformed::End);
        }
        if let Some(rest) = event.strip_prefix(b"event:") {
            return self.classify_named(rest);
        }
        if let Some(data) = event.strip_prefix(b"data:") {
            if data.trim_ascii() == b"[DONE]" {
                return Err(Malformed::NoEnd);
            }
            self.tokens = self.tokens.saturating_add(1);
        }
        Ok(Event::Pass)
    }

    fn classify_named(&mut self, rest: &[u8]) -> Result<Event, Malformed> {
        let mut lines = rest.split(|byte| *byte == b'\n');
        let name = lines.next().unwrap_or_default().trim_ascii();
        if name == b"error" {
            return Err(Malformed::Error);
        }
        if name != b"end" {
            return Ok(Event::Pass);
        }
        let data = lines.next().and_then(|line| line.strip_prefix(b"data:"));
        let end: End =
            data.and_then(|data| serde_json::from_slice(data).ok()).ok_or(Malformed::End)?;
        if end.attempt != self.attempt {
            return Err(Malformed::Crossed);
        }
        if end.tokens != self.tokens {
            return Err(Malformed::Count);
        }
        self.ended = true;
        Ok(Event::End)
    }
}

enum Event {
    Pass,
    End,
}

fn find_separator(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(position) = bytes[from..].iter().position(|byte| *byte == b'\n') {
        let at = from + position;
        if bytes.get(at + 1) == Some(&b'\n') {
            return Some(at);
        }
        from = at + 1;
    }
    None
}
