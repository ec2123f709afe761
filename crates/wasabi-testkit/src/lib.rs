//! Support for tests: processes that end with their test, a TCP relay that can be cut, endpoints
//! that answer without end or by a script, and waits with a bound.

pub mod flood;
pub mod process;
pub mod relay;
pub mod script;
pub mod wait;
