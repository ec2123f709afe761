//! Flow control and progress detection of a connection, without I/O.

use wasabi_protocol::clock::Millis;

use crate::parts::PART_BYTES;

/// Most requests in flight.
const REQUESTS_MAX: usize = 64;

/// Largest window, in bytes.
pub const BYTES_MAX: usize = 256 * 1024;

/// Size of a window before the first answer, in bytes.
const BYTES_INITIAL: usize = 2 * PART_BYTES;

/// Answer time up to which a window grows: a delay that is harmless for heartbeats.
const GROW_BELOW: Millis = Millis(100);

/// Answer time from which on a window shrinks: less than half of the shortest election timeout,
/// since heartbeats share the link.
const SHRINK_FROM: Millis = Millis(250);

/// Silence after which a candidate connection is opened. Several candidates fit into the silence
/// after which a member is removed (1.5 s), with time for a heartbeat. For bulk it is at least
/// twice the last answer time, because the small handshake of a candidate overtakes a part on any
/// slow link.
const CANDIDATE_AFTER: Millis = Millis(300);

/// Longest silence after which a candidate connection is opened.
const CANDIDATE_AFTER_MAX: Millis = Millis(8_000);

/// Whether a window adapts to the answer time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// The size is always [`BYTES_MAX`].
    Fixed,
    /// The size is reduced on a slow link, down to one part.
    Adaptive,
}

/// The requests in flight on one connection.
#[derive(Debug, Clone)]
pub struct Window {
    size: Size,
    bytes_max: usize,
    bytes: usize,
    requests: usize,
    /// Time of the last answer, or of the first request sent after all earlier ones were answered.
    last_progress: Millis,
    /// Silence after which a candidate connection is opened.
    candidate_after: Millis,
    /// Whether any request was answered on this connection.
    is_answered: bool,
    /// When the window last shrank. Answers to requests sent earlier do not shrink it again.
    last_shrink: Millis,
}

impl Window {
    /// Creates an empty window for a first connection.
    pub const fn new(size: Size, now: Millis) -> Self {
        let (bytes_max, candidate_after) = match size {
            Size::Fixed => (BYTES_MAX, CANDIDATE_AFTER),
            Size::Adaptive => (BYTES_INITIAL, CANDIDATE_AFTER),
        };
        Self {
            size,
            bytes_max,
            bytes: 0,
            requests: 0,
            last_progress: now,
            candidate_after,
            is_answered: false,
            last_shrink: now,
        }
    }

    /// Empties the window for a new connection. If the previous one answered nothing, the link may
    /// be slower than estimated, so the next candidate is opened later.
    pub fn reset(&mut self, now: Millis) {
        (self.bytes, self.requests) = (0, 0);
        self.last_progress = now;
        if self.size == Size::Adaptive {
            self.bytes_max = (self.bytes_max / 2).max(PART_BYTES);
            if !self.is_answered {
                self.candidate_after =
                    (self.candidate_after + self.candidate_after).min(CANDIDATE_AFTER_MAX);
            }
        }
        self.is_answered = false;
    }

    /// Returns whether a request of the given size may be sent. One request is always allowed.
    pub const fn has_room(&self, bytes: usize) -> bool {
        self.requests == 0 || (self.requests < REQUESTS_MAX && self.bytes + bytes <= self.bytes_max)
    }

    /// Records a sent request.
    pub fn send(&mut self, now: Millis, bytes: usize) {
        if self.requests == 0 {
            self.last_progress = now;
        }
        self.requests += 1;
        self.bytes += bytes;
    }

    /// Records the answer to a request of the given size and send time.
    pub fn answer(&mut self, now: Millis, bytes: usize, sent: Millis) {
        self.last_progress = now;
        self.is_answered = true;
        self.requests = self.requests.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
        if self.size == Size::Fixed {
            return;
        }
        let took = now.since(sent);
        self.candidate_after = (took + took).max(CANDIDATE_AFTER).min(CANDIDATE_AFTER_MAX);
        if took <= GROW_BELOW {
            self.bytes_max = (self.bytes_max + bytes).min(BYTES_MAX);
        } else if SHRINK_FROM <= took && self.last_shrink <= sent {
            self.bytes_max = (self.bytes_max / 2).max(PART_BYTES);
            self.last_shrink = now;
        }
    }

    /// Returns the time without an answer while requests are in flight, or zero when there are
    /// none.
    pub fn silent(&self, now: Millis) -> Millis {
        if self.requests == 0 { Millis::ZERO } else { now.since(self.last_progress) }
    }

    /// Returns the time until a candidate connection is due, unless an answer arrives before.
    pub fn candidate_in(&self, now: Millis) -> Millis {
        self.candidate_after.since(self.silent(now))
    }

    /// Returns the current size of the window, in bytes.
    pub const fn bytes_max(&self) -> usize {
        self.bytes_max
    }
}
