//! The stage of a version move as a pure function of time and evidence.

use std::ops::RangeInclusive;

use wasabi_protocol::{
    clock::Millis,
    command::{Move, Plan, Stage},
    id, rpc,
};

use crate::{
    credit,
    evidence::{Count, Counts},
    trial,
};

/// Part of the time until `finish_by` that is spent at the start share.
///
/// Most faults show there, where they meet the fewest requests.
pub const START_PART: f64 = 0.3;

/// Part of the time until `finish_by` at which all traffic has moved, if evidence allows.
pub const MOVED_PART: f64 = 0.9;

/// Longest time that a late move must spend in one stage, before it may widen.
///
/// A short move spends a quarter of its planned stages instead; with ten seconds a stage, a move of
/// fifteen seconds could neither end in time nor show its new version to enough requests.
pub const STAGE_DURATION_MIN: Millis = Millis::from_secs(10);

/// Share from which on a move with stages below [`STAGE_DURATION_MIN`] widens only when the pace was accepted
/// over all routes, in thousandths.
///
/// Its stages end before their requests are judged. By time alone, a slow version would be
/// completed before it shows. A model or service without requests has no pace to judge.
const LATENCY_FROM_PERMILLE: u32 = 320;

/// Longest watch of a move that is ordered by the time until its end.
const ORDERED_WATCH_MAX: Millis = Millis(1_000);

/// Parts of the time until its end that such a move keeps at most for its watch, and for commits
/// and check-ins on the way, as divisors.
const ORDERED_WATCH_DIVISOR: u64 = 10;
const ORDERED_SPARE_DIVISOR: u64 = 20;

/// First share of such a move, in thousandths, times its milliseconds.
///
/// A verdict needs a number of requests, so a shorter move starts with a larger share.
const ORDERED_START: u64 = 1_200_000;
const ORDERED_START_PERMILLE: RangeInclusive<u64> = 20..=80;

/// The full share, in thousandths.
const FULL: u32 = 1_000;

/// Evidence of one move, collected by the control leader from check-ins.
#[derive(Debug, Clone)]
pub struct RolloutEvidence {
    trials: trial::RouteTrials,
    stopped: Option<id::Route>,
}

/// The endpoints that a move can use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints of the new version that are announced now.
    pub new: usize,
    /// Endpoints that all traffic needs, such as those of the old version at the start.
    pub required: usize,
}

/// A change of stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// The new stage.
    pub stage: Stage,
    /// Why, for the operator.
    pub reason: String,
}

impl RolloutEvidence {
    /// Returns a ledger for a move that concerns `routes` routes.
    pub fn new(routes: usize) -> Self {
        Self { trials: trial::RouteTrials::new(routes), stopped: None }
    }

    /// Has requests judged in the time of a move that takes `span`.
    #[must_use]
    pub fn with_duration(mut self, span: Millis) -> Self {
        self.trials = self.trials.with_duration(span);
        self
    }

    /// Takes the evidence of one check-in into account. Evidence of other moves is ignored.
    pub fn add(&mut self, now: Millis, plan: &Plan, evidence: &[rpc::Evidence]) {
        // The old version first, so that the new one is compared with the same span of time.
        for version in [&plan.from, &plan.to] {
            for item in evidence {
                if item.name == plan.name && item.version == *version {
                    self.add_one(now, plan, item);
                }
            }
        }
        self.trials.judge(now);
    }

    /// Returns the trials of the routes.
    pub const fn trials(&self) -> &trial::RouteTrials {
        &self.trials
    }

    fn add_one(&mut self, now: Millis, plan: &Plan, item: &rpc::Evidence) {
        let count = Count { requests: item.requests, errors: item.errors, slow: item.slow };
        let counts = if item.version == plan.from {
            Counts { old: count, ..Counts::default() }
        } else {
            Counts { new: count, ..Counts::default() }
        };
        self.trials.add(now, &item.route, counts);
        if item.stopped && item.version == plan.to && self.stopped.is_none() {
            self.stopped = Some(item.route.clone());
        }
    }

    /// Returns why the version is bad, if it is.
    fn rejected(&self) -> Option<String> {
        self.trials.rejection_reason().or_else(|| {
            let route = self.stopped.as_ref()?;
            Some(format!("stopped by the owner of a pool with route {route}"))
        })
    }
}

/// The times and the first share of a move that must have ended within a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Time from the order until all traffic must have moved.
    pub finish_after: Millis,
    /// The watch after that.
    pub watch: Millis,
    /// The first share, in thousandths.
    pub start_permille: u32,
}

