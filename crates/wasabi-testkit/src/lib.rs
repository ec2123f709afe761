//! Support for tests: processes that end with their test, a TCP relay that can be cut, an endpoint
//! that answers without end, and waits with a bound.

pub mod flood;
pub mod process;
pub mod relay;
pub mod wait;
