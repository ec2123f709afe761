//! Logs, traces and metrics of the daemons.

pub mod log;
pub mod metrics;
pub mod trace;
