//! Which versions may be offered, and the share of an unproven one.

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

use super::endpoint::Slot;

/// The versions of a pool's endpoints.
#[derive(Debug, Default)]
pub(super) struct Versions {
    banned: Vec<id::Version>,
    /// The version in use while no move runs. An endpoint of another version gets no work then,
    /// since nothing limits the share of a version that no move names.
    settled: Option<id::Version>,
    /// The pace of the version in use, learned before a move needs it.
    pace: LatencyModel,
    active: Option<Active>,
}

/// A move that has not ended.
#[derive(Debug)]
struct Active {
    name: id::Move,
    /// The old version; an empty name stands for every version but the new one.
    from: id::Version,
    to: id::Version,
    stage: Stage,
    ledger: credit::RouteCredits,
    watch: Monitor,
}

/// How one request may use an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Offer {
    /// Without reserve.
    Proven,
    /// As part of the share of the move's new version.
    Unproven,
    /// Not at all.
    Never,
}

impl Active {
    fn is_old(&self, version: &id::Version) -> bool {
        *version == self.from || self.from.as_str().is_empty() && *version != self.to
    }
}

impl Versions {
    /// Takes a configuration into account.
    pub(super) fn configure(&mut self, config: &Config, backend: &id::Backend, slots: &[Slot]) {
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
            self.use_version(version.clone());
        }
        let Some(order) = active else {
            self.active = None;
            return;
        };
        self.use_version(order.plan.from.clone());
        match &mut self.active {
            Some(known) if known.name == order.plan.name => {
                known.stage = order.stage;
            }
            _ => {
                self.active = Some(Active {
                    name: order.plan.name.clone(),
                    from: order.plan.from.clone(),
                    to: order.plan.to.clone(),
                    stage: order.stage,
                    ledger: credit::RouteCredits::new(order.stage, 1),
                    watch: Monitor::with_latency_model(routes, self.pace.clone())
                        .with_duration(order.span()),
                });
            }
        }
        self.regroup(slots);
    }

    /// Follows what the replicas of the new version can run at one time.
    pub(super) fn regroup(&mut self, slots: &[Slot]) {
        let Some(active) = &mut self.active else { return };
        let replicas = credit::replica_limit(active.stage, slots.len());
        let new = slots.iter().filter(|slot| slot.announcement.version == active.to);
        let group = new.take(replicas).map(|slot| slot.announcement.concurrency).sum();
        active.ledger.set_stage(active.stage, group);
    }

    /// Chooses the version in use when no move ever named one: the one with the most endpoints.
    pub(super) fn settle(&mut self, slots: &[Slot]) {
        let versions = || slots.iter().map(|slot| &slot.announcement.version);
        let is_known = |version: &id::Version| versions().any(|other| other == version);
        if self.active.is_some() || self.settled.as_ref().is_some_and(is_known) {
            return;
        }
        let count = |version: &id::Version| versions().filter(|other| *other == version).count();
        let most = versions()
            .filter(|version| !self.banned.contains(version))
            .max_by_key(|version| (count(version), *version));
        match most.cloned() {
            Some(version) => self.use_version(version),
            None => self.settled = None,
        }
    }

    /// Notes the version in use, unless a move did not name it. The pace of another one says nothing
    /// about it.
    fn use_version(&mut self, version: id::Version) {
        if version.as_str().is_empty() {
            return;
        }
        if self.settled.as_ref() != Some(&version) {
            self.pace = LatencyModel::default();
            self.settled = Some(version);
        }
    }

    /// Learns from a finished request while no move runs.
    pub(super) fn learn(
        &mut self,
        now: Millis,
        version: &id::Version,
        seen: &Observation<'_>,
        cached: u32,
    ) {
        if self.active.is_none() && self.settled.as_ref() == Some(version) {
            self.pace.learn(now, seen, cached);
        }
    }

    /// Notes on each endpoint how its version may be used.
    pub(super) fn mark(&self, slots: &mut [Slot]) {
        for slot in slots {
            slot.offer = self.offer(&slot.announcement.version);
        }
    }

    /// Returns whether a move runs.
    pub(super) fn is_moving(&self) -> bool {
        self.active.is_some()
    }

    /// Returns how endpoints of a version may be used.
    fn offer(&self, version: &id::Version) -> Offer {
        if self.banned.contains(version) {
            return Offer::Never;
        }
        let Some(active) = &self.active else {
            let is_settled = self.settled.as_ref().is_none_or(|settled| settled == version);
            return if is_settled { Offer::Proven } else { Offer::Never };
        };
        if active.is_old(version) {
            return Offer::Proven;
        }
        let is_stopped = active.watch.stop_reason().is_some();
        let is_offered = *version == active.to && !is_stopped && active.stage != Stage::TakenBack;
        if is_offered { Offer::Unproven } else { Offer::Never }
    }

    /// Returns how many endpoints of the new version may be used.
    pub(super) fn replicas(&self, total: usize) -> usize {
        self.active.as_ref().map_or(0, |active| credit::replica_limit(active.stage, total))
    }

    /// Returns the side of an endpoint's version while a move runs.
    pub(super) fn side(&self, version: &id::Version) -> Option<Side> {
        let active = self.active.as_ref()?;
        if *version == active.to {
            Some(Side::New)
        } else {
            active.is_old(version).then_some(Side::Old)
        }
    }

    /// Returns whether all traffic goes to the new version.
    pub(super) fn has_moved(&self) -> bool {
        self.active.as_ref().is_some_and(|active| 1_000 <= active.ledger.permille())
    }

    /// Counts a dispatch against the route's credit and returns the side that it should use.
    pub(super) fn choose(&mut self, route: &id::Route, tier: Tier) -> Side {
        let Some(active) = &mut self.active else { return Side::Old };
        let verdict = active.watch.verdict(route);
        if verdict == Verdict::Rejected {
            return Side::Old;
        }
        active.ledger.choose_side(route, tier, verdict)
    }

    /// Returns how a dispatch on this side is placed; to be asked once, after [`Self::choose`].
    pub(super) fn placement(&mut self, side: Side, tier: Tier) -> Placement {
        self.active.as_mut().map_or(Placement::Spread, |active| active.ledger.placement(side, tier))
    }

    /// Gives back the credit of a dispatch that did not go to the new version after all.
    pub(super) fn refund(&mut self, route: &id::Route) {
        if let Some(active) = &mut self.active {
            active.ledger.refund(route);
        }
    }

    /// Takes an ended request into account, of whose prompt `cached` tokens were in the endpoint's
    /// prefix cache.
    pub(super) fn observe(&mut self, now: Millis, seen: Observation<'_>, cached: u32) {
        if let Some(active) = &mut self.active {
            active.watch.observe_cached(now, seen, cached);
        }
    }

    /// Counts lost connections whose cause is settled.
    pub(super) fn settle_losses(&mut self, now: Millis, is_quarantined: impl Fn(Body) -> bool) {
        if let Some(active) = &mut self.active {
            active.watch.settle_losses(now, is_quarantined);
        }
    }

    /// Returns why the owner stopped the new version of the running move, if it did.
    pub(super) fn stopped(&self) -> Option<&str> {
        self.active.as_ref()?.watch.stop_reason()
    }

    /// Returns the evidence since the last call.
    pub(super) fn evidence(&mut self) -> Vec<Evidence> {
        let Some(active) = &mut self.active else { return Vec::new() };
        active.watch.take_evidence(&active.name, &active.from, &active.to)
    }
}
