//! Endpoint membership: registration, renewal, restart, departure and expiry.

use wasabi_protocol::{clock::Millis, contract::Tier, endpoint::Announcement, id, rpc::Departure};
use wasabi_routing::pace::Class;

use super::{crash::Sign, endpoint::Announced, owner::Pool};

impl Pool {
    pub(super) fn announce(&mut self, now: Millis, announcement: Announcement) {
        if announcement.backend != self.backend {
            return;
        }
        let name = announcement.name.clone();
        let class = Class::from(&announcement);
        match self.endpoints.announce(now, announcement) {
            Announced::Joined => self.join(now, &name, class),
            Announced::Restarted(old) => {
                self.pace_tracker.leave(&name);
                self.pace_tracker.join(&name, class);
                self.record_crash(now, &old, Sign::Restarted);
            }
            Announced::Renewed => self.pace_tracker.join(&name, class),
            Announced::Ignored => return,
        }
        self.update_versions();
        if let Some(endpoint) = self.endpoints.get_mut(&name) {
            endpoint.refresh_pace(now, &self.pace_tracker);
        }
    }

    pub(super) fn leave(&mut self, now: Millis, name: &id::Endpoint) {
        self.endpoints.leave(now, name);
        self.pace_tracker.leave(name);
        self.update_versions();
    }

    /// Removes an endpoint that left under an earlier owner, unless a newer process has registered
    /// under its name.
    pub(super) fn apply_departure(&mut self, now: Millis, departure: &Departure) {
        if self.endpoints.apply_departure(now, departure) {
            self.pace_tracker.leave(&departure.endpoint);
            self.update_versions();
        }
    }

    /// Removes endpoints whose announcements stopped and suspects the requests that ran on them,
    /// unless a pause of this process or a fault of its link may explain the silence.
    pub(super) fn expire_endpoints(&mut self, now: Millis) {
        for endpoint in self.endpoints.expire(now) {
            self.pace_tracker.leave(endpoint.name());
            if !endpoint.common_silence && !self.ignores_silence(now) {
                self.record_crash(now, &endpoint, Sign::Silent);
            }
        }
        self.update_versions();
    }

    fn join(&mut self, now: Millis, name: &id::Endpoint, class: Class) {
        self.pace_tracker.join(name, class);
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        endpoint.last_heard = now;
        // Attempts that started before the endpoint expired may still use its capacity.
        for running in self.running.values().filter(|running| running.endpoint == *name) {
            endpoint.running.push(running.request.attempt);
            endpoint.tier0_running += u32::from(running.request.tier == Tier::TOP);
        }
    }
}
