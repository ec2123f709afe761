//! Selection of the endpoint for a request.

use wasabi_protocol::{clock::Millis, contract::Tier, request::Request};
use wasabi_rollout::credit::{Placement, Side};
use wasabi_routing::{choice, pace::Standing, poison, quarantine::Permit};

use super::{
    endpoint::{EndpointState, needs_healthy_endpoint},
    owner::Pool,
    running::DispatchClass,
    versions::Eligibility,
};

/// Placeholder for an endpoint that the request cannot use now.
const UNAVAILABLE: choice::Candidate =
    choice::Candidate { in_flight: 0, bound: 0, prefill_waiting: 0, prefill_rate: 1.0, cached: 0 };

/// Upper bound on the tier-0 streams that are counted as slowed down by the prefill of a prompt.
const DISTURBED_STREAMS_MAX: u32 = 4;

/// Maximum fraction of the remaining time that the forecast of the output may use.
///
/// At 0.5, late requests started on endpoints too slow for them: at three times the capacity, 2.8%
/// of the prefill was wasted instead of 2.3%.
const STREAM_FRACTION_MAX: f64 = 0.9;

/// The outcome of the endpoint selection for a request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Choice {
    /// The request can start on this endpoint.
    Now { index: usize, side: Option<Side>, class: DispatchClass },
    /// The endpoints that the request may use are busy.
    Later,
    /// The request must avoid every endpoint of the pool, since it already failed on each of them.
    AllAvoided,
    /// No endpoint that the request may use accepts requests from its holder for this time.
    AllClosed(Millis),
    /// The request is quarantined.
    Quarantined,
}

impl Pool {
    /// Returns whether the version of an endpoint may get requests.
    pub(super) fn is_eligible(&self, endpoint: &EndpointState) -> bool {
        endpoint.eligibility != Eligibility::Excluded
    }

    /// Updates the eligibility of all endpoints after the versions or the endpoints changed.
    pub(super) fn update_versions(&mut self) {
        self.versions.infer_current(&self.endpoints.list);
        self.versions.update_eligibility(&mut self.endpoints.list);
    }

    /// Returns whether any endpoint has room, including room that is reserved for a suspect.
    ///
    /// Endpoints that no request may use now are not counted. Otherwise every event would scan the
    /// queue in vain for as long as the other endpoints are full.
    pub(super) fn has_room(&self, now: Millis, halve_limits: bool) -> bool {
        let endpoints = &self.endpoints.list;
        // The share of an unproven version is a fraction of all dispatches, so it gets none while
        // the proven endpoints are full.
        let is_unproven_open = self.versions.is_fully_moved()
            || !endpoints.iter().any(|endpoint| endpoint.eligibility == Eligibility::Proven);
        endpoints.iter().any(|endpoint| {
            let is_open = match endpoint.eligibility {
                Eligibility::Proven => true,
                Eligibility::Unproven => is_unproven_open,
                Eligibility::Excluded => false,
            };
            is_open
                && endpoint.in_flight() < endpoint.limit(halve_limits)
                && !endpoint.unreachable
                && self.is_rate_open(now, endpoint)
                && (endpoint.running.is_empty() || !self.reservation.holds(endpoint.name()))
        })
    }

