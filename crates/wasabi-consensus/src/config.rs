//! Settings of a node and the state that it starts from.

use bytes::Bytes;
use wasabi_protocol::{clock::Millis, id};

use crate::{Entry, Membership, Position, Snapshot, Vote};

/// Settings of a node. All members of a group must have the same times.
#[derive(Debug, Clone)]
pub struct Config {
    /// This member.
    pub id: id::Member,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat: Millis,
    /// Shortest election timeout, in milliseconds. A member that heard a leader within this time
    /// votes for nobody, which the read lease relies on.
    pub election_min: Millis,
    /// Longest election timeout, in milliseconds. A leader without a quorum steps down after it.
    pub election_max: Millis,
    /// Most entries in one message.
    pub entries_max: usize,
    /// Most bytes of entries in one message, and of a snapshot chunk.
    pub message_bytes_max: usize,
    /// Shortest time after which a snapshot chunk without an answer is sent again, in milliseconds.
    /// Otherwise it is twice the time that the chunk before took.
    pub chunk_again: Millis,
    /// Longest time after which a snapshot chunk without an answer is sent again, in milliseconds.
    pub chunk_again_max: Millis,
    /// Time after which the question whether a stream arrived is asked again, in milliseconds.
    pub check_again: Millis,
    /// Most entries sent to one member ahead of its answers.
    pub ahead_max: u64,
    /// Bytes of entries sent to one member ahead of its answers from which on no more are sent.
    pub ahead_bytes_max: usize,
    /// Bytes without an answer up to which a heartbeat rests on what is on its way to a member, and
    /// goes behind it. More of them would delay it on a slow link.
    pub behind_bytes_max: usize,
    /// Most uncommitted entries at the leader; further proposals are refused.
    pub uncommitted_max: u64,
    /// Seed of the election timeouts.
    pub seed: u64,
}

impl Config {
    /// Returns the settings in use: heartbeat 100 ms, election timeout 600 to 1,200 ms, messages of
    /// 64 KiB.
    pub fn new(id: id::Member, seed: u64) -> Self {
        Self {
            id,
            heartbeat: Millis(100),
            election_min: Millis(600),
            election_max: Millis(1_200),
            entries_max: 1_024,
            // 70 ms on a link of 10 Mbit/s, with the overhead of the encoding.
            message_bytes_max: 64 * 1_024,
            chunk_again: Millis(300),
            chunk_again_max: Millis(1_200),
            check_again: Millis(300),
            ahead_max: 8_192,
            ahead_bytes_max: 1_024 * 1_024,
            behind_bytes_max: 16 * 1_024,
            uncommitted_max: 65_536,
            seed,
        }
    }

    /// Returns the span of a read lease, in milliseconds: 90% of the shortest election timeout,
    /// for clocks whose rates differ by up to 10%.
    pub const fn lease_span(&self) -> Millis {
        Millis(self.election_min.0 * 9 / 10)
    }
}

/// What a node starts from, as read from disk.
#[derive(Debug, Clone, Default)]
pub struct PersistentState {
    /// The highest term joined and the vote in it.
    pub vote: Vote,
    /// The snapshot. A founding member starts from [`PersistentState::bootstrap`]; a member that joins an
    /// existing group starts from the default, which has no members.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Returns the state of a founding member. All founders must use the same voters, and the
    /// runtime stores the snapshot before the node starts.
    pub fn bootstrap(voters: impl IntoIterator<Item = id::Member>) -> Self {
        let membership = Membership::of_voters(voters);
        // Index 1 rather than 0 makes a joining member, whose log is empty, fetch the snapshot and
        // with it the founding members.
        let last = Position { term: 0, index: 1 };
        Self { snapshot: Snapshot { last, membership, data: Bytes::new() }, ..Self::default() }
    }
}
