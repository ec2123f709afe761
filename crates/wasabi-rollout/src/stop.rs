//! The pool owner's watch over a move: its own evidence, and the stop of a bad version.

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

/// One move as the owner of one pool sees it.
///
/// The owner stops the new version as soon as its own evidence rejects it, before control knows.
/// A stop is final: it is reported with every piece of evidence until control takes the move back.
#[derive(Debug, Clone)]
pub struct Monitor {
    book: Collector,
    trials: trial::RouteTrials,
    losses: loss::LossTest,
    settled: Option<Millis>,
    unreported: BTreeMap<id::Route, [Count; 2]>,
    stopped: Option<String>,
}

impl Monitor {
    /// Returns a watch over a move that concerns `routes` routes.
    pub fn new(routes: usize) -> Self {
        Self::with_latency_model(routes, LatencyModel::default())
    }

    /// Returns a watch that knows the old version's pace from before the move.
    pub fn with_latency_model(routes: usize, pace: LatencyModel) -> Self {
        Self {
            book: Collector::new(pace),
            trials: trial::RouteTrials::new(routes),
            losses: loss::LossTest::new(routes),
            settled: None,
            unreported: BTreeMap::new(),
            stopped: None,
        }
    }

    /// Has requests judged in the time of a move that takes `span`.
    #[must_use]
    pub fn with_duration(mut self, span: Millis) -> Self {
        self.trials = self.trials.with_duration(span);
        self
    }

    /// Takes an ended request into account.
    pub fn observe(&mut self, now: Millis, seen: Observation<'_>) {
        self.observe_cached(now, seen, 0);
    }

    /// Takes an ended request into account, of whose prompt `cached` tokens were in the endpoint's
    /// prefix cache; see [`Collector::observe`].
    pub fn observe_cached(&mut self, now: Millis, seen: Observation<'_>, cached: u32) {
        self.book.observe(now, seen, cached);
        self.judge(now);
    }

    /// Counts lost endpoints and links whose cause is settled; see [`Collector::settle`].
    pub fn settle_losses(&mut self, now: Millis, is_quarantined: impl Fn(Body) -> bool) {
        let endpoints = self.book.serving_endpoints(now);
        let events = self.book.settle_losses(now, is_quarantined);
        let span = self.settled.map_or(Millis::ZERO, |settled| now.since(settled));
        self.settled = Some(now);
        self.losses.add(Side::Old, events[0], endpoints[0], span);
        self.losses.add(Side::New, events[1], endpoints[1], span);
        if self.stopped.is_none() {
            self.stopped = self.losses.rejection_reason();
        }
        self.judge(now);
    }

    /// Returns why the new version was stopped, if it was.
    pub fn stop_reason(&self) -> Option<&str> {
        self.stopped.as_deref()
    }

    /// Returns what a route shows so far. While the new version is suspended every route counts as
    /// rejected.
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
    pub fn take_evidence(
        &mut self,
        name: &id::Move,
        old: &id::Version,
        new: &id::Version,
    ) -> Vec<rpc::Evidence> {
        let stopped = self.stopped.is_some();
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

    fn judge(&mut self, now: Millis) {
        for (route, counts) in self.book.take_counts() {
            self.trials.add(now, &route, counts);
            let unreported = self.unreported.entry(route).or_default();
            unreported[0].add(counts.old);
            unreported[1].add(counts.new);
        }
        self.trials.judge(now);
        if self.stopped.is_none() && self.trials.is_rejected() {
            self.stopped = self.trials.rejection_reason();
        }
    }
}
