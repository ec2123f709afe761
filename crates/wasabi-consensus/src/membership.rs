//! Group membership and membership changes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use wasabi_protocol::{clock::Millis, id};

/// The members of a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Membership {
    /// Members that vote and count toward the commit quorum.
    pub voters: BTreeSet<id::Member>,
    /// Members that receive the log but do not vote.
    pub learners: BTreeSet<id::Member>,
}

impl Membership {
    /// Returns a membership without learners.
    pub fn of_voters(voters: impl IntoIterator<Item = id::Member>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Returns the number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the member is a voter or a learner.
    pub fn contains(&self, member: &id::Member) -> bool {
        self.voters.contains(member) || self.learners.contains(member)
    }

    /// Returns all members, voters before learners.
    pub fn all(&self) -> impl Iterator<Item = &id::Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the membership after the change, or `None` if the change does not apply.
    pub fn after(&self, change: &Change) -> Option<Self> {
        let mut next = self.clone();
        let applies = match change {
            Change::AddLearner(member) => {
                !self.contains(member) && next.learners.insert(member.clone())
            }
            Change::Promote(member) => {
                next.learners.remove(member) && next.voters.insert(member.clone())
            }
            Change::Remove(member) => next.voters.remove(member) || next.learners.remove(member),
        };
        (applies && !next.voters.is_empty()).then_some(next)
    }
}

/// A membership change of a single member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// Adds a member as a learner.
    AddLearner(id::Member),
    /// Promotes a learner that has caught up to a voter.
    Promote(id::Member),
    /// Removes a voter or a learner.
    Remove(id::Member),
}

/// Whether a member votes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberKind {
    /// Votes in elections and counts toward the commit quorum.
    Voter,
    /// Receives the log without voting.
    Learner,
}

/// Replication status of a member, as known to the member that reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The member.
    pub member: id::Member,
    /// Whether it is a voter or a learner.
    pub kind: MemberKind,
    /// The highest index known to be durable on the member; known only to the leader for other
    /// members.
    pub matched: Option<u64>,
    /// Time since the leader sent the latest message that the member replied to, in milliseconds.
    pub since_contact: Option<Millis>,
    /// Time since this leader started to replicate to the member, in milliseconds.
    pub tracked_for: Option<Millis>,
    /// Whether the member is caught up, so that the leader would promote it now.
    pub has_caught_up: bool,
}

impl Status {
    /// Returns the time for which this leader has received no reply, in milliseconds. Time before
    /// the member was added does not count.
    pub fn unanswered(&self) -> Millis {
        let followed = self.tracked_for.unwrap_or(Millis::ZERO);
        self.since_contact.unwrap_or(followed).min(followed)
    }
}
