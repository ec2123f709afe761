//! Communication with the control group: check-ins and proposals.

pub(crate) mod checkin;
pub(crate) mod client;
pub mod confirmation;
