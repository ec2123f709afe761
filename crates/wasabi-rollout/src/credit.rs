//! Traffic share of the new version, per route, while a move is in progress.

use std::collections::BTreeMap;

use wasabi_protocol::{command::Stage, contract::Tier, id};

use crate::sequential::Verdict;

/// Share of the other tiers from which tier 0 also gets the new version, in thousandths.
///
/// Below it the version is unproven, and tier 0 uses it only when no other endpoint is left.
pub const TOP_TIER_FROM_PERMILLE: u32 = 160;

/// Divisor of the other tiers' share that gives the share of tier 0 from then on.
pub const TOP_TIER_DIVISOR: u32 = 8;

/// Divisor of the share for routes without a verdict.
///
/// A route with little traffic has no verdict for a long time, and a fault on it would affect a
/// large fraction of its requests before it is detected.
pub const UNDECIDED_DIVISOR: u32 = 2;

/// Share up to which routes without a verdict get the full share, in thousandths.
const UNDECIDED_FULL_SHARE_PERMILLE: u32 = 10;

/// Size of the first group of requests that is sent to the new version. Later groups double, up to
/// [`GROUP_SIZE_FACTOR`] times the concurrency of its replicas.
///
/// A small share that is spread evenly never loads a replica, so a fault that only shows under load
/// would stay hidden until the share is large. Groups create that load. The first ones are small,
/// so that a version that fails at once receives few requests.
pub const FIRST_GROUP_SIZE: u32 = 2;

/// Largest group, relative to the concurrency of the replicas. Short requests end while the group
/// is still being sent, so a group of just that concurrency would not fill the replicas.
const GROUP_SIZE_FACTOR: u32 = 2;

/// Requests by which a route may exceed its credit while a group is sent.
///
/// Without this allowance, a group waits for requests of the routes that accumulated the credit,
/// and its first requests have ended by then. It adds at most this many requests in total to a
/// route's share.
const CREDIT_EXCESS_MAX: f64 = 3.0;

/// Share from which the new version's requests are spread over its replicas, in thousandths.
const SPREAD_FROM_PERMILLE: u32 = 320;

/// Most unused credit that a route keeps, in requests.
const CREDIT_MAX: f64 = 64.0;

/// Share below which requests are sent in groups, in thousandths. From it on, replicas are loaded
/// without groups.
const GROUPED_BELOW_PERMILLE: u32 = 100;

/// Which version a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version in use.
    Old,
    /// The version that the move introduces.
    New,
}

/// Credit of the routes of one pool for requests to the new version.
///
/// Each dispatch adds the route's share to its credit; a dispatch to the new version takes one
/// request off it.
#[derive(Debug, Clone)]
pub struct RouteCredits {
    stage: Stage,
    permille: u32,
    /// Credit of each route, in requests.
    routes: BTreeMap<id::Route, f64>,
    /// Size of the next group.
    group: u32,
    /// Concurrency of the replicas that the new version may use.
    concurrency: u32,
    phase: Phase,
    /// Requests of the current control group that are still to be sent.
    control_left: u32,
}

/// Whether credit accumulates or a group is being sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Credit accumulates until it covers a group.
    Accumulating,
    /// A group is being sent; this many of its requests are left.
    Sending(u32),
}

impl RouteCredits {
    /// Returns the credits at the start of a stage. `concurrency` is the total concurrency of the
    /// replicas that [`replica_limit`] allows.
    pub fn new(stage: Stage, concurrency: u32) -> Self {
        Self {
            stage,
            permille: share(stage),
            routes: BTreeMap::new(),
            group: FIRST_GROUP_SIZE.min(concurrency.max(1)),
            concurrency: concurrency.max(1),
            phase: Phase::Accumulating,
            control_left: 0,
        }
    }

    /// Sets the stage and the concurrency of the replicas that the new version may use.
    pub fn set_stage(&mut self, stage: Stage, concurrency: u32) {
        self.stage = stage;
        self.permille = share(stage);
        self.concurrency = concurrency.max(1);
        self.group = self.group.min(GROUP_SIZE_FACTOR * self.concurrency);
        if self.permille == 0 {
            self.routes.clear();
            self.phase = Phase::Accumulating;
        }
    }

    /// Returns how a dispatch on this side should be placed. Call it once, after
    /// [`Self::choose_side`].
    ///
    /// Each group of the new version is followed by a control group of the old version, of the same
    /// size and packed in the same way. It shows how the old version behaves under high load, which
    /// it may not see otherwise; without the control group, the effect of the load could not be
    /// distinguished from a slow version. Tier 0 is never packed.
    pub fn placement(&mut self, side: Side, tier: Tier) -> Placement {
        if side == Side::New {
            return placement(self.stage);
        }
        let is_between_groups =
            self.phase == Phase::Accumulating && self.permille < GROUPED_BELOW_PERMILLE;
        if tier == Tier::TOP || !is_between_groups || self.control_left == 0 {
            return Placement::Spread;
        }
        self.control_left -= 1;
        Placement::Pack
    }

