//! Monitors a move at the pool owner and stops a bad version by the owner's own evidence.

use std::collections::BTreeMap;

use wasabi_protocol::{clock::Millis, fingerprint::Body, id, rpc};

use crate::{
    credit::Side,
    evidence::{Collector, Count, Observation},
    latency::LatencyModel,
    loss,
    sequential::Verdict,
    trial,
};

/// Monitors one move for the owner of one pool.
///
/// The owner stops the new version as soon as its own evidence rejects it, without waiting for
/// control. A stop is final and is reported with all evidence until control rolls the move back.
#[derive(Debug, Clone)]
pub struct Monitor {
    collector: Collector,
    trials: trial::RouteTrials,
    losses: loss::LossTest,
    /// Time of the last call of [`Self::settle_losses`].
    losses_settled: Option<Millis>,
    /// Counts of the old and the new version since the last check-in with control.
    unreported: BTreeMap<id::Route, [Count; 2]>,
    stop_reason: Option<String>,
}

impl Monitor {
    /// Returns a monitor for a move that affects `routes` routes.
    pub fn new(routes: usize) -> Self {
        Self::with_latency_model(routes, LatencyModel::default())
    }

    /// Returns a monitor with the old version's latency from before the move.
    pub fn with_latency_model(routes: usize, latency: LatencyModel) -> Self {
        Self {
            collector: Collector::new(latency),
            trials: trial::RouteTrials::new(routes),
            losses: loss::LossTest::new(routes),
            losses_settled: None,
            unreported: BTreeMap::new(),
            stop_reason: None,
        }
    }

    /// Adapts the evaluation delay to a move that takes `span`.
    #[must_use]
    pub fn with_duration(mut self, span: Millis) -> Self {
        self.trials = self.trials.with_duration(span);
        self
    }

    /// Adds an ended request.
    pub fn observe(&mut self, now: Millis, observation: Observation<'_>) {
        self.observe_cached(now, observation, 0);
    }

    /// Adds an ended request, of whose prompt `cached` tokens were in the endpoint's prefix cache;
    /// see [`Collector::observe`].
    pub fn observe_cached(&mut self, now: Millis, observation: Observation<'_>, cached: u32) {
        self.collector.observe(now, observation, cached);
        self.evaluate(now);
    }

    /// Adds lost endpoints and links whose cause is settled; see [`Collector::settle_losses`].
    pub fn settle_losses(&mut self, now: Millis, is_quarantined: impl Fn(Body) -> bool) {
        let endpoints = self.collector.serving_endpoints(now);
        let events = self.collector.settle_losses(now, is_quarantined);
        let span = self.losses_settled.map_or(Millis::ZERO, |settled| now.since(settled));
        self.losses_settled = Some(now);
        self.losses.add(Side::Old, events[0], endpoints[0], span);
        self.losses.add(Side::New, events[1], endpoints[1], span);
        if self.stop_reason.is_none() {
            self.stop_reason = self.losses.rejection_reason();
        }
        self.evaluate(now);
    }

    /// Returns the reason if the new version was stopped.
    pub fn stop_reason(&self) -> Option<&str> {
        self.stop_reason.as_deref()
    }

    /// Returns the verdict on a route so far. While the new version is suspended, every route
    /// counts as rejected.
    pub fn verdict(&self, route: &id::Route) -> Verdict {
        if self.trials.is_suspended() {
            return Verdict::Rejected;
        }
        self.trials.verdict(route)
    }

    /// Returns the trials of the routes.
    pub const fn trials(&self) -> &trial::RouteTrials {
        &self.trials
    }

    /// Returns the evidence since the last call, for the check-in with control.
    ///
    /// After a stop it holds at least one item of the new version, so that the stop is reported.
    pub fn take_evidence(
        &mut self,
        name: &id::Move,
        old: &id::Version,
        new: &id::Version,
    ) -> Vec<rpc::Evidence> {
        let stopped = self.stop_reason.is_some();
        if stopped && let Some((route, _)) = self.trials.iter().next() {
            self.unreported.entry(route.clone()).or_default();
        }
        std::mem::take(&mut self.unreported)
            .into_iter()
            .flat_map(|(route, counts)| {
                let message = |version: &id::Version, count: Count, stopped| rpc::Evidence {
                    name: name.clone(),
                    route: route.clone(),
                    version: version.clone(),
                    requests: count.requests,
                    errors: count.errors,
                    slow: count.slow,
                    stopped,
                };
                [message(old, counts[0], false), message(new, counts[1], stopped)]
            })
            .collect()
    }

    fn evaluate(&mut self, now: Millis) {
        for (route, counts) in self.collector.take_counts() {
            self.trials.add(now, &route, counts);
            let unreported = self.unreported.entry(route).or_default();
            unreported[0].add(counts.old);
            unreported[1].add(counts.new);
        }
        self.trials.evaluate(now);
        if self.stop_reason.is_none() && self.trials.is_rejected() {
            self.stop_reason = self.trials.rejection_reason();
        }
    }
}
