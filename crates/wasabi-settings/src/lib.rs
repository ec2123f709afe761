//! Settings of the daemons, read from YAML and validated completely before startup.

pub mod control;
pub mod entry;
pub mod file;
pub mod log;
pub mod reference;
pub mod scalar;
pub mod tls;
