//! Periodic work: expiry, refusals, budget requests and overdue attempts.

use wasabi_protocol::{
    clock::Millis,
    endpoint::{self, ANNOUNCE_TIMEOUT},
    fault::{Fault, Kind},
};
use wasabi_routing::pace::{Sample, Standing};

use super::{
    dispatch::AGED_CAPACITY_FRACTION,
    event::Action,
    owner::{Pool, refuse},
};

/// Time after its deadline at which an attempt without a release counts as ended.
///
/// Holders end attempts at the deadline, so a longer-lived one means that its release was lost.
const RELEASE_GRACE: Millis = Millis::from_secs(5);

/// Time without any eligible endpoint after which waiting requests are refused.
///
/// Endpoints announce every second, so a new owner knows all of them well within this time.
const NO_ENDPOINT_TIMEOUT: Millis = Millis::from_secs(3);

/// Interval of the sweep for unreleased and overdue attempts, expired suspects and settled losses.
const SWEEP_INTERVAL: Millis = Millis(500);

/// Time without any event from which a pause of this process is inferred. The driver sends a tick
/// at least every 50 ms.
const PAUSE_THRESHOLD: Millis = Millis(1_000);

/// Maximum unused credit for aged requests, in milliseconds of the reserved capacity.
const AGED_CREDIT_MAX_MS: f64 = 10_000.0;

/// State of the periodic work.
#[derive(Debug, Default)]
pub(super) struct Timers {
    /// Slot time in milliseconds that aged requests may still use; negative after overuse.
    pub(super) aged_credit: f64,
    last_step: Millis,
    silence_ignored_until: Millis,
    last_tick: Millis,
    last_sweep: Millis,
    last_endpoint_at: Millis,
}

impl Timers {
    pub(super) fn start(&mut self, now: Millis) {
        self.last_step = now;
        self.last_tick = now;
        self.last_sweep = now;
        self.last_endpoint_at = now;
    }
}

impl Pool {
    /// Detects a pause of this process. Announcements could not be processed during the pause, so
    /// the silence of endpoints does not indicate a crash.
    pub(super) fn detect_pause(&mut self, now: Millis) {
        let pause = now.since(self.timers.last_step);
        self.timers.last_step = now;
        if PAUSE_THRESHOLD <= pause {
            self.timers.silence_ignored_until = now + ANNOUNCE_TIMEOUT;
        }
    }

    /// Returns whether a recent pause of this process may explain the silence of an endpoint.
    pub(super) fn ignores_silence(&self, now: Millis) -> bool {
        now < self.timers.silence_ignored_until
    }

