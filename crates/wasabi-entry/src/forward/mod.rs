//! The gateway: requests are routed by host and path, forwarded unchanged to an endpoint that the
//! pool's owner grants, and get the endpoint's response.
//!
//! The [`dialect::Dialect`] of the deployment defines which headers are used; this module names
//! none of them itself.

pub mod dialect;

mod abort_on_close;
mod call;
mod directory;
pub mod events;
mod handler;
mod relay;
mod response;
mod send;
pub(crate) mod server;
pub(crate) mod site;
