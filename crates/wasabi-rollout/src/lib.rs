//! Decisions on version moves (the gradual rollout of a new version in place of an old one):
//! evidence, sequential tests, traffic shares, stages and the local stop.
//!
//! The pool owner uses [`credit`], [`evidence`] and [`stop`]; the control leader uses
//! [`decision`]. Both evaluate the new version per route with [`trial`]. The crate does no I/O and
//! reads no clock; callers pass the time.

mod baseline;
pub mod credit;
pub mod decision;
pub mod evidence;
pub mod latency;
pub mod loss;
pub mod sequential;
pub mod stop;
pub mod trial;
