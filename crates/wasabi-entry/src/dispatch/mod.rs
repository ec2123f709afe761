//! Request handling for callers under a contract: acquire a grant, connect, send the request,
//! validate the response, stream it, and release the grant.

pub mod client;
pub(crate) mod complete;
pub(crate) mod connection;
pub mod events;
pub(crate) mod exchange;
pub(crate) mod grant;
pub(crate) mod handler;
pub(crate) mod head;
pub(crate) mod notices;
pub(crate) mod open;
pub(crate) mod relay;
pub(crate) mod send;
