//! Eligibility of endpoint versions, and the traffic share of an unproven version.

use wasabi_protocol::{
    clock::Millis,
    command::{Config, Stage},
    contract::Tier,
    fingerprint::Body,
    id,
    rpc::Evidence,
};
use wasabi_rollout::{
    credit::{self, Placement, Side},
    evidence::Observation,
    latency::LatencyModel,
    sequential::Verdict,
    stop::Monitor,
};

use super::endpoint::EndpointState;

/// The versions of a pool's endpoints.
#[derive(Debug, Default)]
pub(super) struct Versions {
    banned: Vec<id::Version>,
    /// The version in use while no rollout runs. Endpoints of other versions get no requests then,
    /// since only a rollout limits the share of a version.
    current: Option<id::Version>,
    /// The latency of the version in use, learned before a rollout needs it as a baseline.
    baseline: LatencyModel,
    active: Option<ActiveMove>,
}

/// A rollout (move) that has not ended.
#[derive(Debug)]
struct ActiveMove {
    name: id::Move,
    /// The old version; an empty name stands for all versions except the new one.
    from: id::Version,
    to: id::Version,
    stage: Stage,
    credits: credit::RouteCredits,
    monitor: Monitor,
}

/// Which requests an endpoint may get, depending on its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Eligibility {
    /// All requests.
    Proven,
    /// Requests within the share of the rollout's new version.
    Unproven,
    /// No requests.
    Excluded,
}

impl ActiveMove {
    fn is_old(&self, version: &id::Version) -> bool {
        *version == self.from || self.from.as_str().is_empty() && *version != self.to
    }
}

impl Versions {
    /// Applies a configuration.
    pub(super) fn configure(
        &mut self,
        config: &Config,
        backend: &id::Backend,
        endpoints: &[EndpointState],
    ) {
        self.banned = config
            .banned
            .iter()
            .filter(|(other, _)| other == backend)
            .map(|(_, version)| version.clone())
            .collect();
        let moves = || config.moves.iter().filter(|order| order.plan.backend == *backend);
        let routes = config
            .contracts
            .iter()
            .flat_map(|contract| &contract.routes)
            .filter(|route| route.target.backend() == backend)
            .count();
        let active = moves().filter(|order| !order.stage.is_final()).max_by_key(|o| o.started);
        let ended = moves().filter(|order| order.stage.is_final()).max_by_key(|o| o.changed);
        if let Some(order) = ended {
            let is_done = order.stage == Stage::Done;
            let version = if is_done { &order.plan.to } else { &order.plan.from };
            self.set_current(version.clone());
        }
        let Some(order) = active else {
            self.active = None;
            return;
        };
        self.set_current(order.plan.from.clone());
        match &mut self.active {
            Some(known) if known.name == order.plan.name => {
                known.stage = order.stage;
            }
            _ => {
                self.active = Some(ActiveMove {
                    name: order.plan.name.clone(),
                    from: order.plan.from.clone(),
                    to: order.plan.to.clone(),
                    stage: order.stage,
                    credits: credit::RouteCredits::new(order.stage, 1),
                    monitor: Monitor::with_latency_model(routes, self.baseline.clone())
                        .with_duration(order.span()),
                });
            }
        }
        self.update_group_capacity(endpoints);
    }

    /// Updates the concurrent capacity of the replicas that serve the new version.
    pub(super) fn update_group_capacity(&mut self, endpoints: &[EndpointState]) {
        let Some(active) = &mut self.active else { return };
        let replicas = credit::replica_limit(active.stage, endpoints.len());
        let new = endpoints.iter().filter(|endpoint| endpoint.announcement.version == active.to);
        let group = new.take(replicas).map(|endpoint| endpoint.announcement.concurrency).sum();
        active.credits.set_stage(active.stage, group);
    }

    /// Infers the version in use if no rollout has determined it: the one with the most endpoints.
    pub(super) fn infer_current(&mut self, endpoints: &[EndpointState]) {
        let versions = || endpoints.iter().map(|endpoint| &endpoint.announcement.version);
        let is_known = |version: &id::Version| versions().any(|other| other == version);
        if self.active.is_some() || self.current.as_ref().is_some_and(is_known) {
            return;
        }
        let count = |version: &id::Version| versions().filter(|other| *other == version).count();
        let most = versions()
            .filter(|version| !self.banned.contains(version))
            .max_by_key(|version| (count(version), *version));
        match most.cloned() {
            Some(version) => self.set_current(version),
            None => self.current = None,
        }
    }

