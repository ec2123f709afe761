//! Other entries: heartbeats, links, and the server that they call.

pub(crate) mod heartbeat;
pub(crate) mod link;
pub(crate) mod ready;
pub(crate) mod server;
pub(crate) mod suspects;
pub(crate) mod table;
