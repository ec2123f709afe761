//! Types of the messages exchanged with callers and endpoints.
//!
//! The types are generated from the JSON Schema files in `schema/`. The generated file is committed;
//! the example `generate` regenerates it, and a test checks that it is up to date.

#[allow(missing_docs, unreachable_pub, clippy::all, clippy::use_self, clippy::unwrap_used)]
#[rustfmt::skip]
mod generated;

pub use generated::{
    ChatChoice, ChatChunk, ChatDelta, ChatMessage, ChatRequest, EntryAddress, EntryList,
    ErrorAnswer, ErrorDetail, ErrorDetailRan, ErrorDetailRetry, Usage,
};
