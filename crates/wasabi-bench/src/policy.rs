//! The interface of a scheduling policy, and the faults that a run injects.

use wasabi_protocol::{
    clock::Millis,
    endpoint::Announcement,
    id,
    request::{End, Report, Request},
};

/// An instruction from a policy to the simulation.
#[derive(Debug)]
pub enum Command {
    /// Sends a request to an engine.
    Start {
        /// Number of the queued request.
        ticket: u64,
        /// The engine.
        engine: usize,
        /// Timeouts for the first token and between tokens.
        bounds: (Millis, Millis),
    },
    /// Refuses a request.
    Refuse {
        /// Number of the queued request.
        ticket: u64,
    },
    /// Cancels an attempt and queues its request again, unless a token has arrived.
    Preempt {
        /// The attempt.
        attempt: id::Attempt,
    },
}

/// A scheduling policy.
pub trait Policy {
    /// Handles an announcement of an engine. Its load report is one announcement interval old.
    fn announce(&mut self, now: Millis, announcement: Announcement) -> Vec<Command>;
    /// Handles a request that needs an engine.
    fn acquire(&mut self, now: Millis, ticket: u64, request: Request) -> Vec<Command>;
    /// Handles the end of an attempt.
    fn release(&mut self, now: Millis, request: &Request, report: Report) -> Vec<Command>;
    /// Called every 50 ms.
    fn tick(&mut self, now: Millis) -> Vec<Command>;
    /// Handles a crash of the scheduling process, which another one replaces.
    fn fail_over(&mut self, now: Millis);
    /// Returns whether a request is retried after an attempt without a complete response.
    fn should_retry(&self, request: &Request, attempts: u32, end: End, tokens: u32) -> bool;
}

/// A fault that a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Two engines crash, one after the other, and restart after 5 s.
    Crash,
    /// One engine makes no progress and sends no announcements for 10 s.
    Freeze,
    /// Every tenth engine is four times slower.
    Straggle,
    /// The request rate doubles for 10 s.
    Burst,
    /// A request that crashes every engine that runs it is sent four times by its caller.
    Poison,
    /// The scheduling process crashes.
    OwnerDies,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 6] =
        [Self::Crash, Self::Freeze, Self::Straggle, Self::Burst, Self::Poison, Self::OwnerDies];
}
