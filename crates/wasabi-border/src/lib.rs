//! Types of the messages that cross the border to callers and endpoints.
//!
//! The types are generated from the JSON Schema files in `schema/` and committed. The example
//! `generate` writes them anew, and a test compares the committed file with a new generation.

#[allow(missing_docs, unreachable_pub, clippy::all, clippy::use_self, clippy::unwrap_used)]
#[rustfmt::skip]
mod generated;

pub use generated::{
    ChatChoice, ChatChunk, ChatDelta, ChatMessage, ChatRequest, EntryAddress, EntryList,
    ErrorAnswer, ErrorDetail, ErrorDetailRan, ErrorDetailRetry, Usage,
};
