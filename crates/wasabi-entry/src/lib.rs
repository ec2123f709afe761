//! Entry daemon.
