//! Reservation of an endpoint for a suspected request, which must run alone.

use wasabi_protocol::{clock::Millis, id, request::Request};

use super::{endpoint::EndpointState, owner::Pool};

/// Time after which a reservation is released if no suspect requests it.
const RESERVATION_TIMEOUT: Millis = Millis(1_000);

/// The reserved endpoint of a pool. There is at most one, since suspects run one at a time.
#[derive(Debug, Default)]
pub(super) struct Reservation {
    endpoint: Option<id::Endpoint>,
    requested_at: Millis,
}

impl Reservation {
    /// Returns whether an endpoint is reserved, so that other requests must not use it.
    pub(super) fn holds(&self, name: &id::Endpoint) -> bool {
        self.endpoint.as_ref() == Some(name)
    }
}

impl Pool {
    /// Returns an idle endpoint for a suspect. If there is none, reserves one and lets it drain,
    /// preferably one without tier-0 requests and with the fewest requests in flight.
    pub(super) fn reserve_endpoint(
        &mut self,
        now: Millis,
        ticket: u64,
        request: &Request,
    ) -> Option<usize> {
        self.reservation.requested_at = now;
        let queued = self.queued_for(now, ticket, request);
        let usable = |endpoint: &EndpointState| {
            self.is_eligible(endpoint)
                && !endpoint.unreachable
                && !request.avoid.contains(endpoint.name())
                && endpoint.closed_for(request, queued).is_none()
        };
        let endpoints = &self.endpoints.list;
        let held = endpoints
            .iter()
            .position(|endpoint| self.reservation.holds(endpoint.name()) && usable(endpoint));
        let can_start = |endpoint: &EndpointState| {
            endpoint.running.is_empty() && self.is_rate_open(now, endpoint)
        };
        if let Some(index) = held {
            return can_start(&endpoints[index]).then_some(index);
        }
        let best =
            endpoints.iter().enumerate().filter(|(_, endpoint)| usable(endpoint)).min_by_key(
                |(_, endpoint)| {
                    (0 < endpoint.in_flight(), 0 < endpoint.tier0_running, endpoint.in_flight())
                },
            );
        let (index, endpoint) = best?;
        if can_start(endpoint) {
            self.reservation.endpoint = Some(endpoint.name().clone());
            return Some(index);
        }
        // The only endpoint is never drained for a suspect, since all other requests would wait.
        if 2 <= endpoints.iter().filter(|endpoint| self.is_eligible(endpoint)).count() {
            self.reservation.endpoint = Some(endpoint.name().clone());
        }
        None
    }

    /// Releases the reservation when no suspect runs on the endpoint or waits for it.
    pub(super) fn expire_reservation(&mut self, now: Millis) {
        if self.suspects.alone().is_none()
            && RESERVATION_TIMEOUT <= now.since(self.reservation.requested_at)
        {
            self.reservation.endpoint = None;
        }
    }
}
