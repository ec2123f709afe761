//! Server-sent events of an endpoint: whole events, their count, and the explicit end.

use bytes::Bytes;
use serde::Deserialize;
use wasabi_protocol::id;

use crate::events::{Splitter, TooLong};

/// The explicit end of a stream, as the endpoint states it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct EndEvent {
    /// The attempt that the stream answers.
    pub attempt: id::Attempt,
    /// The number of token events of the whole answer.
    pub tokens: u32,
}

/// Why a stream is not passed on any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// Too many bytes came without an event.
    TooLong,
    /// The end event cannot be read.
    InvalidEnd,
    /// The stream states an error.
    EndpointError,
    /// The end event names another attempt.
    WrongAttempt,
    /// The end event counts other tokens than were received.
    WrongTokenCount,
    /// The stream says that it is done without an end event.
    MissingEnd,
}

/// Splits a byte stream into events and counts the tokens.
#[derive(Debug)]
pub struct Reader {
    attempt: id::Attempt,
    splitter: Splitter,
    tokens: u32,
}

/// What one chunk of a stream held.
#[derive(Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The whole events to pass on.
    pub events: Bytes,
    /// Whether one of them is more than a comment.
    pub has_progress: bool,
    /// Whether the answer is whole: its end event came and matched.
    pub is_complete: bool,
}

impl Reader {
    /// Returns a reader for the answer to `attempt` that already received `tokens` tokens.
    pub fn new(attempt: id::Attempt, tokens: u32) -> Self {
        Self { attempt, splitter: Splitter::default(), tokens }
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
    pub fn read(&mut self, chunk: &[u8]) -> Result<Chunk, StreamError> {
        self.splitter.push(chunk);
        let mut has_progress = false;
        while let Some(event) = self.splitter.next_event()? {
            has_progress |= event.has_field;
            let kind = classify(event.bytes, self.attempt)?;
            match kind {
                Event::Pass => {}
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

/// What an event means for its stream.
enum Event {
    Pass,
    Token,
    End { tokens: u32 },
}

fn classify(event: &[u8], attempt: id::Attempt) -> Result<Event, StreamError> {
    if let Some(rest) = event.strip_prefix(b"event:") {
        return classify_named(rest, attempt);
    }
    let Some(data) = event.strip_prefix(b"data:") else { return Ok(Event::Pass) };
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
        return Ok(Event::Pass);
    }
    let data = lines.next().and_then(|line| line.strip_prefix(b"data:"));
    let end: EndEvent =
        data.and_then(|data| serde_json::from_slice(data).ok()).ok_or(StreamError::InvalidEnd)?;
    if end.attempt != attempt {
        return Err(StreamError::WrongAttempt);
    }
    Ok(Event::End { tokens: end.tokens })
}