    pub(super) fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.update_transit_factor();
        self.accrue_aged_credit(now);
        self.expire_endpoints(now);
        self.expire_reservation(now);
        self.refuse_expired(now, actions);
        self.refuse_overloaded(now, actions);
        self.refuse_without_endpoint(now, actions);
        if SWEEP_INTERVAL <= now.since(self.timers.last_sweep) {
            self.timers.last_sweep = now;
            self.sweep(now);
        }
        for (organisation, used) in self.budgets.slice_requests(now, &self.queue) {
            actions.push(Action::RequestBudget { organisation, used });
        }
        self.preempt(now, actions);
        self.summarise_load(now);
    }

    /// Lets more grants be held for the endpoints of a service while the way of grants and releases is
    /// long against the calls. For an engine it is short, and a request that waits there delays the
    /// tokens of others.
    fn update_transit_factor(&mut self) {
        let factor = self.forecast.transit_factor();
        for state in &mut self.endpoints.list {
            if state.announcement.kind == endpoint::Kind::Service {
                state.transit_factor = factor;
            }
        }
    }

    fn accrue_aged_credit(&mut self, now: Millis) {
        let elapsed = now.since(self.timers.last_tick).0 as f64;
        self.timers.last_tick = now;
        let reserved = f64::from(self.endpoints.capacity()) * AGED_CAPACITY_FRACTION;
        let used = f64::from(self.running.aged());
        let credit = self.timers.aged_credit + elapsed * (reserved - used);
        self.timers.aged_credit = credit.min(reserved * AGED_CREDIT_MAX_MS);
    }

    fn refuse_expired(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for item in self.queue.expire(now) {
            self.requests.remove(item.ticket);
            let message =
                "too little time is left before the deadline of the request; it was not run";
            let fault = Fault::new(Kind::DeadlineInQueue, message);
            let fault = match self.queue_wait(item.tier) {
                Millis::ZERO => fault,
                wait => fault.after(wait),
            };
            actions.push(Action::Refuse { ticket: item.ticket, fault });
        }
        let lead = self.forecast.slot_wait() + self.forecast.slot_wait();
        for ticket in self.queue.mark_late(now, lead) {
            let Some(request) = self.requests.get(ticket) else { continue };
            if self.budgets.may_start(now, &request.organisation) {
                continue;
            }
            self.queue.remove(ticket);
            self.requests.remove(ticket);
            let message = "a contract limit is exhausted; retry later or change the contract";
            refuse(actions, ticket, Kind::LimitReached, message);
        }
    }

    fn refuse_without_endpoint(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.endpoints.list.iter().any(|endpoint| self.is_eligible(endpoint)) {
            self.timers.last_endpoint_at = now;
            return;
        }
        if now.since(self.timers.last_endpoint_at) < NO_ENDPOINT_TIMEOUT {
            return;
        }
        for ticket in self.requests.tickets() {
            self.queue.remove(ticket);
            self.requests.remove(ticket);
            let message = "no endpoint currently provides this model or service";
            refuse(actions, ticket, Kind::NoEndpoint, message);
        }
    }

    fn sweep(&mut self, now: Millis) {
        let late: Vec<_> = self
            .running
            .values()
            .filter(|running| running.deadline + RELEASE_GRACE <= now)
            .map(|running| running.request.attempt)
            .collect();
        for attempt in late {
            if let Some(running) = self.running.remove(attempt) {
                self.free(&running);
            }
        }
        if !self.is_new_owner(now) {
            self.running.forget_ended();
        }
        self.sample_overdue(now);
        self.settle_crashes(now);
        self.suspects.expire(now);
        self.poison.expire(now);
        let (suspects, poison, requests) = (&self.suspects, &self.poison, &self.crash_suspects);
        self.versions.settle_losses(now, |fingerprint| {
            let has_poison =
                |(body, parts): &(_, Vec<_>)| *body == fingerprint && poison.explains(parts);
            suspects.is_quarantined(now, fingerprint) || requests.iter().any(has_poison)
        });
        if self.versions.is_moving() {
            self.versions.update_group_capacity(&self.endpoints.list);
            self.versions.update_eligibility(&mut self.endpoints.list);
        }
        for endpoint in &mut self.endpoints.list {
            if endpoint.standing == Standing::Probation {
                endpoint.refresh_pace(now, &self.pace_tracker);
            }
        }
    }

    /// Counts attempts that run much longer than usual as silent samples before they end, since an
    /// endpoint that has slowed down severely ends no attempts.
    fn sample_overdue(&mut self, now: Millis) {
        let pace_tracker = &mut self.pace_tracker;
        for running in self.running.values_mut() {
            if running.counted_overdue || running.grant.is_none() {
                continue;
            }
            let tokens = (running.prefill_tokens, running.request.output_tokens);
            let Some(after) = pace_tracker.overdue_after(&running.endpoint, tokens.0, tokens.1)
            else {
                continue;
            };
            if now.since(running.started) <= after {
                continue;
            }
            running.counted_overdue = true;
            let sample = Sample { silent: true, ..Sample::default() };
            pace_tracker.record(now, &running.endpoint, sample);
            if let Some(endpoint) = self.endpoints.get_mut(&running.endpoint) {
                endpoint.refresh_pace(now, pace_tracker);
            }
        }
    }
}
