//! Test support: processes that are killed with their test, a TCP relay that simulates network faults,
//! endpoints that send unbounded or scripted responses, and polling with a timeout.

pub mod flood;
pub mod process;
pub mod relay;
pub mod script;
pub mod wait;
