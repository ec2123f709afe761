//! A simulated endpoint (stand-in): a model engine or a service with configurable fault modes, for
//! tests and local systems.
//!
//! It announces itself to entries, renews the announcement, deregisters when it stops, and counts
//! the requests that it ran.

mod announce;
mod counts;
mod handle;
mod server;
mod settings;
mod stream;

pub use counts::{Counters, Counts};
pub use server::{Crash, Standin};
pub use settings::{Faults, Settings};
pub use stream::token;
