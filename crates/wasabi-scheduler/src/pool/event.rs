//! Input events of a pool owner, and the actions that it requests from its driver.

use wasabi_protocol::{
    command::Config,
    endpoint::Announcement,
    fault::Fault,
    id,
    request::Request,
    rpc::{
        Answered, Crash, Departure, EndpointRate, Grant, Holdings, Poison, Release, Slice, Suspect,
        Usage,
    },
};

/// An input of the pool owner.
#[derive(Debug)]
pub enum Event<'a> {
    /// A configuration took effect. Ignored if its revision is lower than that of the last one.
    Config(&'a Config),
    /// An endpoint registered or renewed its registration.
    Announce(Announcement),
    /// An endpoint deregisters and gets no new requests.
    Leave {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// Endpoints that deregistered under an earlier owner of the pool. They get no new requests,
    /// even if a delayed announcement of theirs arrives.
    Departed(&'a [Departure]),
    /// Entries report the rates that endpoints named in their responses.
    Rates(&'a [EndpointRate]),
    /// A request asks for a grant. If the attempt is already waiting, this call replaces the
    /// earlier one. If it may hold a grant, call
    /// [`Pool::reissue_grant`](super::Pool::reissue_grant) first.
    Acquire {
        /// Identifies the waiting call to the driver.
        ticket: u64,
        /// The request. A non-empty `avoid` list marks a retry.
        request: Request,
    },
    /// The caller of a waiting request disconnected. If a grant was already issued, its holder
    /// releases it.
    Cancel {
        /// The ticket of the waiting call.
        ticket: u64,
    },
    /// A holder releases a grant. The driver also sends this, with the end `Abandoned`, for each
    /// grant whose holder is lost.
    Release(Release),
    /// A holder reports its running attempts to a new owner.
    Holdings(Holdings),
    /// Attempts that their holder neither runs nor requests, because the grant or its release was
    /// lost.
    Orphaned {
        /// The attempts.
        attempts: Vec<id::Attempt>,
    },
    /// Suspected and quarantined requests that other entries reported.
    Suspects(&'a [Suspect]),
    /// Crashes of endpoints and parts of prompts that crash them, which other owners reported.
    Poisons {
        /// Crashes without a known cause.
        crashes: &'a [Crash],
        /// The parts that were found.
        poisons: &'a [Poison],
        /// Parts to which answers began elsewhere.
        answered: &'a [Answered],
    },
    /// A slice of an organisation's budget was granted to the pool.
    Budget {
        /// The organisation.
        organisation: id::Organisation,
        /// The amount that may be started before the slice expires.
        slice: Slice,
    },
    /// A timer tick. Must be sent at least every 50 ms.
    Tick,
}

/// An action that the driver must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answers a waiting call with a grant.
    Grant {
        /// The ticket of the waiting call.
        ticket: u64,
        /// The grant.
        grant: Grant,
    },
    /// Answers a waiting call with a refusal. The request was not run.
    Refuse {
        /// The ticket of the waiting call.
        ticket: u64,
        /// The reason.
        fault: Fault,
    },
    /// Drops a waiting call without an answer, because its attempt was requested again or has
    /// ended.
    Discard {
        /// The ticket of the waiting call.
        ticket: u64,
    },
    /// Tells the holder of a grant to cancel its attempt and request a new grant, unless the
    /// attempt has already produced a token.
    Preempt {
        /// The id of the grant.
        grant: id::Grant,
        /// The attempt that runs under the grant.
        attempt: id::Attempt,
    },
    /// Requests the next slice of an organisation's budget from its budget owner.
    RequestBudget {
        /// The organisation.
        organisation: id::Organisation,
        /// The usage since the last request, and the demand.
        used: Usage,
    },
}
