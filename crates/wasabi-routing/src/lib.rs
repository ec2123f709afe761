//! Pure routing decisions: owners, their liveness and readiness, the approach to them, endpoint
//! choice, prefix affinity, pace, retries, quarantine.
//!
//! Nothing here reads a clock or opens a socket. Time, reports and views are arguments; every
//! table has a fixed bound on its memory.

pub mod affinity;
pub mod breaker;
pub mod choice;
pub mod liveness;
pub mod pace;
pub mod quarantine;
pub mod readiness;
pub mod rendezvous;
pub mod retry;
