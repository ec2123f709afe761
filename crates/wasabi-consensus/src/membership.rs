//! The members of a group and how they change.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use wasabi_protocol::{clock::Millis, id};

/// The members of a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Membership {
    /// Members that vote and whose copies count for a commit.
    pub voters: BTreeSet<id::Member>,
    /// Members that receive the log and do not vote.
    pub learners: BTreeSet<id::Member>,
}

impl Membership {
    /// Returns a membership of voters only.
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

    /// Returns all members, voters first.
    pub fn all(&self) -> impl Iterator<Item = &id::Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the membership after the change, or `None` when the change does not apply to it.
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

/// A change of a single member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// Adds a member without a vote.
    AddLearner(id::Member),
    /// Gives a learner that has caught up its vote.
    Promote(id::Member),
    /// Removes a voter or a learner.
    Remove(id::Member),
}

/// The part of a member in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberKind {
    /// It votes.
    Voter,
    /// It receives the log without a vote.
    Learner,
}

/// What a member knows of another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The member.
    pub member: id::Member,
    /// Its part.
    pub kind: MemberKind,
    /// The highest index that it is known to hold durably; only the leader knows that of others.
    pub matched: Option<u64>,
    /// Time since the leader sent the last message that the member answered, in milliseconds.
    pub since_contact: Option<Millis>,
    /// Time since this leader began to send to the member, in milliseconds.
    pub tracked_for: Option<Millis>,
    /// Whether the leader would give the member its vote now.
    pub has_caught_up: bool,
}

impl Status {
    /// Returns the time for which this leader has had no answer, in milliseconds. A member that
    /// was added a moment ago has not been silent before.
    pub fn unanswered(&self) -> Millis {
        let followed = self.tracked_for.unwrap_or(Millis::ZERO);
        self.since_contact.unwrap_or(followed).min(followed)
    }
}
