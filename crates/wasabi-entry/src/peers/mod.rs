//! Peers, which are the other entries: heartbeats, connections, and the server that they call.

pub(crate) mod heartbeat;
pub(crate) mod link;
pub(crate) mod readiness;
pub(crate) mod server;
pub(crate) mod suspects;
pub(crate) mod table;