    /// Selects the endpoint on which a request can start now.
    pub(super) fn choose(
        &mut self,
        now: Millis,
        ticket: u64,
        request: &Request,
        halve_limits: bool,
    ) -> Choice {
        let permit = match self.poison.permit(now, &request.organisation, &request.parts) {
            poison::Permit::Free => self.suspects.permit(now, request.fingerprint),
            poison::Permit::Trial => self.suspects.permit_trial(now, request.fingerprint),
            poison::Permit::Refused { .. } => return Choice::Quarantined,
        };
        match permit {
            Permit::Free => {}
            Permit::Refused { .. } => return Choice::Quarantined,
            Permit::Wait => return Choice::Later,
            Permit::Alone => {
                let Some(index) = self.reserve_endpoint(now, ticket, request) else {
                    return if self.avoids_all(request) {
                        Choice::AllAvoided
                    } else {
                        Choice::Later
                    };
                };
                let side = self.versions.side(&self.endpoints.list[index].announcement.version);
                return Choice::Now { index, side, class: DispatchClass::Isolated };
            }
        }
        let demand = self.demand(now, ticket, request);
        let proven = self.search(now, ticket, request, halve_limits, demand, Eligibility::Proven);
        let unproven =
            self.search(now, ticket, request, halve_limits, demand, Eligibility::Unproven);
        let (index, side) = match (proven.best, unproven.best) {
            (None, None) => {
                let is_exhausted = 0 < proven.eligible + unproven.eligible
                    && proven.allowed + unproven.allowed == 0;
                if !is_exhausted {
                    return Choice::Later;
                }
                return match proven.opens_in.into_iter().chain(unproven.opens_in).min() {
                    // A short rest does not make the request late.
                    Some(opens_in) if self.can_wait(now, ticket, opens_in) => Choice::Later,
                    Some(opens_in) => Choice::AllClosed(opens_in),
                    None => Choice::AllAvoided,
                };
            }
            // Without a rollout there is no unproven version.
            (Some(index), None) if unproven.eligible == 0 => (index, None),
            (Some(_), new) => {
                let mut side = self.versions.choose(&request.route, request.tier);
                if side == Side::New && new.is_none() {
                    self.versions.refund(&request.route);
                    side = Side::Old;
                }
                let chosen = if side == Side::New { &unproven } else { &proven };
                let is_packed = self.versions.placement(side, request.tier) == Placement::Pack;
                let index = if is_packed { chosen.fullest } else { chosen.best };
                let Some(index) = index else { return Choice::Later };
                (index, Some(side))
            }
            // The share is a fraction of all dispatches; a full old version does not raise it.
            (None, Some(new)) if proven.eligible == 0 || self.versions.is_fully_moved() => {
                (new, Some(Side::New))
            }
            (None, Some(_)) => return Choice::Later,
        };
        Choice::Now { index, side, class: DispatchClass::Regular }
    }

    /// Returns whether the request must avoid every eligible endpoint.
    fn avoids_all(&self, request: &Request) -> bool {
        let mut eligible = self
            .endpoints
            .list
            .iter()
            .filter(|endpoint| endpoint.eligibility != Eligibility::Excluded)
            .peekable();
        eligible.peek().is_some()
            && eligible.all(|endpoint| request.avoid.contains(endpoint.name()))
    }

    /// Searches the endpoints of one eligibility for the lowest predicted time to the first token.
    ///
    /// Endpoints that do not meet the demand are skipped.
    fn search(
        &mut self,
        now: Millis,
        ticket: u64,
        request: &Request,
        halve_limits: bool,
        demand: Demand,
        eligibility: Eligibility,
    ) -> Search {
        let mut search = Search::default();
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let endpoints = &self.endpoints.list;
        let is_eligible = |endpoint: &&EndpointState| endpoint.eligibility == eligibility;
        search.eligible = endpoints.iter().filter(is_eligible).count();
        if search.eligible == 0 {
            self.candidates = candidates;
            return search;
        }
        let queued = self.queued_for(now, ticket, request);
        let last = match eligibility {
            Eligibility::Unproven => self.last_replica(),
            Eligibility::Proven | Eligibility::Excluded => None,
        };
        let is_allowed = |endpoint: &EndpointState| {
            is_eligible(&endpoint)
                && !request.avoid.contains(endpoint.name())
                && last.is_none_or(|last| endpoint.name() <= last)
        };
        let is_usable = |endpoint: &EndpointState| {
            is_allowed(endpoint) && endpoint.closed_for(request, queued).is_none()
        };
        // Tier-0 and non-idempotent requests avoid endpoints on probation if there are others.
        let needs_healthy = needs_healthy_endpoint(request)
            && endpoints
                .iter()
                .any(|endpoint| is_usable(endpoint) && endpoint.standing == Standing::Normal);
        let mut probe = None;
        for (index, endpoint) in endpoints.iter().enumerate() {
            if !is_allowed(endpoint) {
                candidates.push(UNAVAILABLE);
                continue;
            }
            if let Some(left) = endpoint.closed_for(request, queued) {
                search.opens_in = Some(search.opens_in.map_or(left, |soonest| soonest.min(left)));
                candidates.push(UNAVAILABLE);
                continue;
            }
            search.allowed += 1;
            let is_unavailable = endpoint.unreachable
                || !self.is_rate_open(now, endpoint)
                || self.reservation.holds(endpoint.name())
                || (needs_healthy && endpoint.standing == Standing::Probation);
            if is_unavailable || endpoint.limit(halve_limits) <= endpoint.in_flight() {
                candidates.push(UNAVAILABLE);
                continue;
            }
            if endpoint.probe_due {
                probe = Some(index);
            }
            let is_fuller = |fullest: usize| endpoints[fullest].in_flight() < endpoint.in_flight();
            if search.fullest.is_none_or(is_fuller) {
                search.fullest = Some(index);
            }
            let mut candidate = endpoint.candidate(now, request, halve_limits);
            if demand.first_token_ms(endpoint) < candidate.first_token_ms(request.prompt_tokens)
                || (demand.must_meet_token_time && !endpoint.meets_token_time(now, request))
            {
                candidates.push(UNAVAILABLE);
                continue;
            }
            candidate.prefill_waiting = candidate.prefill_waiting.saturating_add(disturbance(
                endpoint,
                request,
                candidate.cached,
            ));
            candidates.push(candidate);
        }
        self.tie_breaker = self.tie_breaker.wrapping_add(1);
        search.best =
            probe.or_else(|| choice::choose(&candidates, request.prompt_tokens, self.tie_breaker));
        self.candidates = candidates;
        search
    }

