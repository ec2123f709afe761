//! Fetching newer configurations from control and from other entries.

pub mod plan;
pub(crate) mod run;
