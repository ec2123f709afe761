//! Pure decisions on version moves: evidence, sequential tests, shares, stages and the local stop.
//!
//! The pool owner uses [`credit`], [`evidence`] and [`stop`]; the control leader uses
//! [`decision`]; both judge a route by a [`trial`]. Nothing here reads a clock or opens a socket.

mod baseline;
pub mod credit;
pub mod decision;
pub mod evidence;
pub mod latency;
pub mod loss;
pub mod sequential;
pub mod stop;
pub mod trial;
