//! Simulates how a configuration change reaches all entries, to measure its duration and traffic.

pub mod case;
mod hosts;
mod links;
pub mod site;
