//! The holder's side of a request: acquire, connect, send, check, stream, release.

pub mod client;
pub(crate) mod connection;
pub mod events;
pub(crate) mod exchange;
pub(crate) mod grant;
pub(crate) mod handler;
pub(crate) mod open;
pub(crate) mod relay;
pub(crate) mod send;
pub(crate) mod whole;
