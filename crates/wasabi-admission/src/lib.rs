//! Admission: which waiting request starts next, how many may run, and what a contract allows.
//!
//! All types are pure state machines: time comes in as an argument.

pub mod bound;
pub mod lender;
pub mod limit;
pub mod queue;
pub mod report;
pub mod window;
