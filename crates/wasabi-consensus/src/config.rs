//! Settings of a node and the persistent state that it starts from.

use bytes::Bytes;
use wasabi_protocol::{clock::Millis, id};

use crate::{Entry, Membership, Position, Snapshot, Vote};

/// Settings of a node. All durations must be equal on all members of a group.
#[derive(Debug, Clone)]
pub struct Config {
    /// Id of this member.
    pub id: id::Member,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_interval: Millis,
    /// Shortest election timeout, in milliseconds. A member that heard from a leader within this
    /// time grants no votes, which the read lease relies on.
    pub election_timeout_min: Millis,
    /// Longest election timeout, in milliseconds. A leader that has not heard from a quorum for
    /// this time steps down.
    pub election_timeout_max: Millis,
    /// Maximum number of entries in one message.
    pub message_entries_max: usize,
    /// Maximum size of the entries in one message, and of a snapshot chunk, in bytes.
    pub message_bytes_max: usize,
    /// Lower bound of the time after which an unacknowledged snapshot chunk is resent, in
    /// milliseconds. Within the bounds, this time is twice the round trip of the previous chunk.
    pub chunk_resend_min: Millis,
    /// Upper bound of the time after which an unacknowledged snapshot chunk is resent, in
    /// milliseconds.
    pub chunk_resend_max: Millis,
    /// Interval at which an unacknowledged delivery check is resent, in milliseconds. A delivery
    /// check is an empty append sent after the entries in flight.
    pub delivery_check_interval: Millis,
    /// Maximum number of entries in flight to one member.
    pub inflight_entries_max: u64,
    /// Size of the entries in flight to one member at which no further ones are sent, in bytes.
    pub inflight_bytes_max: usize,
    /// Size of the unacknowledged data up to which a heartbeat refers to the last entry sent and is
    /// queued behind it, in bytes. Above it, a heartbeat refers to the last acknowledged entry and
    /// may overtake the data, which would otherwise delay it on a slow link.
    pub backlog_bytes_max: usize,
    /// Maximum number of uncommitted entries at the leader; further proposals are refused.
    pub uncommitted_max: u64,
    /// Seed for the random election timeouts.
    pub seed: u64,
}

impl Config {
    /// Returns the default settings: a heartbeat every 100 ms, an election timeout of 600 to
    /// 1,200 ms, and messages of up to 64 KiB.
    pub fn new(id: id::Member, seed: u64) -> Self {
        Self {
            id,
            heartbeat_interval: Millis(100),
            election_timeout_min: Millis(600),
            election_timeout_max: Millis(1_200),
            message_entries_max: 1_024,
            // Takes 70 ms on a link of 10 Mbit/s, including the overhead of the encoding.
            message_bytes_max: 64 * 1_024,
            chunk_resend_min: Millis(300),
            chunk_resend_max: Millis(1_200),
            delivery_check_interval: Millis(300),
            inflight_entries_max: 8_192,
            inflight_bytes_max: 1_024 * 1_024,
            backlog_bytes_max: 16 * 1_024,
            uncommitted_max: 65_536,
            seed,
        }
    }

    /// Returns the duration of a read lease, in milliseconds: 90% of the shortest election timeout,
    /// which allows for clock rates that differ by up to 10%.
    pub const fn lease_duration(&self) -> Millis {
        Millis(self.election_timeout_min.0 * 9 / 10)
    }
}

/// The persistent state that a node starts from, as read from disk.
#[derive(Debug, Clone, Default)]
pub struct PersistentState {
    /// The current term and the vote cast in it.
    pub vote: Vote,
    /// The snapshot. A member of a new group starts from [`PersistentState::bootstrap`]; a member
    /// that joins an existing group starts from the default, which has no members.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Returns the initial state for a member of a new group. All initial members must use the same
    /// voters, and the runtime must store the snapshot before the node starts.
    pub fn bootstrap(voters: impl IntoIterator<Item = id::Member>) -> Self {
        let membership = Membership::of_voters(voters);
        // With index 1 instead of 0, a joining member, whose log is empty, has to fetch the
        // snapshot, which contains the initial members.
        let last = Position { term: 0, index: 1 };
        Self { snapshot: Snapshot { last, membership, data: Bytes::new() }, ..Self::default() }
    }
}