    /// Returns the current share, in thousandths.
    pub const fn permille(&self) -> u32 {
        self.permille
    }

    /// Counts a dispatch of a route and returns the side that it should use.
    ///
    /// `verdict` is the route's result so far (see [`crate::stop::Monitor::verdict`]). Call it once
    /// for each dispatch, right before its endpoint is chosen. When the returned side has no
    /// capacity, the other one may be used; return the credit with [`Self::refund`] then.
    pub fn choose_side(&mut self, route: &id::Route, tier: Tier, verdict: Verdict) -> Side {
        let permille = route_share(self.stage, tier, verdict);
        if 1_000 <= permille {
            return Side::New;
        }
        if permille == 0 {
            return Side::Old;
        }
        let credit = self.routes.entry(route.clone()).or_default();
        *credit = (*credit + f64::from(permille) / 1_000.0).min(CREDIT_MAX);
        let credit = *credit;
        if GROUPED_BELOW_PERMILLE <= self.permille {
            self.phase = Phase::Sending(u32::MAX);
        } else if self.phase == Phase::Accumulating {
            let total = self.routes.values().sum::<f64>();
            if f64::from(self.group) <= total {
                self.phase = Phase::Sending(self.group);
                self.control_left = self.group;
                self.group = (self.group * 2).min(GROUP_SIZE_FACTOR * self.concurrency);
            }
        }
        let Phase::Sending(left) = self.phase else { return Side::Old };
        let excess = if self.permille < GROUPED_BELOW_PERMILLE { CREDIT_EXCESS_MAX } else { 0.0 };
        if credit + excess < 1.0 {
            return Side::Old;
        }
        if let Some(credit) = self.routes.get_mut(route) {
            *credit -= 1.0;
        }
        self.phase = if left <= 1 { Phase::Accumulating } else { Phase::Sending(left - 1) };
        Side::New
    }

    /// Refunds the credit of a dispatch that did not go to the new version after all.
    pub fn refund(&mut self, route: &id::Route) {
        if let Some(credit) = self.routes.get_mut(route) {
            *credit = (*credit + 1.0).min(CREDIT_MAX);
        }
    }
}

/// Returns the share of a route's dispatches that the new version gets, in thousandths.
///
/// `verdict` is the route's result so far.
pub fn route_share(stage: Stage, tier: Tier, verdict: Verdict) -> u32 {
    let share = share(stage);
    if verdict == Verdict::Rejected {
        return 0;
    }
    if 1_000 < share {
        return 1_000;
    }
    if tier == Tier::TOP {
        return if share < TOP_TIER_FROM_PERMILLE { 0 } else { share / TOP_TIER_DIVISOR };
    }
    if verdict == Verdict::Accepted {
        return share;
    }
    share.min(UNDECIDED_FULL_SHARE_PERMILLE.max(share / UNDECIDED_DIVISOR))
}

/// How the new version's requests are placed on its replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// On the replica with the most requests in flight that still has capacity, so that faults
    /// under load show while the share is small.
    Pack,
    /// On the replica that the regular endpoint choice prefers.
    Spread,
}

/// Returns how the new version's requests are placed at this stage.
pub fn placement(stage: Stage) -> Placement {
    if share(stage) < SPREAD_FROM_PERMILLE { Placement::Pack } else { Placement::Spread }
}

/// Returns how many replicas the new version may use at this stage.
///
/// Below a share of 5% it is one replica, and below 10% two, so that the loss of one does not stop
/// the move. Above that it is as many as the share needs plus a fifth.
pub fn replica_limit(stage: Stage, total: usize) -> usize {
    let permille = share(stage).min(1_000) as usize;
    match permille {
        0 => 0,
        1..50 => 1,
        50..100 => 2,
        _ => (total * permille * 12).div_ceil(10_000).max(2),
    }
}

/// Returns a stage's share of the other tiers, in thousandths.
///
/// A share above 1,000 means all traffic, including tier 0.
const fn share(stage: Stage) -> u32 {
    match stage {
        Stage::Share(permille) if permille < 1_000 => permille,
        Stage::Share(_) => 1_000,
        Stage::Watching { .. } | Stage::Done => 1_001,
        Stage::TakenBack => 0,
    }
}
