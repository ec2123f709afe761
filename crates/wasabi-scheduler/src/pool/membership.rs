//! Endpoint membership: registration, renewal, restart, departure and expiry.

use wasabi_protocol::{
    clock::Millis, contract::Tier, endpoint::Announcement, fingerprint::Body, id, rpc::Departure,
};
use wasabi_routing::pace::Class;

use super::{
    endpoint::{Announced, EndpointState},
    owner::Pool,
};

/// Time within which broken connections to one endpoint count as a single crash.
///
/// All connections to a dead process break within a round trip; the rest allows for slow holders.
const CRASH_WINDOW: Millis = Millis(2_500);

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
                self.record_crash(now, &old, None);
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
                self.record_crash(now, &endpoint, None);
            }
        }
        self.update_versions();
    }

    /// Handles a connection to an endpoint that broke after bytes of a request were sent.
    pub(super) fn connection_broken(
        &mut self,
        now: Millis,
        name: &id::Endpoint,
        request: (Body, id::Organisation),
    ) {
        let Some(index) = self.endpoints.find(name) else { return };
        // It gets no new requests before its next announcement.
        self.endpoints.list[index].unreachable = true;
        let batch = self.batch(&self.endpoints.list[index], Some(request));
        let endpoint = &mut self.endpoints.list[index];
        if endpoint.last_crash.is_some_and(|at| now.since(at) < CRASH_WINDOW) {
            return;
        }
        endpoint.last_crash = Some(now);
        self.suspect_requests(now, &batch);
    }

    fn record_crash(
        &mut self,
        now: Millis,
        endpoint: &EndpointState,
        request: Option<(Body, id::Organisation)>,
    ) {
        if endpoint.last_crash.is_some_and(|at| now.since(at) < CRASH_WINDOW) {
            return;
        }
        let batch = self.batch(endpoint, request);
        self.suspect_requests(now, &batch);
    }

    fn suspect_requests(&mut self, now: Millis, batch: &[(Body, id::Organisation)]) {
        if batch.is_empty() {
            return;
        }
        let batch: Vec<_> = batch.iter().map(|(body, name)| (*body, name)).collect();
        self.suspects.record_crash(now, &batch);
    }

    /// Returns the requests that run on an endpoint, without duplicate fingerprints.
    fn batch(
        &self,
        endpoint: &EndpointState,
        request: Option<(Body, id::Organisation)>,
    ) -> Vec<(Body, id::Organisation)> {
        let running = endpoint.running.iter().filter_map(|attempt| self.running.get(*attempt));
        let mut batch: Vec<_> = running
            .map(|running| (running.request.fingerprint, running.request.organisation.clone()))
            .chain(request)
            .collect();
        batch.sort_unstable();
        batch.dedup_by_key(|(fingerprint, _)| *fingerprint);
        batch
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
