//! Settings of logs and traces.

use std::path::PathBuf;

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Settings of logs and traces.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default)]
pub struct Log {
    /// The level, or a filter such as `info,wasabi_entry=debug`.
    #[garde(length(min = 1))]
    pub level: String,
    /// The file that gets one line for each finished span; none means that spans are not written.
    #[garde(skip)]
    pub traces: Option<PathBuf>,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: "info".to_owned(), traces: None }
    }
}
