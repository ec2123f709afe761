//! Decisions on the members of a group that repairs itself, without input or output.
//!
//! A voter whose address another member has taken has lost its disk and leaves first. One that is
//! only silent may still hold what others are about to lose: its substitute gets a vote first.

use std::{collections::BTreeMap, fmt};

use wasabi_consensus::{Change, MemberKind, Status};
use wasabi_protocol::{clock::Millis, id};

use crate::record::Addresses;

/// Silence after which a learner is removed, in milliseconds.
const LEARNER_GONE_AFTER: Millis = Millis(4_000);

/// Silence after which the group does without a voter if it can, in milliseconds. One that was only
/// restarting asks to be taken in again.
const VOTER_GONE_AFTER: Millis = Millis(1_500);

/// Silence after which a voter is removed though its return could be needed, in milliseconds.
const VOTER_LOST_AFTER: Millis = Millis(30_000);

/// Silence after which a voter is removed when another member answers at its address, in
/// milliseconds: a process that lives answers heartbeats far sooner.
const REPLACED_AFTER: Millis = Millis(1_000);

/// Silence after which a member does not count as able to hold data, in milliseconds.
pub const SILENT_AFTER: Millis = Millis(1_200);

/// Voters that a removal leaves at least.
const VOTERS_MIN: usize = 2;

/// What the leader knows of its group.
#[derive(Debug, Clone, Copy)]
pub struct Situation<'a> {
    /// The leader.
    pub own: &'a id::Member,
    /// The members in force.
    pub members: &'a [Status],
    /// The recorded addresses of members.
    pub addresses: &'a Addresses,
    /// The least number of voters that the group keeps.
    pub size_min: usize,
    /// The most voters that are known to have answered at one time.
    pub size: usize,
}

/// What a group that is short of a member waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wait {
    /// A host that asks to be taken in, or the return of a member.
    Host,
    /// An answer of a member that was added.
    Answer(id::Member),
    /// A member that was added and does not hold everything committed.
    CatchUp(id::Member),
    /// The next change of the members, and its commit.
    Change,
}

/// What a group lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// Voters that do not answer.
    pub silent: Vec<id::Member>,
    /// Voters that answer.
    pub answering: usize,
    /// Voters in force.
    pub voters: usize,
    /// What the repair waits for.
    pub wait: Wait,
}

impl fmt::Display for Wait {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Host => formatter.write_str("a host that asks to be taken in"),
            Self::Answer(member) => write!(formatter, "an answer of {member}"),
            Self::CatchUp(member) => write!(formatter, "{member} to catch up"),
            Self::Change => formatter.write_str("a change of the members"),
        }
    }
}

impl Situation<'_> {
    /// Returns the next change of the members: the removal of one that is gone, or else a vote for
    /// a learner that has caught up.
    pub fn next_change(&self) -> Option<Change> {
        self.next_change_with(&BTreeMap::new())
    }

    /// Returns the same, where members may have answered in other ways than by their place in the
    /// log. `silences` holds the time since any answer of a member, without the time in which the
    /// leader did not run, in milliseconds.
    pub fn next_change_with(&self, silences: &BTreeMap<id::Member, Millis>) -> Option<Change> {
        let is_leaving = |status: &&Status| {
            self.is_gone(status, silence(status, silences)) && self.can_lose(status)
        };
        if let Some(gone) = self.members.iter().find(is_leaving) {
            return Some(Change::Remove(gone.member.clone()));
        }
        let ready = self.learners().find(|status| status.has_caught_up)?;
        self.can_promote().then(|| Change::Promote(ready.member.clone()))
    }

    /// Returns how many voters answered a moment ago.
    pub fn answering(&self) -> usize {
        self.voters().filter(|status| answers(status)).count()
    }

    /// Returns what the group lacks, or none when it is complete and every voter answers.
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

    fn is_gone(&self, status: &Status, silent: Millis) -> bool {
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
        // Without one of an even number, a group bears as many losses.
        let is_spare = self.size < voters || voters.is_multiple_of(2);
        let bound = if is_spare { VOTER_GONE_AFTER } else { VOTER_LOST_AFTER };
        self.size_min < voters && bound <= silent
    }

    /// Returns whether the commit of a promotion has its quorum. A voter that has been silent for a
    /// short time is waited for: with it, one of the others could be spared.
    fn can_promote(&self) -> bool {
        let is_known = |status: &Status| answers(status) || VOTER_GONE_AFTER <= status.unanswered();
        let after = self.voters().count() + 1;
        self.voters().all(is_known) && after / 2 < self.answering() + 1
    }

    /// Returns whether another member answers at the address of the member.
    fn has_successor(&self, gone: &Status) -> bool {
        let Some(address) = self.addresses.get(&gone.member) else { return false };
        let mut others = self.members.iter().filter(|other| other.member != gone.member);
        others.any(|other| answers(other) && self.addresses.get(&other.member) == Some(address))
    }

    /// Returns whether a quorum answers without the member. A leader alone is none, since what it
    /// acknowledged would be on one disk.
    fn can_lose(&self, gone: &Status) -> bool {
        if gone.kind == MemberKind::Learner {
            return true;
        }
        let rest = || self.voters().filter(|status| status.member != gone.member);
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

/// Returns the silence that a removal counts: since the last answer of any kind. A process that answers
/// and takes no part for long, such as one whose disk stands still, is silent all the same.
fn silence(status: &Status, silences: &BTreeMap<id::Member, Millis>) -> Millis {
    let unanswered = status.unanswered();
    if VOTER_LOST_AFTER <= unanswered {
        return unanswered;
    }
    silences.get(&status.member).map_or(unanswered, |silent| unanswered.min(*silent))
}

/// Returns whether the member answered a moment ago.
fn answers(status: &Status) -> bool {
    status.since_contact.is_some_and(|silent| silent < SILENT_AFTER)
}
