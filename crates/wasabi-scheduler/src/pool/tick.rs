//! What is due with time: expiry, refusals, budgets, samples of overdue attempts.

use wasabi_protocol::{
    clock::Millis,
    endpoint::SILENT_AFTER,
    fault::{Fault, Kind},
};
use wasabi_routing::pace::{Sample, Standing};

use super::{
    dispatch::AGED_PART,
    event::Action,
    owner::{Pool, refuse},
};

/// Time after its deadline at which an attempt that was never released is counted as ended.
///
/// Holders end attempts at the deadline; only a lost release message leaves one behind.
const RELEASE_LATE: Millis = Millis::from_secs(5);

/// Time without any endpoint after which requests are refused instead of kept waiting.
///
/// Endpoints announce every second, so a new owner knows all of them well within this time.
const NO_ENDPOINT_AFTER: Millis = Millis::from_secs(3);

/// Time between two searches for overdue attempts and settled losses, in milliseconds.
const SWEEP_EVERY: Millis = Millis(500);

/// Time without any step from which on this process counts as paused, in milliseconds.
///
/// The shell gives a tick at least every 50 ms.
const PAUSED_AFTER: Millis = Millis(1_000);

/// Unused credit for aged work that is kept, in milliseconds of the reserved fraction.
const AGED_CREDIT_SPAN: f64 = 10_000.0;

/// When the work that is due with time was last done.
#[derive(Debug, Default)]
pub(super) struct Timers {
    /// Slot time that aged work may still use, in milliseconds; negative when it used more.
    pub(super) aged_credit: f64,
    last_step: Millis,
    excused_until: Millis,
    last_tick: Millis,
    last_sweep: Millis,
    had_endpoint: Millis,
}

impl Timers {
    pub(super) fn start(&mut self, now: Millis) {
        self.last_step = now;
        self.last_tick = now;
        self.last_sweep = now;
        self.had_endpoint = now;
    }
}

impl Pool {
    /// Notes whether this process was paused. Endpoints announced themselves meanwhile to a process
    /// that did not listen, so their silence is no sign of a crash.
    pub(super) fn notice_pause(&mut self, now: Millis) {
        let pause = now.since(self.timers.last_step);
        self.timers.last_step = now;
        if PAUSED_AFTER <= pause {
            self.timers.excused_until = now + SILENT_AFTER;
        }
    }

    /// Returns whether the silence of an endpoint may come from a pause of this process.
    pub(super) fn excuses_silence(&self, now: Millis) -> bool {
        now < self.timers.excused_until
    }

    pub(super) fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.accrue(now);
        self.expire_endpoints(now);
        self.expire_reserve(now);
        self.refuse_expired(now, actions);
        self.refuse_crowded(now, actions);
        self.refuse_without_endpoint(now, actions);
        if SWEEP_EVERY <= now.since(self.timers.last_sweep) {
            self.timers.last_sweep = now;
            self.sweep(now);
        }
        for (organisation, used) in self.budgets.asks(now, &self.queue) {
            actions.push(Action::RequestBudget { organisation, used });
        }
        self.preempt(now, actions);
    }

    fn accrue(&mut self, now: Millis) {
        let elapsed = now.since(self.timers.last_tick).0 as f64;
        self.timers.last_tick = now;
        let part = f64::from(self.endpoints.capacity()) * AGED_PART;
        let used = f64::from(self.running.aged());
        let credit = self.timers.aged_credit + elapsed * (part - used);
        self.timers.aged_credit = credit.min(part * AGED_CREDIT_SPAN);
    }

    fn refuse_expired(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for item in self.queue.expire(now) {
            self.requests.remove(item.ticket);
            let message = "the request waited until too little time was left to run; nothing ran";
            let fault = Fault::new(Kind::DeadlineInQueue, message);
            let fault = match self.wait(item.tier) {
                Millis::ZERO => fault,
                wait => fault.after(wait),
            };
            actions.push(Action::Refuse { ticket: item.ticket, fault });
        }
        let lead = self.forecast.patience() + self.forecast.patience();
        for ticket in self.queue.mark_late(now, lead) {
            let Some(request) = self.requests.get(ticket) else { continue };
            if self.budgets.may_start(now, &request.organisation) {
                continue;
            }
            self.queue.remove(ticket);
            self.requests.remove(ticket);
            let message = "a limit of the contract is used up; wait, or change the contract";
            refuse(actions, ticket, Kind::LimitReached, message);
        }
    }

    fn refuse_without_endpoint(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.endpoints.slots.iter().any(|slot| self.is_offered(slot)) {
            self.timers.had_endpoint = now;
            return;
        }
        if now.since(self.timers.had_endpoint) < NO_ENDPOINT_AFTER {
            return;
        }
        for ticket in self.requests.tickets() {
            self.queue.remove(ticket);
            self.requests.remove(ticket);
            let message = "no endpoint provides this model or service now";
            refuse(actions, ticket, Kind::NoEndpoint, message);
        }
    }

    fn sweep(&mut self, now: Millis) {
        let late: Vec<_> = self
            .running
            .values()
            .filter(|running| running.deadline + RELEASE_LATE <= now)
            .map(|running| running.request.attempt)
            .collect();
        for attempt in late {
            if let Some(running) = self.running.remove(attempt) {
                self.free(&running);
            }
        }
        if !self.is_new(now) {
            self.running.forget_ended();
        }
        self.sample_overdue(now);
        self.suspects.expire(now);
        let suspects = &self.suspects;
        self.versions.settle_losses(now, |fingerprint| suspects.is_quarantined(now, fingerprint));
        if self.versions.is_moving() {
            self.versions.regroup(&self.endpoints.slots);
            self.versions.mark(&mut self.endpoints.slots);
        }
        for slot in &mut self.endpoints.slots {
            if slot.standing == Standing::Probation {
                slot.refresh(now, &self.board);
            }
        }
    }

    /// Counts attempts that run for much longer than their kind as bad samples before they end,
    /// since an endpoint that slows down badly ends nothing.
    fn sample_overdue(&mut self, now: Millis) {
        let board = &mut self.board;
        for running in self.running.values_mut() {
            if running.overdue || running.grant.is_none() {
                continue;
            }
            let tokens = (running.prefill_tokens, running.request.output_tokens);
            let Some(after) = board.overdue_after(&running.endpoint, tokens.0, tokens.1) else {
                continue;
            };
            if now.since(running.started) <= after {
                continue;
            }
            running.overdue = true;
            let sample = Sample { silent: true, ..Sample::default() };
            board.record(now, &running.endpoint, sample);
            if let Some(slot) = self.endpoints.get_mut(&running.endpoint) {
                slot.refresh(now, board);
            }
        }
    }
}
