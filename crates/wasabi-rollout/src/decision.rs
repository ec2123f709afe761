//! Decides on the next stage of a version move from the time and the evidence.

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

/// Fraction of the time until `finish_by` that is spent at the start share.
///
/// Most faults show there, where they affect the fewest requests.
pub const START_FRACTION: f64 = 0.3;

/// Fraction of the time until `finish_by` after which all traffic has moved, if the evidence
/// allows.
pub const MOVED_FRACTION: f64 = 0.9;

/// Minimum time that a late move spends in one stage before its share increases.
///
/// In a short move a quarter of the planned stage is enough. With ten seconds per stage, a move of
/// fifteen seconds could neither end in time nor send enough requests to its new version.
pub const STAGE_DURATION_MIN: Millis = Millis::from_secs(10);

/// Share from which a move with stages below [`STAGE_DURATION_MIN`] increases its share only after
/// the latency over all routes was accepted, in thousandths.
///
/// Its stages end before their requests are evaluated, so a schedule by time alone would complete a
/// slow version before the slowness is detected. The rule does not apply to a model or service
/// without requests.
const LATENCY_REQUIRED_FROM_PERMILLE: u32 = 320;

/// Longest watch period of a move that is scheduled by its total duration.
const TIMED_WATCH_MAX: Millis = Millis(1_000);

/// Divisors of the duration of such a move. They give the upper bound of its watch period, and the
/// time reserved for commits and check-ins.
const TIMED_WATCH_DIVISOR: u64 = 10;
const TIMED_RESERVE_DIVISOR: u64 = 20;

/// First share of such a move in thousandths, multiplied by its duration in milliseconds.
///
/// A verdict needs a certain number of requests, so a shorter move starts with a larger share.
const TIMED_START_PERMILLE_MS: u64 = 1_200_000;
const TIMED_START_PERMILLE: RangeInclusive<u64> = 20..=80;

/// The full share, in thousandths.
const FULL_PERMILLE: u32 = 1_000;

/// Evidence on one move, which the control leader collects from check-ins.
#[derive(Debug, Clone)]
pub struct RolloutEvidence {
    trials: trial::RouteTrials,
    /// A route of the pool whose owner stopped the new version.
    stopped: Option<id::Route>,
}

/// Numbers of endpoints for a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints of the new version that are currently announced.
    pub new: usize,
    /// Endpoints that all traffic needs, for example those of the old version at the start.
    pub required: usize,
}

/// A change of stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// The new stage.
    pub stage: Stage,
    /// The reason, for the operator.
    pub reason: String,
}

impl RolloutEvidence {
    /// Returns an empty collection for a move that affects `routes` routes.
    pub fn new(routes: usize) -> Self {
        Self { trials: trial::RouteTrials::new(routes), stopped: None }
    }

    /// Adapts the evaluation delay to a move that takes `span`.
    #[must_use]
    pub fn with_duration(mut self, span: Millis) -> Self {
        self.trials = self.trials.with_duration(span);
        self
    }

    /// Adds the evidence of one check-in. Evidence of other moves is ignored.
    pub fn add(&mut self, now: Millis, plan: &Plan, evidence: &[rpc::Evidence]) {
        // The old version comes first, so that the new one is compared over the same time span.
        for version in [&plan.from, &plan.to] {
            for item in evidence {
                if item.name == plan.name && item.version == *version {
                    self.add_one(now, plan, item);
                }
            }
        }
        self.trials.evaluate(now);
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

    /// Returns the reason if the new version is bad.
    fn rejection_reason(&self) -> Option<String> {
        self.trials.rejection_reason().or_else(|| {
            let route = self.stopped.as_ref()?;
            Some(format!("stopped by the owner of a pool with route {route}"))
        })
    }
}

/// Times and first share of a move that has to end within a given duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Time from the order until all traffic has to be moved.
    pub finish_after: Millis,
    /// Length of the watch period after that.
    pub watch: Millis,
    /// The first share, in thousandths.
    pub start_permille: u32,
}

impl Schedule {
    /// Returns the schedule of a move that has to be done or rolled back within `duration`.
    pub fn for_duration(duration: Millis) -> Self {
        let watch = TIMED_WATCH_MAX.min(Millis(duration.0 / TIMED_WATCH_DIVISOR));
        let reserve = Millis(duration.0 / TIMED_RESERVE_DIVISOR);
        let (least, most) = (*TIMED_START_PERMILLE.start(), *TIMED_START_PERMILLE.end());
        Self {
            finish_after: duration - watch - reserve,
            watch,
            start_permille: (TIMED_START_PERMILLE_MS / duration.0.max(1)).clamp(least, most) as u32,
        }
    }
}

