//! The endpoint that is set apart for a suspect, which must run alone.

use wasabi_protocol::{clock::Millis, id, request::Request};

use super::{endpoint::Slot, owner::Pool};

/// Time after which an endpoint that no suspect asked for is given back, in milliseconds.
const UNWANTED_AFTER: Millis = Millis(1_000);

/// At most one endpoint of a pool, since suspects run one at a time.
#[derive(Debug, Default)]
pub(super) struct Reserve {
    endpoint: Option<id::Endpoint>,
    wanted: Millis,
}

impl Reserve {
    /// Returns whether other requests must keep off the endpoint.
    pub(super) fn holds(&self, name: &id::Endpoint) -> bool {
        self.endpoint.as_ref() == Some(name)
    }
}

impl Pool {
    /// Returns an empty endpoint for a suspect. While there is none, sets one apart to drain: one
    /// without tier-0 work, with the least in flight.
    pub(super) fn alone(&mut self, now: Millis, request: &Request) -> Option<usize> {
        self.reserve.wanted = now;
        let usable = |slot: &Slot| {
            self.is_offered(slot) && !slot.unreachable && !request.avoid.contains(slot.name())
        };
        let slots = &self.endpoints.slots;
        let held = slots.iter().position(|slot| self.reserve.holds(slot.name()) && usable(slot));
        if let Some(index) = held {
            return slots[index].running.is_empty().then_some(index);
        }
        let best = slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| usable(slot))
            .min_by_key(|(_, slot)| (0 < slot.in_flight(), 0 < slot.urgent, slot.in_flight()));
        let (index, slot) = best?;
        if slot.running.is_empty() {
            self.reserve.endpoint = Some(slot.name().clone());
            return Some(index);
        }
        // The only endpoint is not drained for a suspect: all other work would stop for it.
        if 2 <= slots.iter().filter(|slot| self.is_offered(slot)).count() {
            self.reserve.endpoint = Some(slot.name().clone());
        }
        None
    }

    /// Gives the endpoint back when no suspect runs on it or waits for it.
    pub(super) fn expire_reserve(&mut self, now: Millis) {
        if self.suspects.alone().is_none() && UNWANTED_AFTER <= now.since(self.reserve.wanted) {
            self.reserve.endpoint = None;
        }
    }
}
