//! A pool of at most 64 endpoints of one model or service, with a single request queue.

mod budget;
mod crash;
mod dispatch;
mod endpoint;
mod event;
mod forecast;
mod load;
mod membership;
mod overload;
mod owner;
mod preempt;
mod rates;
mod reacquire;
mod release;
mod reservation;
mod running;
mod selection;
mod tick;
mod versions;
mod waiting;

pub use crash::{Note, Sign};
pub use event::{Action, Event};
pub use load::Summary;
pub use owner::Pool;
