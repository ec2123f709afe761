//! The holder's side of a request: acquire, connect, send, check, stream, release.

pub mod connect;
pub mod events;
pub(crate) mod exchange;
pub(crate) mod grant;
pub(crate) mod open;
pub(crate) mod relay;
pub(crate) mod send;
pub(crate) mod way;
pub(crate) mod whole;
pub(crate) mod wire;
