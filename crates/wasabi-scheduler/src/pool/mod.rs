//! A pool of at most 64 endpoints of one model or service, and its only queue.

mod again;
mod announce;
mod budget;
mod choice;
mod crowd;
mod dispatch;
mod endpoint;
mod event;
mod forecast;
mod owner;
mod preempt;
mod release;
mod reserve;
mod running;
mod tick;
mod versions;
mod waiting;

pub use event::{Action, Event};
pub use owner::Pool;
