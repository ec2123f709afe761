//! The entry daemon: serves the HTTP API for callers and endpoints, and schedules the pools that it
//! owns.
//!
//! The control thread holds the state (view, configuration, pools); the traffic threads serve
//! requests. The path of a request is in `dispatch::handler`, which calls the stages in order.

mod at_most_once;
mod buffer;
mod callers;
pub mod control;
pub mod daemon;
pub mod dispatch;
mod drain;
mod durations;
mod endpoint_response;
mod endpoints;
pub mod events;
pub mod fetch;
pub mod forward;
pub mod inbound;
mod message;
mod metrics;
mod pass;
mod peers;
mod pools;
mod shared;
mod shell;
pub mod timing;

pub use daemon::Daemon;
pub use durations::Durations;
