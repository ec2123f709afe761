//! The endpoint for one request.

use wasabi_protocol::{clock::Millis, contract::Tier, request::Request};
use wasabi_rollout::credit::{Placement, Side};
use wasabi_routing::{choice, pace::Standing, quarantine::Permit};

use super::{
    endpoint::{Slot, is_careful},
    owner::Pool,
    running::Mark,
    versions::Offer,
};

/// Stands for an endpoint that the request cannot use now.
const FULL: choice::Candidate =
    choice::Candidate { in_flight: 0, bound: 0, prefill_waiting: 0, prefill_rate: 1.0, cached: 0 };

/// Tier-0 streams of an endpoint that count as disturbed by a prompt.
const URGENT_COUNTED: u32 = 4;

/// Most of the time left that the forecast of the output may take.
///
/// With a half, a late request could start on an endpoint too slow for it: 2.8 instead of 2.3% of
/// the prefill was wasted at three times the capacity.
const STREAM_PART_MAX: f64 = 0.9;

/// Where a request can run.
#[derive(Debug, Clone, Copy)]
pub(super) enum Choice {
    /// On this endpoint, now.
    Now { index: usize, side: Option<Side>, mark: Mark },
    /// Later: the endpoints that it may use are busy.
    Later,
    /// Nowhere: it already met each endpoint of the pool.
    Never,
    /// Not before its quarantine ends.
    Quarantined,
}

impl Pool {
    /// Returns whether an endpoint's version may get requests.
    pub(super) fn is_offered(&self, slot: &Slot) -> bool {
        slot.offer != Offer::Never
    }

    /// Follows a change of the versions or of the endpoints.
    pub(super) fn settle_versions(&mut self) {
        self.versions.settle(&self.endpoints.slots);
        self.versions.mark(&mut self.endpoints.slots);
    }

    /// Returns whether any endpoint has room, be it for a suspect only.
    ///
    /// An endpoint that no request may use now has none: with its room counted, every event would look
    /// at the waiting requests in vain for as long as the others are full.
    pub(super) fn has_room(&self, half: bool) -> bool {
        let slots = &self.endpoints.slots;
        // The share of an unproven version is counted in dispatches, which begin with the others.
        let is_unproven_open =
            self.versions.has_moved() || !slots.iter().any(|slot| slot.offer == Offer::Proven);
        slots.iter().any(|slot| {
            let is_open = match slot.offer {
                Offer::Proven => true,
                Offer::Unproven => is_unproven_open,
                Offer::Never => false,
            };
            is_open
                && slot.in_flight() < slot.limit(half)
                && !slot.unreachable
                && (slot.running.is_empty() || !self.reserve.holds(slot.name()))
        })
    }

    /// Returns where a request can run now.
    pub(super) fn choose(
        &mut self,
        now: Millis,
        ticket: u64,
        request: &Request,
        half: bool,
    ) -> Choice {
        match self.suspects.permit(now, request.fingerprint) {
            Permit::Free => {}
            Permit::Refused { .. } => return Choice::Quarantined,
            Permit::Wait => return Choice::Later,
            Permit::Alone => {
                let Some(index) = self.alone(now, request) else {
                    return if self.has_met_all(request) { Choice::Never } else { Choice::Later };
                };
                let side = self.versions.side(&self.endpoints.slots[index].announcement.version);
                return Choice::Now { index, side, mark: Mark::Alone };
            }
        }
        let demand = self.demand(now, ticket, request);
        let proven = self.best(now, request, half, demand, Offer::Proven);
        let unproven = self.best(now, request, half, demand, Offer::Unproven);
        let (index, side) = match (proven.found, unproven.found) {
            (None, None) => {
                let is_met =
                    0 < proven.offered + unproven.offered && proven.allowed + unproven.allowed == 0;
                return if is_met { Choice::Never } else { Choice::Later };
            }
            // Without a move there is no unproven version.
            (Some(index), None) if unproven.offered == 0 => (index, None),
            (Some(_), new) => {
                let mut side = self.versions.choose(&request.route, request.tier);
                if side == Side::New && new.is_none() {
                    self.versions.refund(&request.route);
                    side = Side::Old;
                }
                let best = if side == Side::New { &unproven } else { &proven };
                let is_packed = self.versions.placement(side, request.tier) == Placement::Pack;
                let found = if is_packed { best.fullest } else { best.found };
                let Some(index) = found else { return Choice::Later };
                (index, Some(side))
            }
            // The share is counted in dispatches, so a full old version adds nothing to it.
            (None, Some(new)) if proven.offered == 0 || self.versions.has_moved() => {
                (new, Some(Side::New))
            }
            (None, Some(_)) => return Choice::Later,
        };
        Choice::Now { index, side, mark: Mark::Usual }
    }

    /// Returns whether the request must avoid each endpoint that is offered.
    fn has_met_all(&self, request: &Request) -> bool {
        let mut offered =
            self.endpoints.slots.iter().filter(|slot| slot.offer != Offer::Never).peekable();
        offered.peek().is_some() && offered.all(|slot| request.avoid.contains(slot.name()))
    }

