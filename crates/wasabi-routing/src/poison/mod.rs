//! Parts of prompts that crash each endpoint that begins to answer them: found by elimination, kept
//! from all endpoints, and released by trial.
//!
//! Requests with such a part need not be alike otherwise, so that each of them may crash only one
//! endpoint. Suspected are the parts of the requests to which no answer had begun when their endpoint
//! crashed, without the parts to which other answers have begun since.

mod answers;
mod crash;
mod finding;
mod judge;
mod table;

pub use answers::{ANSWERED_MAX, Answers};
pub use crash::CRASHES_MAX;
pub use finding::FINDINGS_MAX;
pub use table::{Change, Permit, Table};
