//! Settings of TLS.

use std::path::PathBuf;

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The certificate and private key of a listener.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default)]
pub struct Tls {
    /// The PEM file with the certificate chain.
    #[garde(custom(|path: &PathBuf, context: &()| crate::file::existing_file(path, context)))]
    pub certificate: PathBuf,
    /// The PEM file with the private key.
    #[garde(custom(|path: &PathBuf, context: &()| crate::file::existing_file(path, context)))]
    pub key: PathBuf,
}
