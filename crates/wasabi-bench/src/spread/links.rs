//! Simulated network links in virtual time, one per host.
//!
//! A host sends and receives at the bandwidth of its link. Messages are split into pieces, and the
//! pieces of several messages are interleaved, as on connections that share a link.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use crate::spread::case::Micros;

/// Maximum length of a piece, in bytes.
const PIECE_BYTES: u64 = 16 * 1024;

/// A message in transit.
#[derive(Debug)]
struct Transfer<M> {
    from: usize,
    to: usize,
    is_bulk: bool,
    unsent: u64,
    undelivered: u64,
    message: M,
}

/// A step of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// The sender's link has transmitted a piece.
    Sent { transfer: u64, bytes: u64 },
    /// A piece has arrived at the receiver's link.
    Arrived { transfer: u64, bytes: u64 },
    /// The receiver's link has received a piece in full.
    Received { transfer: u64, bytes: u64 },
    /// A timer of a host has expired.
    Timer { host: usize, timer: u64 },
}

/// An event at a host.
#[derive(Debug)]
pub(super) enum Event<M> {
    /// A piece of a message arrived, and others follow.
    Piece {
        /// Number of the transfer.
        transfer: u64,
        /// The receiver.
        to: usize,
        /// Length of the piece, in bytes.
        bytes: u64,
    },
    /// The last piece of a message arrived.
    Message {
        /// Number of the transfer.
        transfer: u64,
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// Length of the last piece, in bytes.
        bytes: u64,
        /// The message.
        message: M,
    },
    /// A timer of a host expired.
    Timer {
        /// The host.
        host: usize,
        /// Id of the timer.
        timer: u64,
    },
}

/// The links of all hosts.
#[derive(Debug)]
pub(super) struct Links<M> {
    bytes_per_s: u64,
    delay: Micros,
    now: Micros,
    /// Times from which each host's link is idle, outbound and inbound.
    uplink_free_at: Vec<Micros>,
    downlink_free_at: Vec<Micros>,
    /// Bytes of bulk messages sent by each host.
    bulk_sent: Vec<u64>,
    steps: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    transfers: HashMap<u64, Transfer<M>>,
    last_number: u64,
}

impl<M> Links<M> {
    /// Creates idle links for a number of hosts, with the one-way delay in microseconds.
    pub(super) fn new(hosts: usize, bytes_per_s: u64, delay: Micros) -> Self {
        Self {
            bytes_per_s,
            delay,
            now: 0,
            uplink_free_at: vec![0; hosts],
            downlink_free_at: vec![0; hosts],
            bulk_sent: vec![0; hosts],
            steps: BinaryHeap::new(),
            transfers: HashMap::new(),
            last_number: 0,
        }
    }

    /// Returns the current virtual time, in microseconds.
    pub(super) const fn now(&self) -> Micros {
        self.now
    }

    /// Returns the bytes of bulk messages sent by each host.
    pub(super) fn bulk_sent(&self) -> &[u64] {
        &self.bulk_sent
    }

    /// Sends a message and returns its transfer number. A message from a host to itself uses no link.
    pub(super) fn send(&mut self, from: usize, to: usize, bytes: u64, message: M) -> u64 {
        self.start_transfer(Transfer {
            from,
            to,
            is_bulk: false,
            unsent: bytes,
            undelivered: bytes,
            message,
        })
    }

    /// Sends a message whose bytes count as bulk, and returns its transfer number.
    pub(super) fn send_bulk(&mut self, from: usize, to: usize, bytes: u64, message: M) -> u64 {
        self.start_transfer(Transfer {
            from,
            to,
            is_bulk: true,
            unsent: bytes,
            undelivered: bytes,
            message,
        })
    }

    fn start_transfer(&mut self, transfer: Transfer<M>) -> u64 {
        let number = self.next_number();
        let (is_local, bytes) = (transfer.from == transfer.to, transfer.unsent);
        self.transfers.insert(number, transfer);
        if is_local {
            self.schedule(self.now, Step::Received { transfer: number, bytes });
        } else {
            self.send_piece(number);
        }
        number
    }

    /// Cancels a transfer: its unsent pieces are not sent, and the message is not delivered.
    pub(super) fn cancel(&mut self, transfer: u64) {
        self.transfers.remove(&transfer);
    }

    /// Schedules a timer event at a host.
    pub(super) fn schedule_timer(&mut self, at: Micros, host: usize, timer: u64) {
        self.schedule(at, Step::Timer { host, timer });
    }

    /// Returns the next event before `end`.
    pub(super) fn next(&mut self, end: Micros) -> Option<Event<M>> {
        loop {
            let Reverse((at, _, step)) = self.steps.pop()?;
            if end < at {
                return None;
            }
            self.now = at;
            if let Some(event) = self.process(step) {
                return Some(event);
            }
        }
    }

    fn process(&mut self, step: Step) -> Option<Event<M>> {
        match step {
            Step::Sent { transfer, bytes } => {
                self.schedule(self.now + self.delay, Step::Arrived { transfer, bytes });
                if 0 < self.transfers.get(&transfer)?.unsent {
                    self.send_piece(transfer);
                }
                None
            }
            Step::Arrived { transfer, bytes } => {
                let to = self.transfers.get(&transfer)?.to;
                let free = self.downlink_free_at[to].max(self.now) + self.transmission_time(bytes);
                self.downlink_free_at[to] = free;
                self.schedule(free, Step::Received { transfer, bytes });
                None
            }
            Step::Received { transfer, bytes } => {
                let known = self.transfers.get_mut(&transfer)?;
                known.undelivered -= bytes;
                if 0 < known.undelivered {
                    return Some(Event::Piece { transfer, to: known.to, bytes });
                }
                let Transfer { from, to, message, .. } = self.transfers.remove(&transfer)?;
                Some(Event::Message { transfer, from, to, bytes, message })
            }
            Step::Timer { host, timer } => Some(Event::Timer { host, timer }),
        }
    }

    /// Queues the next piece of a message on the sender's link.
    fn send_piece(&mut self, number: u64) {
        let Some(transfer) = self.transfers.get_mut(&number) else { return };
        let bytes = transfer.unsent.min(PIECE_BYTES);
        transfer.unsent -= bytes;
        let from = transfer.from;
        if transfer.is_bulk {
            self.bulk_sent[from] += bytes;
        }
        let free = self.uplink_free_at[from].max(self.now) + self.transmission_time(bytes);
        self.uplink_free_at[from] = free;
        self.schedule(free, Step::Sent { transfer: number, bytes });
    }

    const fn transmission_time(&self, bytes: u64) -> Micros {
        bytes * 1_000_000 / self.bytes_per_s
    }

    fn schedule(&mut self, at: Micros, step: Step) {
        let number = self.next_number();
        self.steps.push(Reverse((at, number, step)));
    }

    const fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