    /// Returns for how long a request has been queued in this pool.
    pub(super) fn queued_for(&self, now: Millis, ticket: u64, request: &Request) -> Millis {
        let item = self.queue.item(ticket);
        item.map_or(Millis::ZERO, |item| request.remaining - item.deadline.since(now))
    }

    /// Returns whether a request can still meet its target when it starts after this time.
    fn can_wait(&self, now: Millis, ticket: u64, time: Millis) -> bool {
        self.queue.item(ticket).is_some_and(|item| now + time < item.start_by)
    }

    /// Returns the requirements that an endpoint must meet for the request to start now.
    ///
    /// An endpoint that is slow or busy with long prompts would make the request miss its targets,
    /// while another one will soon have room. When the request can wait no longer, it may use any
    /// endpoint that can answer before the deadline; an unfinished request wastes its prefill.
    fn demand(&self, now: Millis, ticket: u64, request: &Request) -> Demand {
        let Some(item) = self.queue.item(ticket) else { return Demand::default() };
        if now + self.forecast.slot_wait() < item.start_by {
            let must_meet_token_time =
                self.endpoints.list.iter().any(|endpoint| endpoint.meets_token_time(now, request));
            let first_token = (item.arrived + request.first_token).since(now);
            return Demand { first_token, must_meet_token_time, ..Demand::default() };
        }
        let left = item.deadline.since(now);
        // The forecast may be wrong, so it does not delay requests in the first half of their time.
        let is_young = now.since(item.arrived) < left;
        let output_tokens = if is_young { 0.0 } else { self.forecast.output_tokens(request) };
        Demand { first_token: left, output_tokens, must_meet_token_time: false }
    }

    /// Returns the last endpoint, by name, of those that may serve the new version.
    fn last_replica(&self) -> Option<&wasabi_protocol::id::Endpoint> {
        let endpoints = &self.endpoints.list;
        let count = self.versions.replica_limit(endpoints.len());
        let mut names: Vec<_> = endpoints
            .iter()
            .filter(|endpoint| endpoint.eligibility == Eligibility::Unproven)
            .map(EndpointState::name)
            .collect();
        names.sort_unstable();
        names.get(count.max(1) - 1).copied()
    }
}

/// Returns how much the prompt of a lower-tier request would delay the tier-0 streams of an
/// endpoint, in prompt tokens. Each engine iteration that processes a part of it is slower.
fn disturbance(endpoint: &EndpointState, request: &Request, cached: u32) -> u32 {
    if request.tier == Tier::TOP {
        return 0;
    }
    request.prompt_tokens.saturating_sub(cached) / 2
        * endpoint.tier0_running.min(DISTURBED_STREAMS_MAX)
}

/// The requirements that an endpoint must meet for a request to start there.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    /// Maximum predicted time to the first token, if no output follows.
    first_token: Millis,
    /// Output tokens that must fit into the same time.
    output_tokens: f64,
    /// Whether the endpoint must meet the request's time between tokens.
    must_meet_token_time: bool,
}

impl Demand {
    /// Returns the maximum predicted time to the first token on an endpoint.
    fn first_token_ms(&self, endpoint: &EndpointState) -> f64 {
        let most = self.first_token.0 as f64;
        most - (self.output_tokens * endpoint.per_token_ms).min(STREAM_FRACTION_MAX * most)
    }
}

/// The result of a search among the endpoints of one eligibility.
#[derive(Debug, Default)]
struct Search {
    /// Number of endpoints of this eligibility.
    eligible: usize,
    /// Number of those that the request may use.
    allowed: usize,
    /// Time until the first endpoint accepts requests again, of those that the request could use if
    /// they accepted requests from its holder.
    opens_in: Option<Millis>,
    /// The best endpoint among those that have room and meet the demand.
    best: Option<usize>,
    /// The endpoint with room that has the most requests in flight.
    fullest: Option<usize>,
}
