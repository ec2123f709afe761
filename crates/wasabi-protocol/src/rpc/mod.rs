//! Messages between entries, control and operators.

mod changes;
mod control;
mod digests;
mod entry;
mod member;
pub mod method;
mod operator;
mod poison;
mod pool;
mod rate;
mod update;
mod update_cache;

/// Maximum message size, in bytes. It is the same for all connections, so that any message that one
/// process may send is accepted by the other.
pub const MESSAGE_BYTES_MAX: u32 = 64 * 1024 * 1024;

pub use changes::Changes;
pub use control::{Forwarded, LeaderInfo, MoveOrder, Read};
pub use digests::ConfigDigests;
pub use entry::{Checkin, CheckinReply, Evidence, Heartbeat, Propose, Proposed, Suspect};
pub use member::{Hello, HelloReply, Join, Joined, Part, Step};
pub use operator::{
    ChangeMembers, CommandReply, CommandRequest, Drain, Drained, EntryStatus, MemberChange,
    MemberStatus, MembersChanged, RevisionStatus, Role, Source, Standing, Status, StatusReply,
    StatusRequest,
};
pub use poison::{Crash, Poison, Suspected, Verdict};
pub use pool::{
    Acquire, Acquired, Answered, Departure, Grant, Holdings, Lend, Lent, PoolLoad, Preempt,
    Release, Running, Slice, Usage,
};
pub use rate::{EndpointRate, NamedRate, RateReport};
pub use update::{ConfigVersion, Extent, Update, UpdateMismatch};
pub use update_cache::{EncodedUpdate, UpdateCache};
