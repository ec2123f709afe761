//! Admission control: the order of waiting requests, concurrency limits and contract limits.
//!
//! All types are pure state machines that take the current time as an argument.

pub mod bound;
pub mod lender;
pub mod limit;
pub mod queue;
pub mod report;
pub mod window;
