//! Messages between entries, control and operators.

mod control;
mod entry;
mod member;
pub mod method;
mod operator;
mod pool;

pub use control::{Forwarded, Lead, MoveOrder, Read};
pub use entry::{Checked, Checkin, Evidence, Heartbeat, Propose, Proposed, Suspect};
pub use member::{Hello, Join, Joined, Met, Part, Step};
pub use operator::{
    ChangeMembers, Drain, Drained, EntryStatus, Force, Inquire, Inquired, MemberChange,
    MemberStatus, MembersChanged, Operate, Operated, Role, Source, Standing, Status,
};
pub use pool::{
    Acquire, Acquired, Grant, Holdings, Lend, Lent, Preempt, Pressure, Release, Running, Slice,
    Usage,
};
