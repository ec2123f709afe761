//! The entry daemon: callers' HTTP, endpoint announcements, and the pools that it owns.
//!
//! One thread holds the control state (view, configuration, pools); others carry traffic. The
//! way of a request is in `dispatch::handler`, which calls the stages in order.

mod callers;
pub mod control;
pub mod daemon;
pub mod dispatch;
mod drain;
mod durations;
mod endpoints;
pub mod events;
pub mod fetch;
pub mod forward;
mod gate;
pub mod inbound;
mod message;
mod metrics;
mod opened;
mod pass;
mod peers;
mod pools;
mod shared;
mod shell;

pub use daemon::Daemon;
pub use durations::Durations;
