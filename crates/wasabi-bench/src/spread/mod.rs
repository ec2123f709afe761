//! The time until a change of the configuration is in force at all entries, and what it costs.

pub mod case;
mod hosts;
mod links;
pub mod site;
