//! Version moves and their stages.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use wasabi_protocol::{
    clock::Millis,
    command::{Move, Plan, Stage},
    contract::Problem,
    id,
};

/// Most ended moves that are kept for reports. The oldest ones are removed first.
pub const ENDED_MOVES_MAX: usize = 100;

/// The full share, in thousandths.
const FULL_PERMILLE: u32 = 1_000;

/// Version moves, and the versions that were rolled back.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Moves {
    by_name: BTreeMap<id::Move, Move>,
    banned: BTreeSet<(id::Backend, id::Version)>,
}

impl Moves {
    pub(crate) fn list(&self) -> impl Iterator<Item = &Move> {
        self.by_name.values()
    }

    pub(crate) fn banned(&self) -> impl Iterator<Item = &(id::Backend, id::Version)> {
        self.banned.iter()
    }

    /// Starts a move. Returns a description of the change, or all problems that prevent it.
    pub(crate) fn start(&mut self, plan: &Plan, now: Millis) -> Result<String, Vec<Problem>> {
        let problems = self.problems(plan, now);
        if !problems.is_empty() {
            return Err(problems);
        }
        let started = Move {
            plan: plan.clone(),
            stage: Stage::Share(plan.start_permille),
            reason: "ordered".to_owned(),
            started: now,
            changed: now,
        };
        self.by_name.insert(plan.name.clone(), started);
        Ok(format!(
            "started the move {} of {} from {} to {}",
            plan.name, plan.backend, plan.from, plan.to
        ))
    }

    /// Rolls a move back by an operator's order.
    pub(crate) fn roll_back(
        &mut self,
        name: &id::Move,
        operator: &str,
        now: Millis,
    ) -> Result<String, Vec<Problem>> {
        let Some(current) = self.by_name.get(name) else {
            return Err(problem("name", format!("no move {name} is known")));
        };
        let stage = current.stage;
        let reason = format!("ordered by {operator}");
        self.set_stage(name, stage, Stage::TakenBack, &reason, now)
            .map_err(|message| problem("name", message))
    }

    /// Changes the stage of a move if it is still `from`. Returns a description of the change.
    ///
    /// # Errors
    ///
    /// Returns the reason if the move is unknown, has ended or is at another stage.
    pub(crate) fn set_stage(
        &mut self,
        name: &id::Move,
        from: Stage,
        to: Stage,
        reason: &str,
        now: Millis,
    ) -> Result<String, String> {
        let Some(current) = self.by_name.get_mut(name) else {
            return Err(format!("no move {name} is known"));
        };
        if current.stage.is_final() {
            return Err(format!("the move {name} has ended: {}", current.reason));
        }
        if current.stage != from || from == to {
            return Err(format!("the move {name} is at another stage"));
        }
        current.stage = to;
        current.reason = reason.to_owned();
        current.changed = now;
        if to == Stage::TakenBack {
            self.banned.insert((current.plan.backend.clone(), current.plan.to.clone()));
        }
        let text = match to {
            Stage::Share(permille) => format!("gave the move {name} a share of {permille}/1000"),
            Stage::Watching { .. } => format!("moved all traffic of the move {name}"),
            Stage::Done => format!("ended the move {name} as done"),
            Stage::TakenBack => format!("took the move {name} back"),
        };
        self.remove_oldest_ended();
        Ok(text)
    }

    /// Returns all problems that prevent a move.
    fn problems(&self, plan: &Plan, now: Millis) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut report = |field: &str, message: String| {
            problems.push(Problem { field: field.to_owned(), message });
        };
        if plan.name.as_str().is_empty() {
            report("name", "must not be empty".to_owned());
        }
        if self.by_name.contains_key(&plan.name) {
            report("name", format!("{} names an earlier move; choose another name", plan.name));
        }
        if plan.backend.as_str().is_empty() {
            report("backend", "must name a model or a service".to_owned());
        }
        if plan.to == plan.from {
            report("to", "must differ from `from`".to_owned());
        }
        if self.banned.contains(&(plan.backend.clone(), plan.to.clone())) {
            report("to", format!("{} of {} was taken back", plan.to, plan.backend));
        }
        if plan.start_permille == 0 || FULL_PERMILLE < plan.start_permille {
            report("start_permille", "must be between 1 and 1000".to_owned());
        }
        if plan.finish_by <= now {
            report("finish_by", "must be in the future".to_owned());
        }
        let other = self.list().find(|other| {
            other.plan.backend == plan.backend
                && other.plan.kind == plan.kind
                && !other.stage.is_final()
        });
        if let Some(other) = other {
            report("backend", format!("{} has the move {}", plan.backend, other.plan.name));
        }
        problems
    }

    /// Keeps at most [`ENDED_MOVES_MAX`] ended moves.
    fn remove_oldest_ended(&mut self) {
        let mut ended: Vec<_> = self
            .list()
            .filter(|ended| ended.stage.is_final())
            .map(|ended| (ended.changed, ended.plan.name.clone()))
            .collect();
        if ended.len() <= ENDED_MOVES_MAX {
            return;
        }
        ended.sort();
        for (_, name) in ended.iter().take(ended.len() - ENDED_MOVES_MAX) {
            self.by_name.remove(name);
        }
    }
}

fn problem(field: &str, message: String) -> Vec<Problem> {
    vec![Problem { field: field.to_owned(), message }]
}
