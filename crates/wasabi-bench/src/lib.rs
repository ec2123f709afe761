//! Measuring programs: the pool owner's policy in virtual time, against a naive baseline.

pub mod baseline;
pub mod engine;
pub mod owner;
pub mod policy;
pub mod run;
pub mod score;
pub mod traffic;
