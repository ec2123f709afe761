//! The replicated state machine of the control group.
//!
//! [`Machine`] applies committed commands in log order. It is deterministic: it reads no clock, but
//! uses the timestamps that the leader writes to the log, made monotonic.

mod keys;
mod lease;
mod machine;
mod moves;
mod results;
mod snapshot;

pub use keys::{KEY_BYTES_MAX, RECORD_STORE_BYTES_MAX, RELEASE_RETENTION};
pub use machine::{Change, Machine, Size};
pub use moves::ENDED_MOVES_MAX;
pub use results::{RESULT_RETENTION, RESULTS_MAX};
pub use snapshot::Error;
