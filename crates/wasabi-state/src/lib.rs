//! The replicated state machine of the control group.
//!
//! [`Machine`] applies committed commands in log order. It is deterministic: it reads no clock,
//! and the time it works with is the timestamp that the leader put into the log, made monotonic.

mod keys;
mod lease;
mod machine;
mod moves;
mod results;
mod snapshot;

pub use keys::{KEY_LENGTH_MAX, RELEASED_KEPT, STORE_BYTES_MAX};
pub use machine::{Change, Machine, Size};
pub use moves::ENDED_MOVES_MAX;
pub use results::{RESULT_RETENTION, RESULTS_MAX};
pub use snapshot::Error;
