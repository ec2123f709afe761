//! The rules of the protocol that tests can remove one at a time.

/// Which rules hold. A production node always runs with [`Rules::ALL`]; only the test-only feature
/// `rule-removal` makes another value possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[allow(clippy::struct_excessive_bools)]
pub struct Rules {
    /// A candidate first asks whether it would win.
    pub pre_vote: bool,
    /// A leader without a quorum steps down.
    pub check_quorum: bool,
    /// A member that heard a leader within the shortest election timeout votes for nobody.
    pub vote_hold: bool,
    /// A start counts as hearing a leader, for the rule above.
    pub start_holds_vote: bool,
    /// A leader serves reads only inside its lease.
    pub lease: bool,
    /// A message leaves only after what it depends on is durable.
    pub sync_first: bool,
    /// Learners count neither for an election nor for a commit.
    pub learner_has_no_vote: bool,
    /// A membership change starts only after the one before is committed.
    pub one_change: bool,
    /// A leader counts copies only for entries of its own term.
    pub current_term_commit: bool,
    /// Logs are compared by the term in which entries were accepted, not by the highest term
    /// joined.
    pub separate_terms: bool,
}

impl Rules {
    /// All rules hold.
    pub const ALL: Self = Self {
        pre_vote: true,
        check_quorum: true,
        vote_hold: true,
        start_holds_vote: true,
        lease: true,
        sync_first: true,
        learner_has_no_vote: true,
        one_change: true,
        current_term_commit: true,
        separate_terms: true,
    };
}
