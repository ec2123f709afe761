//! What an ended attempt shows of its endpoint, its version and itself.

use wasabi_protocol::{
    clock::Millis,
    contract::Tier,
    endpoint::Kind,
    id,
    request::{End, Report},
    rpc::Release,
};
use wasabi_rollout::{credit::Side, evidence::Observation};
use wasabi_routing::pace::Sample;

use super::{event::Action, owner::Pool, running::Running};

/// The number in the release of a grant whose number its holder does not know.
const UNKNOWN: id::Grant = id::Grant(0);

/// Age up to which a grant counts although its holder does not know of it: what the holder tells may
/// have crossed it on the way, or have overtaken the call for it.
const CROSSING: Millis = Millis::from_secs(1);

impl Pool {
    pub(super) fn release(&mut self, now: Millis, release: &Release, actions: &mut Vec<Action>) {
        if !self.is_meant(release) {
            return;
        }
        let Some(running) = self.running.remove(release.attempt) else {
            // It ended at its holder, so its call waits for nothing any more.
            self.discard(release.attempt, actions);
            return;
        };
        self.free(&running);
        self.forecast.ended(now, &running, &release.report);
        self.learn_pace(now, &running, &release.report);
        self.learn_version(now, &running, &release.report);
        let request = &running.request;
        match release.report.end {
            End::Finished => {
                self.suspects.record_finish(now, request.fingerprint);
                self.retries.record_success(now);
            }
            End::Unreachable => {
                if let Some(slot) = self.endpoints.get_mut(&running.endpoint) {
                    // It gets no new work before it announces itself again.
                    slot.unreachable = true;
                }
            }
            End::Broken => {
                let fingerprint = (request.fingerprint, request.organisation.clone());
                self.broke(now, &running.endpoint, fingerprint);
            }
            End::Failed | End::Silent | End::Abandoned => {}
        }
        if release.report.first_token.is_none()
            && let Some(slot) = self.endpoints.get_mut(&running.endpoint)
        {
            slot.cache.undo_sent(running.started, &running.request.prefix);
        }
    }

    /// Ends the attempts that their holder neither runs nor asks for, and which show nothing.
    pub(super) fn end_unheld(&mut self, now: Millis, attempts: &[id::Attempt]) {
        for attempt in attempts {
            let running = self.running.get(*attempt);
            if running.is_none_or(|running| now.since(running.started) < CROSSING) {
                continue;
            }
            if let Some(running) = self.running.remove(*attempt) {
                self.free(&running);
            }
        }
    }

    /// Returns whether a release is that of the grant by which its attempt counts here.
    ///
    /// A holder releases a grant at its giver and at the present owner, and a call that it dropped at
    /// the owner that it asked, where the attempt may by then count by the grant of another owner.
    fn is_meant(&self, release: &Release) -> bool {
        let Some(running) = self.running.get(release.attempt) else { return true };
        match running.number() {
            Some(number) => release.grant == number || release.grant == UNKNOWN,
            None => release.grant != UNKNOWN || release.owner != self.owner,
        }
    }

    /// Takes an ended attempt off its endpoint and out of its organisation's account.
    pub(super) fn free(&mut self, running: &Running) {
        let attempt = running.request.attempt;
        self.suspects.end_attempt(attempt);
        self.budgets.end(&running.request.organisation);
        let Some(slot) = self.endpoints.get_mut(&running.endpoint) else { return };
        let Some(position) = slot.running.iter().position(|other| *other == attempt) else {
            return;
        };
        slot.running.swap_remove(position);
        slot.urgent -= u32::from(running.request.tier == Tier::TOP);
    }

    fn learn_pace(&mut self, now: Millis, running: &Running, report: &Report) {
        // The owner that started an adopted attempt knew what lay ahead of it; this one does not.
        if running.grant.is_none() {
            return;
        }
        let Some(sample) = Sample::of(report, running.prefill_tokens) else { return };
        let name = &running.endpoint;
        let slot = self.endpoints.get_mut(name);
        if slot.is_some_and(|slot| slot.announcement.kind == Kind::Service) && !sample.silent {
            // Calls of a plain service take as long as their work; three long ones in a row say
            // nothing about the endpoint.
            return;
        }
        self.board.record(now, name, sample);
        // Single streams differ by more than the tolerance through the prompts read beside them,
        // so the endpoint's average is compared.
        let pace = (self.board.per_token_ms(name), self.board.baseline_per_token_ms(name));
        let Some(slot) = self.endpoints.get_mut(name) else { return };
        slot.sampled = now;
        slot.refresh(now, &self.board);
        if let (Some(_), (Some(own), Some(kind))) = (sample.per_token_ms, pace) {
            slot.bound.observe(now, own / kind.max(f64::MIN_POSITIVE));
        }
    }

    fn learn_version(&mut self, now: Millis, running: &Running, report: &Report) {
        let slot = self.endpoints.get_mut(&running.endpoint);
        let announced = slot
            .map(|slot| (slot.announcement.hardware.clone(), slot.announcement.version.clone()));
        let (hardware, version) = announced.unzip();
        let hardware = hardware.unwrap_or_default();
        let own = running.request.prompt_tokens.saturating_sub(running.cached);
        let seen = Observation {
            route: &running.request.route,
            side: running.side.unwrap_or(Side::Old),
            endpoint: &running.endpoint,
            hardware: &hardware,
            fingerprint: running.request.fingerprint,
            load: running.load,
            queued_prompt_tokens: running.prefill_tokens.saturating_sub(own),
            report,
        };
        if running.side.is_none() {
            // An adopted attempt was started by an owner that knew its load.
            let is_known = report.end == End::Finished && running.grant.is_some();
            if let Some(version) = version.filter(|_| is_known) {
                self.versions.learn(now, &version, &seen, running.cached);
            }
            return;
        }
        self.versions.observe(now, seen, running.cached);
        // The evidence may have stopped the new version.
        self.versions.mark(&mut self.endpoints.slots);
    }
}
