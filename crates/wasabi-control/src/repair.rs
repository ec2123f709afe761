//! Membership decisions of a group that repairs itself, without I/O.
//!
//! A voter whose address was taken over by another member has lost its disk and is removed first. A
//! voter that is only silent may hold data that others are about to lose, so its replacement is
//! promoted before it is removed.

use std::{collections::BTreeMap, fmt};

use wasabi_consensus::{Change, MemberKind, Status};
use wasabi_protocol::{clock::Millis, id};

use crate::record::Addresses;

/// Silence after which a learner is removed.
const LEARNER_GONE_AFTER: Millis = Millis(4_000);

/// Silence after which a voter is removed if the group has a spare one. A voter that was only
/// restarting sends a join request again.
const VOTER_GONE_AFTER: Millis = Millis(1_500);

/// Silence after which a voter is removed although its return could be needed.
const VOTER_LOST_AFTER: Millis = Millis(30_000);

/// Silence after which a voter is removed when another member answers at its address. A running
/// process answers heartbeats far sooner.
const REPLACED_AFTER: Millis = Millis(1_000);

/// Silence after which a member no longer counts as able to store data.
pub const SILENT_AFTER: Millis = Millis(1_200);

/// Least number of voters after a removal.
const VOTERS_MIN: usize = 2;

/// The leader's knowledge of its group.
#[derive(Debug, Clone, Copy)]
pub struct GroupState<'a> {
    /// The leader.
    pub own: &'a id::Member,
    /// Status of the current members.
    pub members: &'a [Status],
    /// The recorded addresses of members.
    pub addresses: &'a Addresses,
    /// Least number of voters that the group keeps.
    pub size_min: usize,
    /// Highest number of voters that are known to have answered at one time.
    pub size: usize,
}

/// What a group with a shortage of members is waiting for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wait {
    /// A host that requests to join, or the return of a member.
    Host,
    /// An answer of a learner.
    Answer(id::Member),
    /// A learner that does not yet hold all committed entries.
    CatchUp(id::Member),
    /// The next membership change and its commit.
    Change,
}

/// A shortage of members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// Voters that do not answer.
    pub silent: Vec<id::Member>,
    /// Voters that answer.
    pub answering: usize,
    /// Current voters.
    pub voters: usize,
    /// What the repair is waiting for.
    pub wait: Wait,
}

impl fmt::Display for Wait {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Host => formatter.write_str("a host that requests to join"),
            Self::Answer(member) => write!(formatter, "an answer of {member}"),
            Self::CatchUp(member) => write!(formatter, "{member} to catch up"),
            Self::Change => formatter.write_str("a membership change"),
        }
    }
}

impl GroupState<'_> {
    /// Returns the next membership change: the removal of a failed member, or else the promotion of
    /// a learner that has caught up.
    pub fn next_change(&self) -> Option<Change> {
        self.next_change_with(&BTreeMap::new())
    }

    /// Like [`Self::next_change`], also taking answers outside the replication into account.
    /// `silences` holds the time since the last answer of each member to any request, without
    /// pauses of the leader.
    pub fn next_change_with(&self, silences: &BTreeMap<id::Member, Millis>) -> Option<Change> {
        let is_removable = |status: &&Status| {
            self.is_lost(status, silence(status, silences)) && self.can_remove(status)
        };
        if let Some(lost) = self.members.iter().find(is_removable) {
            return Some(Change::Remove(lost.member.clone()));
        }
        let ready = self.learners().find(|status| status.has_caught_up)?;
        self.can_promote().then(|| Change::Promote(ready.member.clone()))
    }

    /// Returns the number of voters that answered recently.
    pub fn answering(&self) -> usize {
        self.voters().filter(|status| answers(status)).count()
    }

    /// Returns the current shortage, or `None` when the group is complete and every voter answers.
    pub fn shortage(&self) -> Option<Shortage> {
        let voters = self.voters().count();
        let silent: Vec<_> = self
            .voters()
            .filter(|status| SILENT_AFTER <= status.unanswered())
            .map(|status| status.member.clone())
            .collect();
        if silent.is_empty() && self.size_min <= voters {
            return None;
        }
        Some(Shortage { silent, answering: self.answering(), voters, wait: self.wait() })
    }

    fn wait(&self) -> Wait {
        if self.next_change().is_some() {
            return Wait::Change;
        }
        match self.learners().max_by_key(|status| (answers(status), status.matched)) {
            None => Wait::Host,
            Some(status) if !answers(status) => Wait::Answer(status.member.clone()),
            Some(status) if !status.has_caught_up => Wait::CatchUp(status.member.clone()),
            Some(_) => Wait::Change,
        }
    }

    fn is_lost(&self, status: &Status, silent: Millis) -> bool {
        if status.member == *self.own {
            return false;
        }
        if status.kind == MemberKind::Learner {
            return LEARNER_GONE_AFTER <= silent;
        }
        if self.has_successor(status) {
            return REPLACED_AFTER <= silent;
        }
        let voters = self.voters().count();
        // A group with an even number of voters tolerates as many failures with one voter less.
        let is_spare = self.size < voters || voters.is_multiple_of(2);
        let bound = if is_spare { VOTER_GONE_AFTER } else { VOTER_LOST_AFTER };
        self.size_min < voters && bound <= silent
    }

    /// Returns whether a promotion can be committed. A voter with a short silence is waited for,
    /// since the group has a spare member once it returns.
    fn can_promote(&self) -> bool {
        let is_known = |status: &Status| answers(status) || VOTER_GONE_AFTER <= status.unanswered();
        let after = self.voters().count() + 1;
        self.voters().all(is_known) && after / 2 < self.answering() + 1
    }

    /// Returns whether another member answers at the address of the member.
    fn has_successor(&self, lost: &Status) -> bool {
        let Some(address) = self.addresses.get(&lost.member) else { return false };
        let mut others = self.members.iter().filter(|other| other.member != lost.member);
        others.any(|other| answers(other) && self.addresses.get(&other.member) == Some(address))
    }

    /// Returns whether a quorum answers without the member. A leader alone is not sufficient, since
    /// the entries it acknowledges would be stored on a single disk.
    fn can_remove(&self, lost: &Status) -> bool {
        if lost.kind == MemberKind::Learner {
            return true;
        }
        let rest = || self.voters().filter(|status| status.member != lost.member);
        let answering = rest().filter(|status| answers(status)).count();
        VOTERS_MIN <= rest().count() && rest().count() / 2 < answering
    }

    fn voters(&self) -> impl Iterator<Item = &Status> {
        self.members.iter().filter(|status| status.kind == MemberKind::Voter)
    }

    fn learners(&self) -> impl Iterator<Item = &Status> {
        self.members.iter().filter(|status| status.kind == MemberKind::Learner)
    }
}

/// Returns the silence that counts for a removal: the time since the last answer of any kind. A
/// process that answers but does not replicate for a long time, such as one with a stalled disk,
/// still counts as silent.
fn silence(status: &Status, silences: &BTreeMap<id::Member, Millis>) -> Millis {
    let unanswered = status.unanswered();
    if VOTER_LOST_AFTER <= unanswered {
        return unanswered;
    }
    silences.get(&status.member).map_or(unanswered, |silent| unanswered.min(*silent))
}

/// Returns whether the member answered recently.
fn answers(status: &Status) -> bool {
    status.since_contact.is_some_and(|silent| silent < SILENT_AFTER)
}