impl Schedule {
    /// Returns the schedule of a move that must be done or taken back `within` this time.
    pub fn for_duration(within: Millis) -> Self {
        let watch = ORDERED_WATCH_MAX.min(Millis(within.0 / ORDERED_WATCH_DIVISOR));
        let spare = Millis(within.0 / ORDERED_SPARE_DIVISOR);
        let (least, most) = (*ORDERED_START_PERMILLE.start(), *ORDERED_START_PERMILLE.end());
        Self {
            finish_after: within - watch - spare,
            watch,
            start_permille: (ORDERED_START / within.0.max(1)).clamp(least, most) as u32,
        }
    }
}

/// Returns the next stage of a move, or `None` while it stays where it is.
///
/// `now` and the times of the move are in milliseconds since the Unix epoch.
pub fn decide(
    now: Millis,
    order: &Move,
    ledger: &RolloutEvidence,
    supply: EndpointCounts,
) -> Option<Transition> {
    if order.stage.is_final() {
        return None;
    }
    if let Some(reason) = ledger.rejected() {
        return Some(Transition { stage: Stage::TakenBack, reason });
    }
    match order.stage {
        Stage::Share(permille) => widen(now, order, permille, ledger, supply),
        Stage::Watching { until } if until <= now => {
            let until = until + Millis(order.plan.watch.0 / 4);
            let longest = order.plan.finish_by + order.plan.watch + order.plan.watch;
            if ledger.trials.leans_to_rejection() && until <= longest {
                let reason = "watched longer: the evidence leans towards a fault".to_owned();
                return Some(Transition { stage: Stage::Watching { until }, reason });
            }
            let unproven = ledger.trials.unproven_routes(order.started);
            Some(Transition {
                stage: Stage::Done,
                reason: summary("watched without fault", &unproven),
            })
        }
        Stage::Watching { .. } | Stage::Done | Stage::TakenBack => None,
    }
}

/// Returns the next wider share when its time has come.
///
/// A stage is left at its planned time when every route with evidence was accepted in it. Routes
/// that were not, because they carry little traffic, hold it back by at most half a step, so that
/// the move ends in time; until the watch ends they get a smaller share (see [`credit`]).
fn widen(
    now: Millis,
    order: &Move,
    permille: u32,
    ledger: &RolloutEvidence,
    supply: EndpointCounts,
) -> Option<Transition> {
    let Times { planned, latest, least } = leave_times(order, permille);
    if now < planned || now < order.changed + least {
        return None;
    }
    let stage = if FULL <= permille {
        Stage::Watching { until: now + order.plan.watch }
    } else {
        Stage::Share((permille.max(1) * 2).min(FULL))
    };
    if supply.new < credit::replica_limit(stage, supply.required).min(supply.required).max(1) {
        return None;
    }
    let is_short = least < STAGE_DURATION_MIN;
    let is_due = is_short && LATENCY_FROM_PERMILLE <= permille && !ledger.trials.has_no_requests();
    if is_due && !ledger.trials.is_latency_accepted() {
        return None;
    }
    let unproven = ledger.trials.unproven_routes(order.changed);
    let has_evidence = ledger.trials.iter().any(|(_, trial)| 0 < trial.new_counts().requests);
    if (!unproven.is_empty() || !has_evidence) && now < latest {
        return None;
    }
    let reason = if has_evidence { "no fault in this stage" } else { "no request in this stage" };
    Some(Transition { stage, reason: summary(reason, &unproven) })
}

/// When a stage is left.
struct Times {
    /// When it should be left.
    planned: Millis,
    /// When at the latest.
    latest: Millis,
    /// The shortest time in it.
    least: Millis,
}

/// Returns when a stage should be left.
fn leave_times(order: &Move, permille: u32) -> Times {
    let span = order.span().0 as f64;
    let doublings = |from: u32| {
        let mut share = from.clamp(1, FULL);
        let mut steps = 0_u32;
        while share < FULL {
            share = (share * 2).min(FULL);
            steps += 1;
        }
        steps
    };
    let all = doublings(order.plan.start_permille).max(1);
    let done = all.saturating_sub(doublings(permille));
    let step = (MOVED_PART - START_PART) / f64::from(all);
    let planned = START_PART + step * f64::from(done);
    let at = |part: f64| order.started + Millis((span * part) as u64);
    Times {
        planned: at(planned),
        latest: at(planned + step / 2.0),
        least: STAGE_DURATION_MIN.min(Millis((span * step / 4.0) as u64)),
    }
}

fn summary(reason: &str, unproven: &[&id::Route]) -> String {
    if unproven.is_empty() {
        return reason.to_owned();
    }
    let routes = unproven.iter().map(|route| route.as_str()).collect::<Vec<_>>().join(", ");
    format!("{reason}; too little traffic for a verdict on: {routes}")
}
