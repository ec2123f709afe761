//! Parsing of an endpoint's server-sent events: complete events, the token count and the end event.

use bytes::Bytes;
use serde::Deserialize;
use wasabi_protocol::id;

use crate::events::{Splitter, TooLong};

/// The event with which an endpoint ends a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct EndEvent {
    /// The attempt that the stream responds to.
    pub attempt: id::Attempt,
    /// The number of token events in the complete response.
    pub tokens: u32,
}

/// Why a stream is not forwarded any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// Too many bytes arrived without an event.
    TooLong,
    /// The end event cannot be parsed.
    InvalidEnd,
    /// The endpoint sent an error event.
    EndpointError,
    /// The end event names another attempt.
    WrongAttempt,
    /// The token count in the end event differs from the number received.
    WrongTokenCount,
    /// The stream sent `[DONE]` without an end event.
    MissingEnd,
}

/// Splits a byte stream into events and counts the tokens.
#[derive(Debug)]
pub struct Reader {
    attempt: id::Attempt,
    splitter: Splitter,
    tokens: u32,
}

/// The result of reading one chunk of a stream.
#[derive(Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The complete events to forward.
    pub events: Bytes,
    /// Whether at least one of them has a field; comments alone are not progress.
    pub has_progress: bool,
    /// Whether the response is complete: its end event arrived and matched.
    pub is_complete: bool,
}

impl Reader {
    /// Returns a reader for the response to `attempt`, of which `tokens` tokens were received
    /// before.
    pub fn new(attempt: id::Attempt, tokens: u32) -> Self {
        Self { attempt, splitter: Splitter::default(), tokens }
    }

    /// Returns the number of tokens received, including those before a resume.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Reads a chunk and returns its complete events; an incomplete event is buffered.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot be forwarded. Events of the same chunk before the error are
    /// discarded, since the caller receives an explicit error in any case.
    pub fn read(&mut self, chunk: &[u8]) -> Result<Chunk, StreamError> {
        self.splitter.push(chunk);
        let mut has_progress = false;
        while let Some(event) = self.splitter.next_event()? {
            has_progress |= event.has_field;
            let kind = classify(event.bytes, self.attempt)?;
            match kind {
                Event::Other => {}
                Event::Token => self.tokens = self.tokens.saturating_add(1),
                Event::End { tokens } if tokens != self.tokens => {
                    return Err(StreamError::WrongTokenCount);
                }
                Event::End { .. } => {
                    let events = self.splitter.take_before_last();
                    return Ok(Chunk { events, has_progress, is_complete: true });
                }
            }
        }
        Ok(Chunk { events: self.splitter.take(), has_progress, is_complete: false })
    }
}

impl From<TooLong> for StreamError {
    fn from(_: TooLong) -> Self {
        Self::TooLong
    }
}

/// The kind of an event.
enum Event {
    Other,
    Token,
    End { tokens: u32 },
}

fn classify(event: &[u8], attempt: id::Attempt) -> Result<Event, StreamError> {
    if let Some(rest) = event.strip_prefix(b"event:") {
        return classify_named(rest, attempt);
    }
    let Some(data) = event.strip_prefix(b"data:") else { return Ok(Event::Other) };
    if data.trim_ascii() == b"[DONE]" {
        return Err(StreamError::MissingEnd);
    }
    Ok(Event::Token)
}

fn classify_named(rest: &[u8], attempt: id::Attempt) -> Result<Event, StreamError> {
    let mut lines = rest.split(|byte| *byte == b'\n');
    let name = lines.next().unwrap_or_default().trim_ascii();
    if name == b"error" {
        return Err(StreamError::EndpointError);
    }
    if name != b"end" {
        return Ok(Event::Other);
    }
    let data = lines.next().and_then(|line| line.strip_prefix(b"data:"));
    let end: EndEvent =
        data.and_then(|data| serde_json::from_slice(data).ok()).ok_or(StreamError::InvalidEnd)?;
    if end.attempt != attempt {
        return Err(StreamError::WrongAttempt);
    }
    Ok(Event::End { tokens: end.tokens })
}