/// Returns the next stage of a move, or `None` while it stays in its stage.
///
/// `now` and the times of the move are in milliseconds since the Unix epoch.
pub fn decide(
    now: Millis,
    order: &Move,
    evidence: &RolloutEvidence,
    endpoints: EndpointCounts,
) -> Option<Transition> {
    if order.stage.is_final() {
        return None;
    }
    if let Some(reason) = evidence.rejection_reason() {
        return Some(Transition { stage: Stage::TakenBack, reason });
    }
    match order.stage {
        Stage::Share(permille) => increase_share(now, order, permille, evidence, endpoints),
        Stage::Watching { until } if until <= now => {
            let until = until + Millis(order.plan.watch.0 / 4);
            let longest = order.plan.finish_by + order.plan.watch + order.plan.watch;
            if evidence.trials.leans_to_rejection() && until <= longest {
                let reason = "watched longer: the evidence leans towards a fault".to_owned();
                return Some(Transition { stage: Stage::Watching { until }, reason });
            }
            let unproven = evidence.trials.unproven_routes(order.started);
            Some(Transition {
                stage: Stage::Done,
                reason: summary("watched without fault", &unproven),
            })
        }
        Stage::Watching { .. } | Stage::Done | Stage::TakenBack => None,
    }
}

/// Returns the next larger share when it is due.
///
/// A stage ends at its planned time if every route with evidence was accepted in it. Routes that
/// were not, because of little traffic, delay it by at most half a step, so that the move ends in
/// time. They get a smaller share until the watch period ends (see [`credit`]).
fn increase_share(
    now: Millis,
    order: &Move,
    permille: u32,
    evidence: &RolloutEvidence,
    endpoints: EndpointCounts,
) -> Option<Transition> {
    let StageTimes { planned, latest, min_duration } = stage_times(order, permille);
    if now < planned || now < order.changed + min_duration {
        return None;
    }
    let stage = if FULL_PERMILLE <= permille {
        Stage::Watching { until: now + order.plan.watch }
    } else {
        Stage::Share((permille.max(1) * 2).min(FULL_PERMILLE))
    };
    let required = credit::replica_limit(stage, endpoints.required).min(endpoints.required).max(1);
    if endpoints.new < required {
        return None;
    }
    let is_short = min_duration < STAGE_DURATION_MIN;
    let needs_latency = is_short
        && LATENCY_REQUIRED_FROM_PERMILLE <= permille
        && !evidence.trials.has_no_requests();
    if needs_latency && !evidence.trials.is_latency_accepted() {
        return None;
    }
    let unproven = evidence.trials.unproven_routes(order.changed);
    let has_evidence = evidence.trials.iter().any(|(_, trial)| 0 < trial.new_counts().requests);
    if (!unproven.is_empty() || !has_evidence) && now < latest {
        return None;
    }
    let reason = if has_evidence { "no fault in this stage" } else { "no request in this stage" };
    Some(Transition { stage, reason: summary(reason, &unproven) })
}

/// When a stage ends.
struct StageTimes {
    /// The planned end.
    planned: Millis,
    /// The latest end.
    latest: Millis,
    /// Minimum time in the stage.
    min_duration: Millis,
}

/// Returns when a stage ends.
fn stage_times(order: &Move, permille: u32) -> StageTimes {
    let span = order.span().0 as f64;
    let doublings = |from: u32| {
        let mut share = from.clamp(1, FULL_PERMILLE);
        let mut steps = 0_u32;
        while share < FULL_PERMILLE {
            share = (share * 2).min(FULL_PERMILLE);
            steps += 1;
        }
        steps
    };
    let total_steps = doublings(order.plan.start_permille).max(1);
    let done = total_steps.saturating_sub(doublings(permille));
    let step = (MOVED_FRACTION - START_FRACTION) / f64::from(total_steps);
    let planned = START_FRACTION + step * f64::from(done);
    let at = |fraction: f64| order.started + Millis((span * fraction) as u64);
    StageTimes {
        planned: at(planned),
        latest: at(planned + step / 2.0),
        min_duration: STAGE_DURATION_MIN.min(Millis((span * step / 4.0) as u64)),
    }
}

fn summary(reason: &str, unproven: &[&id::Route]) -> String {
    if unproven.is_empty() {
        return reason.to_owned();
    }
    let routes = unproven.iter().map(|route| route.as_str()).collect::<Vec<_>>().join(", ");
    format!("{reason}; too little traffic for a verdict on: {routes}")
}
