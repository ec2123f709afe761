//! Results of operators' commands, so that a resent command gets its first result.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use wasabi_protocol::{
    clock::Millis,
    command::{Command, Outcome},
    contract::Problem,
    fingerprint, id,
};

/// Time for which the result of an operator's command is kept.
pub const RESULT_RETENTION: Millis = Millis::from_secs(24 * 60 * 60);

/// Most results that are kept.
pub const RESULTS_MAX: usize = 100_000;

/// The first results of operators' commands, by command id.
#[derive(Debug, Clone, Default)]
pub(crate) struct Results {
    by_command: BTreeMap<id::Command, Result>,
    /// Commands ordered by the time of their results.
    order: VecDeque<id::Command>,
}

/// The first result of a command.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Result {
    at: Millis,
    digest: u128,
    outcome: Outcome,
}

impl Results {
    /// Returns the stored result of a command that was given before.
    ///
    /// An id that was used for another command is refused, because the operator expects neither the
    /// result of that command nor a second effect under the same id.
    pub(crate) fn first(&self, command: &id::Command, digest: u128) -> Option<Outcome> {
        let result = self.by_command.get(command)?;
        if result.digest == digest {
            return Some(result.outcome.clone());
        }
        let problems = vec![Problem {
            field: "command".to_owned(),
            message: format!("the id {command} was used for another command; use a new one"),
        }];
        Some(Outcome::Refused { problems })
    }

    /// Stores the result of a command. Beyond [`RESULTS_MAX`] the oldest ones are removed.
    pub(crate) fn store(
        &mut self,
        command: id::Command,
        digest: u128,
        outcome: Outcome,
        now: Millis,
    ) {
        while RESULTS_MAX <= self.order.len() {
            self.remove_oldest();
        }
        self.order.push_back(command.clone());
        self.by_command.insert(command, Result { at: now, digest, outcome });
    }

    pub(crate) fn expire(&mut self, now: Millis) {
        while let Some(oldest) = self.order.front() {
            let is_retained = self
                .by_command
                .get(oldest)
                .is_some_and(|result| now.since(result.at) < RESULT_RETENTION);
            if is_retained {
                return;
            }
            self.remove_oldest();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    pub(crate) fn to_snapshot(&self) -> Vec<(id::Command, Result)> {
        self.order
            .iter()
            .filter_map(|command| Some((command.clone(), self.by_command.get(command)?.clone())))
            .collect()
    }

    pub(crate) fn from_snapshot(results: Vec<(id::Command, Result)>) -> Self {
        let order = results.iter().map(|(command, _)| command.clone()).collect();
        Self { by_command: results.into_iter().collect(), order }
    }

    fn remove_oldest(&mut self) {
        if let Some(command) = self.order.pop_front() {
            self.by_command.remove(&command);
        }
    }
}

/// Returns the digest that distinguishes a resent command from another one under the same id.
///
/// The base revision is left out, because a command that is given again after it took effect is
/// based on a later revision but is still the same command.
pub(crate) fn digest(command: &Command) -> u128 {
    let mut command = command.clone();
    if let Command::ApplyContract { order, .. }
    | Command::RemoveContract { order, .. }
    | Command::StartMove { order, .. }
    | Command::TakeBackMove { order, .. } = &mut command
    {
        order.base = id::Revision(0);
    }
    // Encoding into a vector fails only for types that the command does not contain.
    postcard::to_stdvec(&command).map_or(0, |bytes| fingerprint::content(&bytes))
}
