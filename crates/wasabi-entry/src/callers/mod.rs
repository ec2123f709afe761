//! The HTTP server for callers: requests, the entry list and responses.

pub(crate) mod body;
pub(crate) mod call;
pub(crate) mod early_response;
pub(crate) mod entry_list;
pub(crate) mod response;
pub(crate) mod server;
