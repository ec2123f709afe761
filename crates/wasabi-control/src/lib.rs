//! The control daemon: a group of members that agree on one log of commands.
//!
//! One thread of a member owns the log and the state machine ([`Running`] starts it); connections
//! of entries, operators and other members are served on the thread that calls
//! [`Running::start`].

mod access;
pub mod answers;
mod founding;
mod group;
mod guide;
mod heard;
mod input;
mod introductions;
mod join;
mod lane;
mod lead;
mod link;
mod liveness;
mod local;
mod member;
mod members;
mod methods;
mod metrics;
mod moves;
mod observer;
mod options;
mod pace;
pub mod parts;
mod peers;
mod record;
mod relay;
pub mod repair;
pub mod search;
mod serve;
mod server;
pub mod window;

pub use access::Access;
pub use introductions::Introductions;
pub use liveness::{Liveness, SILENT_AFTER};
pub use local::Local;
pub use metrics::Metrics;
pub use observer::Observer;
pub use options::{Batching, Contacts, Options};
pub use pace::Views;
pub use record::Addresses;
pub use relay::Relay;
pub use server::{Error, Running};