    /// Sets the version in use, unless the name is empty. A change resets the baseline, which was
    /// learned from another version.
    fn set_current(&mut self, version: id::Version) {
        if version.as_str().is_empty() {
            return;
        }
        if self.current.as_ref() != Some(&version) {
            self.baseline = LatencyModel::default();
            self.current = Some(version);
        }
    }

    /// Learns the latency of the version in use from a finished request while no rollout runs.
    pub(super) fn learn_baseline(
        &mut self,
        now: Millis,
        version: &id::Version,
        seen: &Observation<'_>,
        cached: u32,
    ) {
        if self.active.is_none() && self.current.as_ref() == Some(version) {
            self.baseline.learn(now, seen, cached);
        }
    }

    /// Updates the eligibility of each endpoint from its version.
    pub(super) fn update_eligibility(&self, endpoints: &mut [EndpointState]) {
        for endpoint in endpoints {
            endpoint.eligibility = self.eligibility(&endpoint.announcement.version);
        }
    }

    /// Returns whether a rollout is running.
    pub(super) fn is_moving(&self) -> bool {
        self.active.is_some()
    }

    /// Returns the eligibility of endpoints of a version.
    fn eligibility(&self, version: &id::Version) -> Eligibility {
        if self.banned.contains(version) {
            return Eligibility::Excluded;
        }
        let Some(active) = &self.active else {
            let is_current = self.current.as_ref().is_none_or(|current| current == version);
            return if is_current { Eligibility::Proven } else { Eligibility::Excluded };
        };
        if active.is_old(version) {
            return Eligibility::Proven;
        }
        let is_stopped = active.monitor.stop_reason().is_some();
        let is_eligible = *version == active.to && !is_stopped && active.stage != Stage::TakenBack;
        if is_eligible { Eligibility::Unproven } else { Eligibility::Excluded }
    }

    /// Returns how many endpoints of the new version may get requests.
    pub(super) fn replica_limit(&self, total: usize) -> usize {
        self.active.as_ref().map_or(0, |active| credit::replica_limit(active.stage, total))
    }

    /// Returns the side of a version in the running rollout.
    pub(super) fn side(&self, version: &id::Version) -> Option<Side> {
        let active = self.active.as_ref()?;
        if *version == active.to {
            Some(Side::New)
        } else {
            active.is_old(version).then_some(Side::Old)
        }
    }

    /// Returns whether all traffic goes to the new version.
    pub(super) fn is_fully_moved(&self) -> bool {
        self.active.as_ref().is_some_and(|active| 1_000 <= active.credits.permille())
    }

    /// Counts a dispatch towards the route's credit and returns the side that it should use.
    pub(super) fn choose(&mut self, route: &id::Route, tier: Tier) -> Side {
        let Some(active) = &mut self.active else { return Side::Old };
        let verdict = active.monitor.verdict(route);
        if verdict == Verdict::Rejected {
            return Side::Old;
        }
        active.credits.choose_side(route, tier, verdict)
    }

    /// Returns how to place a dispatch on a side. Must be called once, after [`Self::choose`].
    pub(super) fn placement(&mut self, side: Side, tier: Tier) -> Placement {
        self.active
            .as_mut()
            .map_or(Placement::Spread, |active| active.credits.placement(side, tier))
    }

    /// Refunds the credit of a dispatch that could not go to the new version.
    pub(super) fn refund(&mut self, route: &id::Route) {
        if let Some(active) = &mut self.active {
            active.credits.refund(route);
        }
    }

    /// Records an ended request. `cached` is the number of its prompt tokens that were in the
    /// endpoint's prefix cache.
    pub(super) fn observe(&mut self, now: Millis, seen: Observation<'_>, cached: u32) {
        if let Some(active) = &mut self.active {
            active.monitor.observe_cached(now, seen, cached);
        }
    }

    /// Counts lost connections whose cause has been determined.
    pub(super) fn settle_losses(&mut self, now: Millis, is_quarantined: impl Fn(Body) -> bool) {
        if let Some(active) = &mut self.active {
            active.monitor.settle_losses(now, is_quarantined);
        }
    }

    /// Returns why this owner stopped the new version of the running rollout, if it did.
    pub(super) fn stop_reason(&self) -> Option<&str> {
        self.active.as_ref()?.monitor.stop_reason()
    }

    /// Returns the evidence collected since the last call.
    pub(super) fn evidence(&mut self) -> Vec<Evidence> {
        let Some(active) = &mut self.active else { return Vec::new() };
        active.monitor.take_evidence(&active.name, &active.from, &active.to)
    }
}
