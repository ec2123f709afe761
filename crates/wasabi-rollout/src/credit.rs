//! The share of requests that an unproven version gets, per route, on one or two replicas.

use std::collections::BTreeMap;

use wasabi_protocol::{command::Stage, contract::Tier, id};

use crate::sequential::Verdict;

/// Share of the other tiers from which on tier 0 gets the new version too, in thousandths.
///
/// Up to there the version is unproven, and tier 0 gets it only when no other endpoint is left.
pub const TOP_TIER_FROM_PERMILLE: u32 = 160;

/// Part of the other tiers' share that tier 0 gets from then on, as a divisor.
pub const TOP_TIER_DIVISOR: u32 = 8;

/// Part of the share that a route without a verdict gets, as a divisor.
///
/// A route with little traffic has no verdict for long, and a fault on it would meet a large part
/// of its requests before it shows.
pub const UNPROVEN_DIVISOR: u32 = 2;

/// Share up to which routes without a verdict get it whole, in thousandths.
const UNPROVEN_WHOLE_PERMILLE: u32 = 10;

/// Requests that are sent to the new version in a first group. The group doubles up to
/// [`GROUP_FACTOR`] times what its replicas run at one time.
///
/// A small share spread evenly never loads a replica, and a fault that shows only under load
/// would stay hidden until the share is wide. Groups load it; the first ones are small, so that a
/// version that fails at once meets few requests.
pub const GROUP_FIRST: u32 = 2;

/// Largest group, relative to what the replicas run at one time. Short requests end while the
/// group is still being sent, so a group of that size alone would not fill them.
const GROUP_FACTOR: u32 = 2;

/// Requests that a route may get ahead of its credit while a group is sent.
///
/// Without it a group waits for requests of the routes that saved the credit, and by then its
/// first requests have ended. It raises a route's part by at most this many requests in all.
const AHEAD_MAX: f64 = 3.0;

/// Share from which on the new version's requests are spread over its replicas, in thousandths.
const SPREAD_FROM_PERMILLE: u32 = 320;

/// Unused credit that a route keeps, in requests.
const CREDIT_MAX: f64 = 64.0;

/// Share above which replicas carry a usual load anyway and groups are not needed, in thousandths.
const GROUPED_BELOW_PERMILLE: u32 = 100;

/// Which version a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version in use.
    Old,
    /// The version that the move leads to.
    New,
}

/// The credit of the routes of one pool for the new version.
#[derive(Debug, Clone)]
pub struct RouteCredits {
    stage: Stage,
    permille: u32,
    routes: BTreeMap<id::Route, f64>,
    group: u32,
    group_max: u32,
    phase: Phase,
    control: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Credit collects until a group is full.
    Saving,
    /// The group is being sent.
    Spending(u32),
}

impl RouteCredits {
    /// Returns a ledger whose groups grow up to `group_max` requests, which should be the
    /// concurrency of the replicas that [`replica_limit`] allows.
    pub fn new(stage: Stage, group_max: u32) -> Self {
        Self {
            stage,
            permille: share(stage),
            routes: BTreeMap::new(),
            group: GROUP_FIRST.min(group_max.max(1)),
            group_max: group_max.max(1),
            phase: Phase::Saving,
            control: 0,
        }
    }

    /// Takes a new stage or concurrency into account.
    pub fn set_stage(&mut self, stage: Stage, group_max: u32) {
        self.stage = stage;
        self.permille = share(stage);
        self.group_max = group_max.max(1);
        self.group = self.group.min(GROUP_FACTOR * self.group_max);
        if self.permille == 0 {
            self.routes.clear();
            self.phase = Phase::Saving;
        }
    }

    /// Returns how a dispatch on this side should be placed. Call it once, after [`Self::choose_side`].
    ///
    /// Each group of the new version is followed by a control group of the old one, of the same
    /// size and packed in the same way. It shows how the old version does under high load, which
    /// it may never meet otherwise; without it a slow version under load could not be told from
    /// the load. Tier 0 is never packed.
    pub fn placement(&mut self, side: Side, tier: Tier) -> Placement {
        if side == Side::New {
            return placement(self.stage);
        }
        let is_saving = self.phase == Phase::Saving && self.permille < GROUPED_BELOW_PERMILLE;
        if tier == Tier::TOP || !is_saving || self.control == 0 {
            return Placement::Spread;
        }
        self.control -= 1;
        Placement::Pack
    }

    /// Returns the share in force, in thousandths.
    pub const fn permille(&self) -> u32 {
        self.permille
    }

    /// Counts a dispatch of a route and returns the side that it should use.
    ///
    /// `verdict` is what the route shows so far (see [`crate::stop::Monitor::verdict`]). Call it
    /// once for each dispatch, when its endpoint is about to be chosen. When the returned
    /// side has no room, the other one may be used; [`Self::refund`] gives the credit back then.
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
            self.phase = Phase::Spending(u32::MAX);
        } else if self.phase == Phase::Saving {
            let saved = self.routes.values().sum::<f64>();
            if f64::from(self.group) <= saved {
                self.phase = Phase::Spending(self.group);
                self.control = self.group;
                self.group = (self.group * 2).min(GROUP_FACTOR * self.group_max);
            }
        }
        let Phase::Spending(left) = self.phase else { return Side::Old };
        let ahead = if self.permille < GROUPED_BELOW_PERMILLE { AHEAD_MAX } else { 0.0 };
        if credit + ahead < 1.0 {
            return Side::Old;
        }
        if let Some(credit) = self.routes.get_mut(route) {
            *credit -= 1.0;
        }
        self.phase = if left <= 1 { Phase::Saving } else { Phase::Spending(left - 1) };
        Side::New
    }

    /// Gives back the credit of a dispatch that did not go to the new version after all.
    pub fn refund(&mut self, route: &id::Route) {
        if let Some(credit) = self.routes.get_mut(route) {
            *credit = (*credit + 1.0).min(CREDIT_MAX);
        }
    }
}

/// Returns the share of a route's dispatches that the new version gets, in thousandths.
///
/// `verdict` is what the route shows so far.
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
    share.min(UNPROVEN_WHOLE_PERMILLE.max(share / UNPROVEN_DIVISOR))
}

/// How the new version's requests are placed on its replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// On the one with the most in flight that still has room, so that faults under load show
    /// while the share is small.
    Pack,
    /// On the one that the usual choice prefers.
    Spread,
}

/// Returns how the new version's requests are placed at this stage.
pub fn placement(stage: Stage) -> Placement {
    if share(stage) < SPREAD_FROM_PERMILLE { Placement::Pack } else { Placement::Spread }
}

/// Returns how many replicas the new version may use at this stage.
///
/// Up to a tenth of the traffic it is one replica, or two so that one that is lost does not stop
/// the move; later it is as many as the share needs with a fifth to spare.
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
/// A share above 1,000 stands for all traffic, tier 0 included.
const fn share(stage: Stage) -> u32 {
    match stage {
        Stage::Share(permille) if permille < 1_000 => permille,
        Stage::Share(_) => 1_000,
        Stage::Watching { .. } | Stage::Done => 1_001,
        Stage::TakenBack => 0,
    }
}
