//! What a policy is told and asked, and what goes wrong in a run.

use wasabi_protocol::{
    clock::Millis,
    endpoint::Announcement,
    id,
    request::{End, Report, Request},
};

/// What a policy wants done.
#[derive(Debug)]
pub enum Command {
    /// Sends a request to an engine.
    Start {
        /// The number of the waiting request.
        ticket: u64,
        /// The engine.
        engine: usize,
        /// The longest silence before and between tokens.
        bounds: (Millis, Millis),
    },
    /// Refuses a request.
    Refuse {
        /// The number of the waiting request.
        ticket: u64,
    },
    /// Cancels an attempt and asks again, unless a token arrived.
    Preempt {
        /// The attempt.
        attempt: id::Attempt,
    },
}

/// A scheduling policy.
pub trait Policy {
    /// An engine announced itself, with a load report from half a second ago.
    fn announce(&mut self, now: Millis, announcement: Announcement) -> Vec<Command>;
    /// A request asks for an engine.
    fn acquire(&mut self, now: Millis, ticket: u64, request: Request) -> Vec<Command>;
    /// An attempt ended.
    fn release(&mut self, now: Millis, request: &Request, report: Report) -> Vec<Command>;
    /// 50 ms passed.
    fn tick(&mut self, now: Millis) -> Vec<Command>;
    /// The process that decides dies, and another takes its place.
    fn fail_over(&mut self, now: Millis);
    /// Returns whether an attempt that ended without an answer is sent again.
    fn retries(&self, request: &Request, tries: u32, end: End, tokens: u32) -> bool;
}

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Two engines crash, one after the other, and restart after 5 s.
    Crash,
    /// An engine makes no progress and is silent for 10 s.
    Freeze,
    /// Every tenth engine is four times slower.
    Straggle,
    /// The load doubles for 10 s.
    Burst,
    /// A request crashes each engine that runs it, and its caller sends it four times.
    Poison,
    /// The deciding process dies.
    OwnerDies,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 6] =
        [Self::Crash, Self::Freeze, Self::Straggle, Self::Burst, Self::Poison, Self::OwnerDies];
}
