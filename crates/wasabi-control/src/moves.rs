//! Execution of version moves by the leader.
//!
//! The stage of a move is replicated, so a new leader continues from it. The evidence is not: a new
//! leader collects it again, and an owner that stopped the new version reports that again. A stage
//! changes by compare-and-set and never leaves a final state, so a move ends exactly once.

use std::collections::BTreeMap;

use tracing::info;
use wasabi_protocol::{
    clock::{Millis, unix_now},
    command::{Command, Move},
    id,
    rpc::Checkin,
};
use wasabi_rollout::decision::{self, EndpointCounts, RolloutEvidence};

use crate::{
    member::{LeaderTask, Member},
    record::Item,
};

/// Time between two decisions on moves.
const DECISION_INTERVAL: Millis = Millis(250);

/// Evidence that the leader has collected on moves in progress.
#[derive(Debug, Default)]
pub(crate) struct MoveEvidence {
    by_move: BTreeMap<id::Move, Evidence>,
    next: Millis,
}

/// Evidence that the leader has collected on one move.
#[derive(Debug)]
struct Evidence {
    ledger: RolloutEvidence,
    /// Highest number of endpoints of the old version that were announced at one time.
    max_old_endpoints: usize,
}

impl Evidence {
    fn new(machine: &wasabi_state::Machine, order: &Move) -> Self {
        Self {
            ledger: RolloutEvidence::new(routes(machine, order)).with_duration(order.span()),
            max_old_endpoints: 0,
        }
    }
}

impl Member {
    /// Adds the evidence of a check-in to the moves in progress.
    pub(crate) fn add_evidence(&mut self, checkin: &Checkin) {
        if checkin.evidence.is_empty() {
            return;
        }
        let now = unix_now();
        let moves = self.machine.moves().filter(|order| !order.stage.is_final());
        for order in moves {
            let evidence = self.leader_state.moves.by_move.entry(order.plan.name.clone());
            let evidence = evidence.or_insert_with(|| Evidence::new(&self.machine, order));
            evidence.ledger.add(now, &order.plan, &checkin.evidence);
        }
    }

    /// Proposes the next stage of a move when its conditions are met.
    pub(crate) fn advance_moves(&mut self) {
        let now = self.clock.now();
        if now < self.leader_state.moves.next {
            return;
        }
        self.leader_state.moves.next = now + DECISION_INTERVAL;
        let open: Vec<Move> =
            self.machine.moves().filter(|order| !order.stage.is_final()).cloned().collect();
        self.leader_state
            .moves
            .by_move
            .retain(|name, _| open.iter().any(|order| order.plan.name == *name));
        if open.is_empty() {
            return;
        }
        let endpoints = self.liveness.endpoints(now);
        for order in open {
            let announced = |version: &id::Version| {
                let plan = &order.plan;
                let matches_plan = |endpoint: &&wasabi_protocol::endpoint::Announcement| {
                    endpoint.kind == plan.kind
                        && endpoint.backend == plan.backend
                        && endpoint.version == *version
                };
                endpoints.iter().filter(matches_plan).count()
            };
            let (new, old) = (announced(&order.plan.to), announced(&order.plan.from));
            let evidence = self.leader_state.moves.by_move.entry(order.plan.name.clone());
            let evidence = evidence.or_insert_with(|| Evidence::new(&self.machine, &order));
            evidence.max_old_endpoints = evidence.max_old_endpoints.max(old);
            let supply = EndpointCounts { new, required: evidence.max_old_endpoints.max(1) };
            let next = decision::decide(unix_now(), &order, &evidence.ledger, supply);
            if let Some(next) = next {
                let counts = evidence.ledger.trials().summary();
                info!(
                    name = %order.plan.name, stage = ?next.stage, reason = next.reason, counts,
                    new_endpoints = supply.new, "move"
                );
                let command = Command::StageMove {
                    name: order.plan.name,
                    from: order.stage,
                    to: next.stage,
                    reason: next.reason,
                };
                self.propose_task(LeaderTask::Moves, Item::Command(command));
                return;
            }
        }
    }
}

/// Returns the number of routes to the back end of the move, at least 1.
fn routes(machine: &wasabi_state::Machine, order: &Move) -> usize {
    let contracts = machine.contracts();
    let routes = contracts.flat_map(|contract| &contract.routes);
    routes.filter(|route| *route.target.backend() == order.plan.backend).count().max(1)
}
