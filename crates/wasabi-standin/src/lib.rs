//! A stand-in endpoint: a model engine or a plain service with settable fault modes.
//!
//! It serves tests and the local system. It announces itself to entries, renews, says that it
//! leaves, and counts what it ran.

mod announce;
mod counts;
mod handle;
mod server;
mod settings;
mod stream;

pub use counts::{Counts, Ledger};
pub use server::{Crash, Standin};
pub use settings::{Faults, Settings};
pub use stream::token;
