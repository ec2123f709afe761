//! The control daemon: a group of members that agree on one log of commands.
//!
//! One thread of a member owns the log and the state machine ([`Running`] starts it); connections
//! of entries, operators and other members are served on the thread that calls
//! [`Running::start`].

mod group;
mod input;
mod liveness;
mod member;
mod options;
mod record;
mod server;

pub use liveness::{Liveness, SILENT_AFTER};
pub use options::{Batching, Options};
pub use server::{Error, Running};
