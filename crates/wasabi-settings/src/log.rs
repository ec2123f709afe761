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
    /// The log level, or a filter such as `info,wasabi_entry=debug`.
    #[garde(length(min = 1))]
    pub level: String,
    /// The file to which a line is written for each finished span. If unset, spans are not written.
    #[garde(skip)]
    pub traces: Option<PathBuf>,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: "info".to_owned(), traces: None }
    }
}
