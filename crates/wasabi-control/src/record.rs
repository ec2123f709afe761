//! What the replicated log holds.

use serde::{Deserialize, Serialize};
use wasabi_protocol::{clock::Millis, command::Command};

/// One item of the log, with the time at which the leader proposed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Record {
    /// The leader's wall-clock time, in milliseconds since the Unix epoch.
    pub(crate) now: Millis,
    /// The item.
    pub(crate) item: Item,
}

/// An item of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Item {
    /// A command of the state machine.
    Command(Command),
}
