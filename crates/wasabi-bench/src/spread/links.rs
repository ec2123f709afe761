//! Hosts with one link each, in virtual time.
//!
//! A host sends and receives at the rate of its link. A message leaves in pieces, and those of
//! several messages take turns, as on connections that share a link.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use crate::spread::case::Micros;

/// Most bytes of a message that leave at one time.
const PIECE_BYTES: u64 = 16 * 1024;

/// A message under way.
#[derive(Debug)]
struct Transfer<M> {
    from: usize,
    to: usize,
    is_bulk: bool,
    unsent: u64,
    undelivered: u64,
    message: M,
}

/// One step of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// A piece has left the sender's link.
    Left { transfer: u64, bytes: u64 },
    /// A piece has come to the receiver's link.
    Came { transfer: u64, bytes: u64 },
    /// A piece has passed the receiver's link.
    Passed { transfer: u64, bytes: u64 },
    /// A time that a host asked for.
    Due { host: usize, timer: u64 },
}

/// What happens at a host.
#[derive(Debug)]
pub(super) enum Event<M> {
    /// A piece of a message came, and others follow.
    Piece {
        /// The message.
        transfer: u64,
        /// Its receiver.
        to: usize,
        /// Length of the piece, in bytes.
        bytes: u64,
    },
    /// A message came whole.
    Message {
        /// The message.
        transfer: u64,
        /// Its sender.
        from: usize,
        /// Its receiver.
        to: usize,
        /// Length of the last piece, in bytes.
        bytes: u64,
        /// What it says.
        message: M,
    },
    /// A time that a host asked for has come.
    Timer {
        /// The host.
        host: usize,
        /// What it asked for.
        timer: u64,
    },
}

/// The links of all hosts.
#[derive(Debug)]
pub(super) struct Links<M> {
    bytes_per_s: u64,
    delay: Micros,
    now: Micros,
    /// When all that was sent so far has left each host, and has passed its link inwards.
    out_free: Vec<Micros>,
    in_free: Vec<Micros>,
    /// Bytes of bulk messages that have left each host.
    bulk_sent: Vec<u64>,
    steps: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    transfers: HashMap<u64, Transfer<M>>,
    next: u64,
}

impl<M> Links<M> {
    /// Returns idle links of so many hosts, with the delay of one way in microseconds.
    pub(super) fn new(hosts: usize, bytes_per_s: u64, delay: Micros) -> Self {
        Self {
            bytes_per_s,
            delay,
            now: 0,
            out_free: vec![0; hosts],
            in_free: vec![0; hosts],
            bulk_sent: vec![0; hosts],
            steps: BinaryHeap::new(),
            transfers: HashMap::new(),
            next: 0,
        }
    }

    /// Returns the time, in microseconds.
    pub(super) const fn now(&self) -> Micros {
        self.now
    }

    /// Returns the bytes of bulk messages that have left each host.
    pub(super) fn bulk_sent(&self) -> &[u64] {
        &self.bulk_sent
    }

    /// Sends a message and returns its number. One from a host to itself passes no link.
    pub(super) fn send(&mut self, from: usize, to: usize, bytes: u64, message: M) -> u64 {
        self.send_all(Transfer {
            from,
            to,
            is_bulk: false,
            unsent: bytes,
            undelivered: bytes,
            message,
        })
    }

    /// Sends a message whose bytes count as bulk, and returns its number.
    pub(super) fn send_bulk(&mut self, from: usize, to: usize, bytes: u64, message: M) -> u64 {
        self.send_all(Transfer {
            from,
            to,
            is_bulk: true,
            unsent: bytes,
            undelivered: bytes,
            message,
        })
    }

    fn send_all(&mut self, transfer: Transfer<M>) -> u64 {
        let number = self.number();
        let (is_local, bytes) = (transfer.from == transfer.to, transfer.unsent);
        self.transfers.insert(number, transfer);
        if is_local {
            self.at(self.now, Step::Passed { transfer: number, bytes });
        } else {
            self.leave(number);
        }
        number
    }

    /// Drops what has not left of a message, and its end.
    pub(super) fn cancel(&mut self, transfer: u64) {
        self.transfers.remove(&transfer);
    }

    /// Has a timer event come at a host.
    pub(super) fn wake(&mut self, at: Micros, host: usize, timer: u64) {
        self.at(at, Step::Due { host, timer });
    }

    /// Returns the next event before `end`.
    pub(super) fn next(&mut self, end: Micros) -> Option<Event<M>> {
        loop {
            let Reverse((at, _, step)) = self.steps.pop()?;
            if end < at {
                return None;
            }
            self.now = at;
            if let Some(event) = self.take(step) {
                return Some(event);
            }
        }
    }

    fn take(&mut self, step: Step) -> Option<Event<M>> {
        match step {
            Step::Left { transfer, bytes } => {
                self.at(self.now + self.delay, Step::Came { transfer, bytes });
                if 0 < self.transfers.get(&transfer)?.unsent {
                    self.leave(transfer);
                }
                None
            }
            Step::Came { transfer, bytes } => {
                let to = self.transfers.get(&transfer)?.to;
                let free = self.in_free[to].max(self.now) + self.time(bytes);
                self.in_free[to] = free;
                self.at(free, Step::Passed { transfer, bytes });
                None
            }
            Step::Passed { transfer, bytes } => {
                let known = self.transfers.get_mut(&transfer)?;
                known.undelivered -= bytes;
                if 0 < known.undelivered {
                    return Some(Event::Piece { transfer, to: known.to, bytes });
                }
                let Transfer { from, to, message, .. } = self.transfers.remove(&transfer)?;
                Some(Event::Message { transfer, from, to, bytes, message })
            }
            Step::Due { host, timer } => Some(Event::Timer { host, timer }),
        }
    }

    /// Puts the next piece of a message behind all that waits at its sender.
    fn leave(&mut self, number: u64) {
        let Some(transfer) = self.transfers.get_mut(&number) else { return };
        let bytes = transfer.unsent.min(PIECE_BYTES);
        transfer.unsent -= bytes;
        let from = transfer.from;
        if transfer.is_bulk {
            self.bulk_sent[from] += bytes;
        }
        let free = self.out_free[from].max(self.now) + self.time(bytes);
        self.out_free[from] = free;
        self.at(free, Step::Left { transfer: number, bytes });
    }

    const fn time(&self, bytes: u64) -> Micros {
        bytes * 1_000_000 / self.bytes_per_s
    }

    fn at(&mut self, at: Micros, step: Step) {
        let number = self.number();
        self.steps.push(Reverse((at, number, step)));
    }

    const fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
