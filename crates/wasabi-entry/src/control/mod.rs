//! The link to the control group: check-ins and proposals.

pub(crate) mod checkin;
pub mod confirmation;
pub(crate) mod link;
