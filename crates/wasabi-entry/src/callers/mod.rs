//! Callers: the HTTP server, what a call asks for, and the answers.

pub(crate) mod body;
pub(crate) mod call;
pub(crate) mod early;
pub(crate) mod list;
pub(crate) mod response;
pub(crate) mod server;
