//! A pool of at most 64 endpoints of one model or service, and its only queue.

mod dispatch;
mod endpoint;
mod event;
mod owner;

pub use event::{Action, Event};
pub use owner::Pool;
