//! Pure routing decisions: pool ownership, liveness and readiness of entries, circuit breaking,
//! endpoint choice, prefix affinity, slow-endpoint detection, notices of endpoints, retries and
//! quarantine.
//!
//! Nothing in this crate reads a clock or opens a socket. Time, reports and views are arguments, and
//! the memory of every table is bounded.

pub mod affinity;
pub mod breaker;
pub mod choice;
pub mod liveness;
pub mod notice;
pub mod pace;
pub mod poison;
pub mod quarantine;
pub mod rate;
pub mod readiness;
pub mod rendezvous;
pub mod retry;
