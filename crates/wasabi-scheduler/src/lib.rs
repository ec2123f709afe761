//! Pool scheduling: a deterministic state machine, without I/O, that assigns requests to endpoints.

pub mod pool;
