//! What a pool owner is told and what it asks its shell to do.

use wasabi_protocol::{
    command::Config,
    endpoint::Announcement,
    fault::Fault,
    id,
    request::Request,
    rpc::{Grant, Holdings, Left, Release, Slice, Suspect, Usage},
};

/// What happened.
#[derive(Debug)]
pub enum Event<'a> {
    /// A configuration is in force. One with a lower revision than the last is ignored.
    Config(&'a Config),
    /// An endpoint announced itself or renewed its announcement.
    Announce(Announcement),
    /// An endpoint leaves: it gets no new work.
    Leave {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// Endpoints that left before this entry owned the pool: they get no new work, whatever they
    /// announce late.
    Departed(&'a [Left]),
    /// A request asks for a grant. If the attempt is already waiting, this call replaces the earlier
    /// one. If it may hold a grant, call [`Pool::reissue_grant`](super::Pool::reissue_grant) first.
    Acquire {
        /// The number by which the shell knows the waiting call.
        ticket: u64,
        /// The request. With a non-empty `avoid` list it is a retry.
        request: Request,
    },
    /// The caller of a waiting request went away. A grant given before is released by its holder.
    Cancel {
        /// The number of the waiting call.
        ticket: u64,
    },
    /// A holder gives a grant back. The shell also sends this, as `Abandoned`, for each grant of
    /// a holder that it lost.
    Release(Release),
    /// A holder tells a new owner what it still runs.
    Holdings(Holdings),
    /// Attempts that their holder neither runs nor asks for: the grants or their releases were lost.
    Orphaned {
        /// The attempts.
        attempts: Vec<id::Attempt>,
    },
    /// Suspects and quarantined requests known to other entries.
    Suspects(&'a [Suspect]),
    /// A slice of an organisation's budget arrived.
    Budget {
        /// The organisation.
        organisation: id::Organisation,
        /// What may be started until the slice ends.
        slice: Slice,
    },
    /// Time passed. Due at least every 50 ms.
    Tick,
}

/// What the shell must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answers a waiting call with a grant.
    Grant {
        /// The number of the waiting call.
        ticket: u64,
        /// The grant.
        grant: Grant,
    },
    /// Answers a waiting call with a refusal; nothing ran.
    Refuse {
        /// The number of the waiting call.
        ticket: u64,
        /// Why.
        fault: Fault,
    },
    /// Ends a waiting call without an answer: its attempt asks again or has ended.
    Discard {
        /// The number of the waiting call.
        ticket: u64,
    },
    /// Tells the holder of a grant to cancel its attempt and ask again, unless a token arrived.
    Preempt {
        /// The number of the grant.
        grant: id::Grant,
        /// The attempt that it started.
        attempt: id::Attempt,
    },
    /// Asks the organisation's owner for the next slice of its budget.
    RequestBudget {
        /// The organisation.
        organisation: id::Organisation,
        /// What was used and is wanted.
        used: Usage,
    },
}
