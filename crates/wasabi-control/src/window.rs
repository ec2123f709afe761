//! How much is under way on a connection, and whether it makes progress; without input or output.

use wasabi_protocol::clock::Millis;

use crate::parts::PART_BYTES;

/// Most requests without an answer.
const REQUESTS_MAX: usize = 64;

/// Most bytes of a window.
pub const BYTES_MAX: usize = 256 * 1024;

/// Bytes of a window before the first answer.
const BYTES_FIRST: usize = 2 * PART_BYTES;

/// Time of an answer up to which a window grows, in milliseconds: as long as a heartbeat may wait
/// without harm.
const QUICK: Millis = Millis(100);

/// Time of an answer from which on a window shrinks, in milliseconds: less than half of the shortest
/// election timeout, since heartbeats share the link.
const SLOW: Millis = Millis(250);

/// Silence after which another connection is tried, in milliseconds: some trials fit into the silence
/// after which a member is removed (1.5 s), with time for a heartbeat. For bulk it is at least twice
/// the time of the last answer: a handshake is small, and would overtake a part on any slow link.
const PATIENCE: Millis = Millis(300);

/// Longest silence after which another connection is tried, in milliseconds.
const PATIENCE_MAX: Millis = Millis(8_000);

/// Whether a window adapts to the time that answers take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// It always has [`BYTES_MAX`].
    Fixed,
    /// It holds little on a slow link: at least one part.
    Adaptive,
}

/// The requests without an answer on one connection.
#[derive(Debug, Clone)]
pub struct Window {
    size: Size,
    bytes_max: usize,
    bytes: usize,
    requests: usize,
    /// The last answer, or when the first request without an answer was sent after it.
    progress: Millis,
    /// Silence after which another connection is tried, in milliseconds.
    patience: Millis,
    /// Whether anything was answered on this connection.
    is_answered: bool,
    /// When the window last shrank. What was sent before says nothing about its new size.
    shrank: Millis,
}

impl Window {
    /// Returns the empty window of a first connection.
    pub const fn new(size: Size, now: Millis) -> Self {
        let (bytes_max, patience) = match size {
            Size::Fixed => (BYTES_MAX, PATIENCE),
            Size::Adaptive => (BYTES_FIRST, PATIENCE),
        };
        Self {
            size,
            bytes_max,
            bytes: 0,
            requests: 0,
            progress: now,
            patience,
            is_answered: false,
            shrank: now,
        }
    }

    /// Empties the window for another connection. When the one before answered nothing, the link may
    /// be slower than thought.
    pub fn renew(&mut self, now: Millis) {
        (self.bytes, self.requests) = (0, 0);
        self.progress = now;
        if self.size == Size::Adaptive {
            self.bytes_max = (self.bytes_max / 2).max(PART_BYTES);
            if !self.is_answered {
                self.patience = (self.patience + self.patience).min(PATIENCE_MAX);
            }
        }
        self.is_answered = false;
    }

    /// Returns whether a request of so many bytes may be sent. One is always possible.
    pub const fn has_room(&self, bytes: usize) -> bool {
        self.requests == 0 || (self.requests < REQUESTS_MAX && self.bytes + bytes <= self.bytes_max)
    }

    /// Notes a request.
    pub fn send(&mut self, now: Millis, bytes: usize) {
        if self.requests == 0 {
            self.progress = now;
        }
        self.requests += 1;
        self.bytes += bytes;
    }

    /// Notes the answer to a request of so many bytes that was sent at a time.
    pub fn answer(&mut self, now: Millis, bytes: usize, sent: Millis) {
        self.progress = now;
        self.is_answered = true;
        self.requests = self.requests.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
        if self.size == Size::Fixed {
            return;
        }
        let took = now.since(sent);
        self.patience = (took + took).max(PATIENCE).min(PATIENCE_MAX);
        if took <= QUICK {
            self.bytes_max = (self.bytes_max + bytes).min(BYTES_MAX);
        } else if SLOW <= took && self.shrank <= sent {
            self.bytes_max = (self.bytes_max / 2).max(PART_BYTES);
            self.shrank = now;
        }
    }

    /// Returns the time for which requests have waited without any answer, or zero when none waits.
    pub fn silent(&self, now: Millis) -> Millis {
        if self.requests == 0 { Millis::ZERO } else { now.since(self.progress) }
    }

    /// Returns the time until another connection should be tried, unless an answer comes before.
    pub fn trial_in(&self, now: Millis) -> Millis {
        self.patience.since(self.silent(now))
    }

    /// Returns the bytes that may be without an answer.
    pub const fn bytes_max(&self) -> usize {
        self.bytes_max
    }
}
