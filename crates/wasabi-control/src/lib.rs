//! The control daemon: a group of members that replicate one log of commands.
//!
//! One thread of a member owns the log and the state machine ([`Running`] starts it). Connections
//! of entries, operators and other members are served on the thread that calls [`Running::start`].

mod bootstrap;
mod call_trace;
mod connection;
mod group;
mod handlers;
mod input;
mod join;
mod known_members;
pub mod last_replies;
mod leader;
mod leader_client;
mod leader_load;
mod leader_tracker;
mod link;
mod liveness;
mod local_client;
mod member;
mod members;
mod methods;
mod metrics;
mod moves;
mod observer;
mod options;
pub mod parts;
mod peers;
mod record;
mod relay;
pub mod repair;
pub mod search;
mod seen_members;
mod server;
mod view_pacer;
pub mod window;

pub use known_members::KnownMembers;
pub use leader_client::LeaderClient;
pub use liveness::{Liveness, SILENT_AFTER};
pub use local_client::LocalClient;
pub use metrics::Metrics;
pub use observer::Observer;
pub use options::{Batching, Contacts, Options};
pub use record::Addresses;
pub use relay::Relay;
pub use server::{Error, Running};
pub use view_pacer::ViewPacer;
