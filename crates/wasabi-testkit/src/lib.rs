//! Support for tests: processes that end with their test, a TCP relay that can be cut, and waits
//! with a bound.

pub mod process;
pub mod relay;
pub mod wait;
