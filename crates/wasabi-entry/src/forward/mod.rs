//! Requests that are passed on as they are: routed by host and path, sent to an endpoint that the
//! pool's owner grants, answered as the endpoint answers.
//!
//! Which headers carry what is the [`dialect::Dialect`] of the deployment; nothing here names one.

pub mod dialect;

mod call;
mod directory;
pub mod events;
mod handler;
mod relay;
mod response;
mod send;
pub(crate) mod server;
pub(crate) mod site;
mod watch;
