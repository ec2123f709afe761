//! Separates the head of an endpoint's response from the bytes after it.
//!
//! The HTTP client treats the body of a response without a length as empty and drops its connection.
//! So the bytes after a head are kept back until the head has been read, and the body of such a
//! response is read from the connection itself.

use bytes::{Buf as _, Bytes, BytesMut};

/// Separates the head of a response from the bytes after it.
#[derive(Debug, Default)]
pub(super) struct Separator {
    /// The bytes of the head so far.
    head: BytesMut,
    is_complete: bool,
    /// Bytes that were received after the head and are not yet read.
    kept: Bytes,
}

impl Separator {
    /// Starts with the head of the next response. Bytes that are kept belong to it.
    pub(super) fn restart(&mut self) {
        self.head.clear();
        self.is_complete = false;
    }

    /// Returns whether bytes are kept.
    pub(super) fn has_kept(&self) -> bool {
        !self.kept.is_empty()
    }

    /// Returns and removes at most `limit` kept bytes.
    pub(super) fn take_kept(&mut self, limit: usize) -> Bytes {
        self.kept.split_to(limit.min(self.kept.len()))
    }

    /// Returns and removes all kept bytes.
    pub(super) fn take_all_kept(&mut self) -> Bytes {
        std::mem::take(&mut self.kept)
    }

    /// Adds received bytes, keeps those after the end of the head and returns the number of the
    /// others.
    pub(super) fn push(&mut self, received: &[u8]) -> usize {
        if self.is_complete {
            return received.len();
        }
        // Empty lines before a response are not its head.
        let start = if self.head.is_empty() {
            received.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count()
        } else {
            0
        };
        let before = self.head.len();
        self.head.extend_from_slice(&received[start..]);
        let Some(end) = end_of_head(&self.head, before) else { return received.len() };
        let count = start + end - before;
        self.head.truncate(end);
        self.is_complete = true;
        let mut kept = BytesMut::from(&received[count..]);
        kept.extend_from_slice(&self.kept);
        self.kept = kept.freeze();
        count
    }

    /// Returns whether the head is complete and its body ends with the connection.
    pub(super) fn ends_with_connection(&self) -> bool {
        self.is_complete && has_body(&self.head) && !is_framed(&self.head)
    }
}

/// Returns the length of a head including its empty line. The first `searched` bytes contain none.
fn end_of_head(head: &[u8], searched: usize) -> Option<usize> {
    let start = searched.saturating_sub(2);
    let newlines = head.iter().enumerate().skip(start).filter(|(_, byte)| **byte == b'\n');
    let mut ends = newlines.filter_map(|(at, _)| match &head[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    });
    ends.next()
}

/// Returns whether a response with this status line has a body.
fn has_body(head: &[u8]) -> bool {
    let status = head.split(|byte| *byte == b' ').find(|word| !word.is_empty() && word[0] != b'H');
    status.is_some_and(|status| {
        !status.starts_with(b"1") && !status.starts_with(b"204") && !status.starts_with(b"304")
    })
}

/// Returns whether a head states how its body ends, in whatever form.
fn is_framed(head: &[u8]) -> bool {
    const FRAMING: [&[u8]; 3] = [b"content-length", b"transfer-encoding", b"upgrade"];
    let mut names = head.split(|byte| *byte == b'\n').skip(1).filter_map(|line| {
        let end = line.iter().position(|byte| *byte == b':')?;
        Some(line[..end].trim_ascii())
    });
    names.any(|name| FRAMING.iter().any(|framing| name.eq_ignore_ascii_case(framing)))
}

/// The rest of a response whose body ends with its connection.
#[derive(Debug)]
pub(crate) struct Unframed<S> {
    /// The bytes that arrived with the head.
    pub(crate) first: Bytes,
    /// The connection, from which the others are read.
    pub(crate) stream: S,
}

impl<S> Unframed<S> {
    /// Returns and removes the bytes that arrived with the head, if there are any.
    pub(crate) fn take_first(&mut self) -> Option<Bytes> {
        self.first.has_remaining().then(|| std::mem::take(&mut self.first))
    }
}
