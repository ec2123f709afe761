//! The way of a newer configuration to this entry.

pub mod plan;
pub(crate) mod run;
