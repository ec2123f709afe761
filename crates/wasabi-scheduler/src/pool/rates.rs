//! Endpoints that accept only some requests a second.

use wasabi_protocol::{clock::Millis, rpc::EndpointRate};
use wasabi_routing::rate::Change;

use super::{crash::Note, endpoint::EndpointState, owner::Pool};

impl Pool {
    /// Records the rates that entries report.
    pub(super) fn record_rates(&mut self, now: Millis, rates: &[EndpointRate]) {
        for rate in rates {
            if self.rates.record(now, rate) == Change::Unchanged {
                continue;
            }
            let per_1000_s = rate.named.per_s.map(|per_s| (per_s * 1_000.0) as u64);
            self.note(Note::Rate { endpoint: rate.endpoint.clone(), per_1000_s });
        }
    }

    /// Returns whether the rate of an endpoint allows a request now.
    pub(super) fn is_rate_open(&self, now: Millis, endpoint: &EndpointState) -> bool {
        self.rates.is_open(now, endpoint.name(), endpoint.announcement.incarnation)
    }

    /// Returns how many requests the endpoints together run at one time, at most. One that limits their
    /// rate counts with those that it runs at that rate, not with its free places.
    pub(super) fn usable_capacity(&self) -> f64 {
        if self.endpoints.list.is_empty() {
            // Announcements may still be on their way.
            return 1.0;
        }
        let capacity = self.endpoints.list.iter().map(|endpoint| {
            let limit = f64::from(endpoint.limit(false));
            let incarnation = endpoint.announcement.incarnation;
            let per_s = self.rates.per_s(endpoint.name(), incarnation);
            per_s.map_or(limit, |per_s| limit.min(self.forecast.running_at(per_s)))
        });
        capacity.sum()
    }
}
