//! Endpoints that come, renew their announcement, restart, leave or fall silent.

use wasabi_protocol::{
    clock::Millis, contract::Tier, endpoint::Announcement, fingerprint::Body, id, rpc::Left,
};
use wasabi_routing::pace::Class;

use super::{
    endpoint::{Announced, Slot},
    owner::Pool,
};

/// Time in which broken connections to one endpoint count as one crash, in milliseconds.
///
/// All connections of a dead process break within a round trip; the rest is for slow holders.
const CRASH_WINDOW: Millis = Millis(2_500);

impl Pool {
    pub(super) fn announce(&mut self, now: Millis, announcement: Announcement) {
        if announcement.backend != self.backend {
            return;
        }
        let name = announcement.name.clone();
        let kind = Class::from(&announcement);
        match self.endpoints.announce(now, announcement) {
            Announced::Joined => self.join(now, &name, kind),
            Announced::Restarted(old) => {
                self.board.leave(&name);
                self.board.join(&name, kind);
                self.crashed(now, &old, None);
            }
            Announced::Renewed => self.board.join(&name, kind),
            Announced::Ignored => return,
        }
        self.settle_versions();
        if let Some(slot) = self.endpoints.get_mut(&name) {
            slot.refresh(now, &self.board);
        }
    }

    pub(super) fn leave(&mut self, now: Millis, name: &id::Endpoint) {
        self.endpoints.leave(now, name);
        self.board.leave(name);
        self.settle_versions();
    }

    /// Takes into account that an endpoint left under an earlier owner, unless a later process of it
    /// is there.
    pub(super) fn left(&mut self, now: Millis, left: &Left) {
        if self.endpoints.left(now, left) {
            self.board.leave(&left.endpoint);
            self.settle_versions();
        }
    }

    /// Takes out the endpoints that fell silent; what ran on them is suspected, unless the silence
    /// may come from a pause of this process or from its link.
    pub(super) fn expire_endpoints(&mut self, now: Millis) {
        for slot in self.endpoints.expire(now) {
            self.board.leave(slot.name());
            if !slot.excused && !self.excuses_silence(now) {
                self.crashed(now, &slot, None);
            }
        }
        self.settle_versions();
    }

    /// Notes that a connection to an endpoint broke after bytes of a request left.
    pub(super) fn broke(
        &mut self,
        now: Millis,
        name: &id::Endpoint,
        request: (Body, id::Organisation),
    ) {
        let Some(index) = self.endpoints.find(name) else { return };
        // It gets no new work before it announces itself again.
        self.endpoints.slots[index].unreachable = true;
        let batch = self.batch(&self.endpoints.slots[index], Some(request));
        let slot = &mut self.endpoints.slots[index];
        if slot.crashed.is_some_and(|at| now.since(at) < CRASH_WINDOW) {
            return;
        }
        slot.crashed = Some(now);
        self.suspect(now, &batch);
    }

    fn crashed(&mut self, now: Millis, slot: &Slot, request: Option<(Body, id::Organisation)>) {
        if slot.crashed.is_some_and(|at| now.since(at) < CRASH_WINDOW) {
            return;
        }
        let batch = self.batch(slot, request);
        self.suspect(now, &batch);
    }

    fn suspect(&mut self, now: Millis, batch: &[(Body, id::Organisation)]) {
        if batch.is_empty() {
            return;
        }
        let batch: Vec<_> = batch.iter().map(|(body, name)| (*body, name)).collect();
        self.suspects.record_crash(now, &batch);
    }

    /// Returns the requests that run on an endpoint, each fingerprint once.
    fn batch(
        &self,
        slot: &Slot,
        request: Option<(Body, id::Organisation)>,
    ) -> Vec<(Body, id::Organisation)> {
        let running = slot.running.iter().filter_map(|attempt| self.running.get(*attempt));
        let mut batch: Vec<_> = running
            .map(|running| (running.request.fingerprint, running.request.organisation.clone()))
            .chain(request)
            .collect();
        batch.sort_unstable();
        batch.dedup_by_key(|(fingerprint, _)| *fingerprint);
        batch
    }

    fn join(&mut self, now: Millis, name: &id::Endpoint, kind: Class) {
        self.board.join(name, kind);
        let Some(slot) = self.endpoints.get_mut(name) else { return };
        slot.heard = now;
        // Attempts that outlived a silence of the endpoint still take up its capacity.
        for running in self.running.values().filter(|running| running.endpoint == *name) {
            slot.running.push(running.request.attempt);
            slot.urgent += u32::from(running.request.tier == Tier::TOP);
        }
    }
}
