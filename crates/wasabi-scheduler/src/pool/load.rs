//! What a pool under pressure did in the last second, for the log.

use wasabi_protocol::{clock::Millis, request::Report};

use super::{crash::Note, event::Action, owner::Pool, running::Running};

/// Time that one summary covers.
const INTERVAL: Millis = Millis::from_secs(1);

/// Counts since the last summary.
#[derive(Debug, Default)]
pub(super) struct Meter {
    since: Millis,
    granted: u32,
    refused: u32,
    ended: u32,
    held: Millis,
    at_endpoint: Millis,
}

/// What a pool with waiting or refused requests did in some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// The time that it covers.
    pub time: Millis,
    /// Requests that wait now.
    pub waiting: u32,
    /// Requests that hold a grant now.
    pub running: u32,
    /// How many may hold one.
    pub capacity: u32,
    /// Requests that got a grant.
    pub granted: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Mean time from a grant to its release, of the grants that were released.
    pub held: Millis,
    /// Mean time of these requests at their endpoints, as their holders measured it. The rest of
    /// `held` is the way of grants and releases.
    pub at_endpoint: Millis,
}

impl Meter {
    /// Counts the answers to callers among the actions of a step.
    pub(super) fn record_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Grant { .. } => self.granted += 1,
                Action::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }

    /// Records a released grant.
    pub(super) fn record_release(&mut self, now: Millis, running: &Running, report: &Report) {
        let Some(first_token) = report.first_token else { return };
        self.ended += 1;
        self.held = self.held + now.since(running.started);
        self.at_endpoint = self.at_endpoint + first_token + report.stream;
    }
}

impl Pool {
    /// Notes a summary once a second while requests wait or were refused.
    pub(super) fn summarise_load(&mut self, now: Millis) {
        let time = now.since(self.meter.since);
        if time < INTERVAL {
            return;
        }
        let meter = std::mem::replace(&mut self.meter, Meter { since: now, ..Meter::default() });
        let load = self.pressure(now);
        let waiting = load.waiting.iter().sum();
        if waiting == 0 && meter.refused == 0 {
            return;
        }
        let mean = |sum: Millis| Millis(sum.0 / u64::from(meter.ended.max(1)));
        self.note(Note::Load(Summary {
            time,
            waiting,
            running: load.running.iter().sum(),
            capacity: load.capacity,
            granted: meter.granted,
            refused: meter.refused,
            held: mean(meter.held),
            at_endpoint: mean(meter.at_endpoint),
        }));
    }
}
