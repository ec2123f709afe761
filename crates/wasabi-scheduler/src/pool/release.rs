//! Ended attempts: freeing their capacity and learning from their reports.

use wasabi_protocol::{
    clock::Millis,
    contract::Tier,
    endpoint::Kind,
    id,
    request::{End, Report},
    rpc::Release,
};
use wasabi_rollout::{credit::Side, evidence::Observation};
use wasabi_routing::{pace::Sample, quarantine::Progress};

use super::{event::Action, owner::Pool, running::Running};

/// Grant id in a release whose sender does not know the actual id.
const UNKNOWN_GRANT: id::Grant = id::Grant(0);

/// Minimum age at which a grant that its holder does not report counts as orphaned.
///
/// A younger grant may have crossed the holder's report in transit, or the report may have
/// overtaken the acquire call.
const ORPHAN_GRACE: Millis = Millis::from_secs(1);

impl Pool {
    pub(super) fn release(&mut self, now: Millis, release: &Release, actions: &mut Vec<Action>) {
        if !self.ends_current_grant(release) {
            return;
        }
        let Some(running) = self.running.remove(release.attempt) else {
            // The holder ended the attempt, so nothing waits for the answer to its acquire call.
            self.discard(release.attempt, actions);
            return;
        };
        self.free(&running);
        self.forecast.record(now, &running, &release.report);
        self.meter.record_release(now, &running, &release.report);
        self.learn_pace(now, &running, &release.report);
        self.learn_version(now, &running, &release.report);
        let request = &running.request;
        let has_begun = release.report.first_token.is_some();
        if has_begun && !request.parts.is_empty() {
            let began = now - release.report.stream;
            self.poison.record_answer(now, began, &request.parts);
        }
        match release.report.end {
            End::Finished => {
                self.suspects.record_finish(now, request.fingerprint);
                self.retries.record_success(now);
            }
            End::Unreachable => {
                if let Some(endpoint) = self.endpoints.get_mut(&running.endpoint) {
                    // It gets no new requests before its next announcement.
                    endpoint.unreachable = true;
                }
            }
            End::Broken => {
                let progress = if has_begun { Progress::Begun } else { Progress::Waiting };
                self.connection_broken(now, &running, progress, &release.answered);
            }
            End::Failed | End::Silent | End::Abandoned => {}
        }
        if release.report.first_token.is_none()
            && let Some(endpoint) = self.endpoints.get_mut(&running.endpoint)
        {
            endpoint.cache.undo_sent(running.started, &running.request.prefix);
        }
    }

    /// Ends attempts that their holder neither runs nor requests. They provide no samples.
    pub(super) fn end_orphaned(&mut self, now: Millis, attempts: &[id::Attempt]) {
        for attempt in attempts {
            let running = self.running.get(*attempt);
            if running.is_none_or(|running| now.since(running.started) < ORPHAN_GRACE) {
                continue;
            }
            if let Some(running) = self.running.remove(*attempt) {
                self.free(&running);
            }
        }
    }

    /// Returns whether a release refers to the grant under which its attempt is recorded here.
    ///
    /// A holder sends the release of a grant to the owner that issued it and to the current owner.
    /// It sends the release of a dropped acquire call to the owner that it called, where the
    /// attempt may by then be recorded under the grant of another owner.
    fn ends_current_grant(&self, release: &Release) -> bool {
        let Some(running) = self.running.get(release.attempt) else { return true };
        match running.grant_id() {
            Some(number) => release.grant == number || release.grant == UNKNOWN_GRANT,
            None => release.grant != UNKNOWN_GRANT || release.owner != self.owner,
        }
    }

    /// Removes an ended attempt from its endpoint and from its organisation's account.
    pub(super) fn free(&mut self, running: &Running) {
        let attempt = running.request.attempt;
        self.suspects.end_attempt(attempt);
        self.budgets.end(&running.request.organisation);
        let Some(endpoint) = self.endpoints.get_mut(&running.endpoint) else { return };
        let Some(position) = endpoint.running.iter().position(|other| *other == attempt) else {
            return;
        };
        endpoint.running.swap_remove(position);
        endpoint.tier0_running -= u32::from(running.request.tier == Tier::TOP);
    }

    fn learn_pace(&mut self, now: Millis, running: &Running, report: &Report) {
        // Only the owner that started an attempt knows the prefill that was queued ahead of it.
        if running.grant.is_none() {
            return;
        }
        let Some(sample) = Sample::of(report, running.prefill_tokens) else { return };
        let name = &running.endpoint;
        let endpoint = self.endpoints.get_mut(name);
        if endpoint.is_some_and(|endpoint| endpoint.announcement.kind == Kind::Service)
            && !sample.silent
        {
            // The duration of a service call depends on its work, so even three slow calls in a row
            // say nothing about the endpoint.
            return;
        }
        self.pace_tracker.record(now, name, sample);
        // The concurrent prefill of other prompts makes single streams vary by more than the
        // tolerance, so the endpoint's average is compared.
        let pace =
            (self.pace_tracker.per_token_ms(name), self.pace_tracker.baseline_per_token_ms(name));
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        endpoint.last_sampled = now;
        endpoint.refresh_pace(now, &self.pace_tracker);
        if let (Some(_), (Some(own), Some(kind))) = (sample.per_token_ms, pace) {
            endpoint.bound.observe(now, own / kind.max(f64::MIN_POSITIVE));
        }
    }

    fn learn_version(&mut self, now: Millis, running: &Running, report: &Report) {
        let endpoint = self.endpoints.get_mut(&running.endpoint);
        let announced = endpoint.map(|endpoint| {
            (endpoint.announcement.hardware.clone(), endpoint.announcement.version.clone())
        });
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
            // The load at the start of an adopted attempt is known to the earlier owner only.
            let is_known = report.end == End::Finished && running.grant.is_some();
            if let Some(version) = version.filter(|_| is_known) {
                self.versions.learn_baseline(now, &version, &seen, running.cached);
            }
            return;
        }
        self.versions.observe(now, seen, running.cached);
        // The observation may have stopped the new version.
        self.versions.update_eligibility(&mut self.endpoints.list);
    }
}
