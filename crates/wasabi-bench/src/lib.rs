//! Benchmarks in virtual time: the pool owner's scheduling policy against a naive baseline, and the
//! propagation of a configuration change to the entries.

pub mod baseline;
pub mod engine;
pub mod owner;
pub mod policy;
pub mod run;
pub mod score;
pub mod spread;
pub mod traffic;
