//! Driving of version moves by the leader.
//!
//! The stage of a move is in the log, so whoever leads goes on from it. The evidence is not: a new
//! leader collects it anew, and an owner that stopped the new version reports that again. A stage
//! changes by compare-and-set and never from a final one, so a move ends exactly once.

use std::collections::BTreeMap;

use tracing::info;
use wasabi_protocol::{
    clock::{Millis, unix_now},
    command::{Command, Move},
    id,
    rpc::Checkin,
};
use wasabi_rollout::decision::{self, Ledger, Supply};

use crate::{
    member::{Duty, Member},
    record::Item,
};

/// Time between two decisions on moves, in milliseconds.
const EVERY: Millis = Millis(250);

/// What the leader has collected on the moves that have not ended.
#[derive(Debug, Default)]
pub(crate) struct Book {
    by_move: BTreeMap<id::Move, Evidence>,
    next: Millis,
}

/// What the leader has collected on one move.
#[derive(Debug)]
struct Evidence {
    ledger: Ledger,
    /// Most endpoints of the old version that were announced at one time.
    old_most: usize,
}

impl Evidence {
    fn new(machine: &wasabi_state::Machine, order: &Move) -> Self {
        Self { ledger: Ledger::new(routes(machine, order)).within(order.span()), old_most: 0 }
    }
}

impl Member {
    /// Takes the evidence of a check-in into account.
    pub(crate) fn add_evidence(&mut self, checkin: &Checkin) {
        if checkin.evidence.is_empty() {
            return;
        }
        let now = unix_now();
        let moves = self.machine.moves().filter(|order| !order.stage.is_final());
        for order in moves {
            let evidence = self.duties.moves.by_move.entry(order.plan.name.clone());
            let evidence = evidence.or_insert_with(|| Evidence::new(&self.machine, order));
            evidence.ledger.add(now, &order.plan, &checkin.evidence);
        }
    }

    /// Proposes the next stage of a move when its time has come.
    pub(crate) fn drive_moves(&mut self) {
        let now = self.clock.now();
        if now < self.duties.moves.next {
            return;
        }
        self.duties.moves.next = now + EVERY;
        let open: Vec<Move> =
            self.machine.moves().filter(|order| !order.stage.is_final()).cloned().collect();
        self.duties
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
                let is_one = |endpoint: &&wasabi_protocol::endpoint::Announcement| {
                    endpoint.kind == plan.kind
                        && endpoint.backend == plan.backend
                        && endpoint.version == *version
                };
                endpoints.iter().filter(is_one).count()
            };
            let (new, old) = (announced(&order.plan.to), announced(&order.plan.from));
            let evidence = self.duties.moves.by_move.entry(order.plan.name.clone());
            let evidence = evidence.or_insert_with(|| Evidence::new(&self.machine, &order));
            evidence.old_most = evidence.old_most.max(old);
            let supply = Supply { new, full: evidence.old_most.max(1) };
            let next = decision::decide(unix_now(), &order, &evidence.ledger, supply);
            if let Some(next) = next {
                let counts = evidence.ledger.trials().counts();
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
                self.propose_duty(Duty::Moves, Item::Command(command));
                return;
            }
        }
    }
}

/// Returns how many routes lead to what the move concerns.
fn routes(machine: &wasabi_state::Machine, order: &Move) -> usize {
    let contracts = machine.contracts();
    let routes = contracts.flat_map(|contract| &contract.routes);
    routes.filter(|route| *route.target.backend() == order.plan.backend).count().max(1)
}
