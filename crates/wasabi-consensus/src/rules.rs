//! Protocol rules that tests can disable individually.

/// The protocol rules in effect. A production node always runs with [`Rules::ALL`]; other values
/// require the test-only feature `rule-removal`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[allow(clippy::struct_excessive_bools)]
pub struct Rules {
    /// A member runs a pre-vote round before it starts an election.
    pub pre_vote: bool,
    /// A leader that does not hear from a quorum steps down.
    pub check_quorum: bool,
    /// A member that heard from a leader within the shortest election timeout grants no votes.
    pub leader_stickiness: bool,
    /// For [`Rules::leader_stickiness`], a start counts as hearing from a leader.
    pub stickiness_after_start: bool,
    /// A leader serves reads only while its lease is valid.
    pub read_lease: bool,
    /// A message is sent only after the state that it depends on is durable.
    pub sync_before_send: bool,
    /// Learners count toward neither an election nor a commit quorum.
    pub learners_do_not_vote: bool,
    /// A membership change starts only after the previous one is committed.
    pub one_pending_change: bool,
    /// A leader commits by counting replicas only entries of its own term.
    pub current_term_commit: bool,
    /// Elections compare logs by the term of the last entry, not by the current term of the member.
    pub compare_entry_terms: bool,
}

impl Rules {
    /// All rules are in effect.
    pub const ALL: Self = Self {
        pre_vote: true,
        check_quorum: true,
        leader_stickiness: true,
        stickiness_after_start: true,
        read_lease: true,
        sync_before_send: true,
        learners_do_not_vote: true,
        one_pending_change: true,
        current_term_commit: true,
        compare_entry_terms: true,
    };
}
