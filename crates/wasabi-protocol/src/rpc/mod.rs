//! Messages between entries, control and operators.

mod answers;
mod changes;
mod control;
mod entry;
mod member;
pub mod method;
mod operator;
mod outline;
mod pool;
mod update;

/// Largest message that any process of the system sends or takes, in bytes. All connections have the
/// same bound, so that what one process may send the other one takes.
pub const MESSAGE_BYTES_MAX: u32 = 64 * 1024 * 1024;

pub use answers::{Answer, Answers};
pub use changes::Changes;
pub use control::{Forwarded, Lead, MoveOrder, Read};
pub use entry::{Checked, Checkin, Evidence, Heartbeat, Propose, Proposed, Suspect};
pub use member::{Hello, Join, Joined, Met, Part, Step};
pub use operator::{
    ChangeMembers, Drain, Drained, EntryStatus, Force, Inquire, Inquired, MemberChange,
    MemberStatus, MembersChanged, Operate, Operated, Role, Source, Standing, Status,
};
pub use outline::Outline;
pub use pool::{
    Acquire, Acquired, Grant, Holdings, Left, Lend, Lent, Preempt, Pressure, Release, Running,
    Slice, Usage,
};
pub use update::{Extent, Held, Unfit, Update};
