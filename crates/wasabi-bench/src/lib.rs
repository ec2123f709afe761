//! Measuring programs in virtual time: the pool owner's policy against a naive baseline, and the way
//! of a change of the configuration to the entries.

pub mod baseline;
pub mod engine;
pub mod owner;
pub mod policy;
pub mod run;
pub mod score;
pub mod spread;
pub mod traffic;