    /// Returns the endpoint with the lowest predicted time to the first token.
    ///
    /// Endpoints that do not meet the demand are left out.
    fn best(
        &mut self,
        now: Millis,
        request: &Request,
        half: bool,
        demand: Demand,
        offer: Offer,
    ) -> Best {
        let mut best = Best::default();
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let slots = &self.endpoints.slots;
        let is_offered = |slot: &&Slot| slot.offer == offer;
        best.offered = slots.iter().filter(is_offered).count();
        if best.offered == 0 {
            self.candidates = candidates;
            return best;
        }
        let last = match offer {
            Offer::Unproven => self.last_replica(),
            Offer::Proven | Offer::Never => None,
        };
        let is_usable = |slot: &Slot| {
            is_offered(&slot)
                && !request.avoid.contains(slot.name())
                && last.is_none_or(|last| slot.name() <= last)
        };
        // Tier 0 and calls that run once meet no straggler, unless there is nothing else.
        let is_careful = is_careful(request)
            && slots.iter().any(|slot| is_usable(slot) && slot.standing == Standing::Normal);
        let mut probe = None;
        for (index, slot) in slots.iter().enumerate() {
            if !is_usable(slot) {
                candidates.push(FULL);
                continue;
            }
            best.allowed += 1;
            let is_shut = slot.unreachable
                || self.reserve.holds(slot.name())
                || (is_careful && slot.standing == Standing::Probation);
            if is_shut || slot.limit(half) <= slot.in_flight() {
                candidates.push(FULL);
                continue;
            }
            if slot.probe_due {
                probe = Some(index);
            }
            let is_fuller = |fullest: usize| slots[fullest].in_flight() < slot.in_flight();
            if best.fullest.is_none_or(is_fuller) {
                best.fullest = Some(index);
            }
            let mut candidate = slot.candidate(now, request, half);
            if demand.first_token_ms(slot) < candidate.first_token_ms(request.prompt_tokens)
                || (demand.keeps_pace && !slot.keeps_pace(now, request))
            {
                candidates.push(FULL);
                continue;
            }
            candidate.prefill_waiting = candidate.prefill_waiting.saturating_add(disturbance(
                slot,
                request,
                candidate.cached,
            ));
            candidates.push(candidate);
        }
        self.turn = self.turn.wrapping_add(1);
        best.found =
            probe.or_else(|| choice::choose(&candidates, request.prompt_tokens, self.turn));
        self.candidates = candidates;
        best
    }

    /// Returns what an endpoint must bring for the request to start now.
    ///
    /// An endpoint that reads long prompts or is slow would make the request late, while another
    /// one will soon have room. Once the request must start to be in time, it may use any endpoint
    /// that can answer before the deadline; work that cannot end would only waste its prefill.
    fn demand(&self, now: Millis, ticket: u64, request: &Request) -> Demand {
        let Some(item) = self.queue.item(ticket) else { return Demand::default() };
        if now + self.forecast.patience() < item.start_by {
            let keeps_pace = self.endpoints.slots.iter().any(|slot| slot.keeps_pace(now, request));
            let first_token = (item.arrived + request.first_token).since(now);
            return Demand { first_token, keeps_pace, ..Demand::default() };
        }
        let left = item.deadline.since(now);
        // The forecast may be wrong, so it holds back no request in the first half of its time.
        let is_young = now.since(item.arrived) < left;
        let output_tokens = if is_young { 0.0 } else { self.forecast.output_tokens(request) };
        Demand { first_token: left, output_tokens, keeps_pace: false }
    }

    /// Returns the last of the endpoints that the new version may use, in the order of names.
    fn last_replica(&self) -> Option<&wasabi_protocol::id::Endpoint> {
        let slots = &self.endpoints.slots;
        let count = self.versions.replicas(slots.len());
        let mut names: Vec<_> =
            slots.iter().filter(|slot| slot.offer == Offer::Unproven).map(Slot::name).collect();
        names.sort_unstable();
        names.get(count.max(1) - 1).copied()
    }
}

/// Returns how much a prompt of a lower tier would hold up the tier-0 streams of an endpoint, in
/// prompt tokens: each of its iterations reads a part of the prompt and is slower for it.
fn disturbance(slot: &Slot, request: &Request, cached: u32) -> u32 {
    if request.tier == Tier::TOP {
        return 0;
    }
    request.prompt_tokens.saturating_sub(cached) / 2 * slot.urgent.min(URGENT_COUNTED)
}

/// What an endpoint must bring for a request to start there.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    /// Longest predicted time to the first token, when no output follows.
    first_token: Millis,
    /// Output tokens that must follow in this time too.
    output_tokens: f64,
    /// Whether it must keep the time between tokens.
    keeps_pace: bool,
}

impl Demand {
    /// Returns the longest predicted time to the first token on an endpoint.
    fn first_token_ms(&self, slot: &Slot) -> f64 {
        let most = self.first_token.0 as f64;
        most - (self.output_tokens * slot.per_token_ms).min(STREAM_PART_MAX * most)
    }
}

#[derive(Debug, Default)]
struct Best {
    /// Endpoints of the side.
    offered: usize,
    /// Those of them that the request may use.
    allowed: usize,
    /// The best of those that have room.
    found: Option<usize>,
    /// The one of them with the most in flight.
    fullest: Option<usize>,
}
