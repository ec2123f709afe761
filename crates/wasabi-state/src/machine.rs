//! Application of commands to the replicated state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wasabi_protocol::{
    clock::Millis,
    command::{Command, Config, Entry, Order, Outcome, View},
    contract::{Contract, Problem},
    id, site,
};

use crate::{
    keys::{self, RecordStore},
    lease::Lease,
    moves::Moves,
    results::{self, Results},
};

/// Operator name of changes by the control leader itself.
pub(crate) const CONTROL_OPERATOR: &str = "control";

/// State that every control member derives from the log.
#[derive(Debug, Clone, Default)]
pub struct Machine {
    pub(crate) index: u64,
    pub(crate) now: Millis,
    pub(crate) revision: id::Revision,
    pub(crate) last: Change,
    pub(crate) contracts: BTreeMap<id::Organisation, Contract>,
    pub(crate) view: View,
    pub(crate) moves: Moves,
    pub(crate) lease: Lease,
    pub(crate) results: Results,
    pub(crate) keys: RecordStore,
    pub(crate) site: Option<site::Document>,
}

/// The last accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// The resulting revision.
    pub revision: id::Revision,
    /// The operator, or `control` for changes by the control leader itself.
    pub operator: String,
    /// Description of the change for the operator.
    pub text: String,
}

/// Number and size of the items in the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Contracts in force.
    pub contracts: usize,
    /// At-most-once records.
    pub keys: usize,
    /// Bytes accounted to at-most-once records.
    pub key_bytes: usize,
    /// Stored results of operators' commands.
    pub results: usize,
}

impl Machine {
    /// Returns an empty machine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the command at a log index and returns its outcome.
    ///
    /// `now` is the leader's wall-clock time in milliseconds since the Unix epoch. If it is before
    /// the time of an earlier command, that time is used instead.
    pub fn apply(&mut self, index: u64, now: Millis, command: &Command) -> Outcome {
        self.index = self.index.max(index);
        self.now = self.now.max(now);
        match command {
            Command::ApplyContract { order, .. }
            | Command::RemoveContract { order, .. }
            | Command::StartMove { order, .. }
            | Command::TakeBackMove { order, .. } => self.apply_order(order, command),
            Command::StageMove { name, from, to, reason } => {
                match self.moves.set_stage(name, *from, *to, reason, self.now) {
                    Ok(text) => self.accept(CONTROL_OPERATOR, text),
                    Err(_) => self.conflict(),
                }
            }
            Command::SetView { base, entries } => self.set_view(*base, entries),
            Command::GrantOrderLease { holder, span } => self.lease.grant(holder, *span, self.now),
            Command::RecordDispatch { key, created, body, attempt, entry } => {
                let request =
                    keys::Request { key, created: *created, body: *body, attempt: *attempt, entry };
                self.keys.record(&request, self.now)
            }
            Command::ReleaseDispatch { key, attempt } => self.keys.release(key, *attempt, self.now),
            Command::FinishDispatch { key, attempt, kept } => {
                self.keys.finish(key, *attempt, kept, self.now)
            }
            Command::ExpireKeys => {
                self.results.expire(self.now);
                self.keys.expire(self.now)
            }
            Command::PutSite(document) => self.put_site(document),
        }
    }

    /// Returns the configuration that entries hold.
    pub fn config(&self) -> Config {
        Config {
            revision: self.revision,
            view: self.view.clone(),
            contracts: self.contracts.values().cloned().collect(),
            moves: self.moves.list().cloned().collect(),
            banned: self.moves.banned().cloned().collect(),
            site: self.site.as_ref().map(|document| document.config.clone()),
        }
    }

    /// Returns the revision in force.
    pub const fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Returns the index of the last applied command.
    pub const fn index(&self) -> u64 {
        self.index
    }

    /// Returns the log time, in milliseconds since the Unix epoch.
    pub const fn now(&self) -> Millis {
        self.now
    }

    /// Returns the entry view.
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Returns the contracts, ordered by organisation.
    pub fn contracts(&self) -> impl Iterator<Item = &Contract> {
        self.contracts.values()
    }

    /// Returns the site configuration in force, with its source text.
    pub const fn site(&self) -> Option<&site::Document> {
        self.site.as_ref()
    }

    /// Returns the moves, ordered by name.
    pub fn moves(&self) -> impl Iterator<Item = &wasabi_protocol::command::Move> {
        self.moves.list()
    }

    /// Returns the last accepted change.
    pub const fn last_change(&self) -> &Change {
        &self.last
    }

    /// Returns the time at which the next at-most-once record may expire.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.keys.next_expiry()
    }

    /// Returns the number and size of the items in the machine.
    pub fn size(&self) -> Size {
        Size {
            contracts: self.contracts.len(),
            keys: self.keys.len(),
            key_bytes: self.keys.bytes(),
            results: self.results.len(),
        }
    }

    /// Applies an operator's command once and stores its result.
    fn apply_order(&mut self, order: &Order, command: &Command) -> Outcome {
        self.results.expire(self.now);
        let digest = results::digest(command);
        if let Some(first) = self.results.first(&order.command, digest) {
            return first;
        }
        let outcome = if order.base == self.revision {
            match self.apply_change(command) {
                Ok(text) => self.accept(&order.operator, text),
                Err(problems) => Outcome::Refused { problems },
            }
        } else {
            self.conflict()
        };
        self.results.store(order.command.clone(), digest, outcome.clone(), self.now);
        outcome
    }

    /// Applies an operator's change. Returns its description, or all problems that prevent it.
    fn apply_change(&mut self, command: &Command) -> Result<String, Vec<Problem>> {
        match command {
            Command::ApplyContract { contract, .. } => {
                let problems = contract.problems();
                if !problems.is_empty() {
                    return Err(problems);
                }
                self.contracts.insert(contract.organisation.clone(), contract.clone());
                Ok(format!("applied the contract of {}", contract.organisation))
            }
            Command::RemoveContract { organisation, .. } => {
                if self.contracts.remove(organisation).is_none() {
                    return Err(vec![Problem {
                        field: "organisation".to_owned(),
                        message: format!("no contract of {organisation} is in force"),
                    }]);
                }
                Ok(format!("removed the contract of {organisation}"))
            }
            Command::StartMove { plan, .. } => self.moves.start(plan, self.now),
            Command::TakeBackMove { order, name } => {
                self.moves.roll_back(name, &order.operator, self.now)
            }
            _ => Err(vec![Problem {
                field: "command".to_owned(),
                message: "is not an operator's command".to_owned(),
            }]),
        }
    }

    /// Accepts a site configuration with a higher version than the current one. An older or resent
    /// one is acknowledged without effect, whatever its content.
    fn put_site(&mut self, document: &site::Document) -> Outcome {
        let version = document.config.version;
        if self.site.as_ref().is_some_and(|current| version <= current.config.version) {
            return Outcome::Done;
        }
        let problems = document.config.problems();
        if !problems.is_empty() {
            return Outcome::Refused { problems };
        }
        self.site = Some(document.clone());
        self.accept(CONTROL_OPERATOR, format!("put version {version} of the site in force"))
    }

    /// Replaces the entry view if `base` is the current one.
    fn set_view(&mut self, base: id::View, entries: &[Entry]) -> Outcome {
        if base != self.view.number {
            return self.conflict();
        }
        let by_name: BTreeMap<_, _> = entries.iter().map(|entry| (&entry.name, entry)).collect();
        let entries: Vec<Entry> = by_name.into_values().cloned().collect();
        if entries == self.view.entries {
            return Outcome::Accepted { revision: self.revision };
        }
        self.view = View { number: base.next(), entries };
        let text = format!(
            "changed the entry view to {} with {} entries",
            self.view.number,
            self.view.entries.len()
        );
        self.accept(CONTROL_OPERATOR, text)
    }

    /// Records a change under the next revision.
    fn accept(&mut self, operator: &str, text: String) -> Outcome {
        self.revision = self.revision.next();
        self.last = Change { revision: self.revision, operator: operator.to_owned(), text };
        Outcome::Accepted { revision: self.revision }
    }

    fn conflict(&self) -> Outcome {
        Outcome::Conflict {
            revision: self.revision,
            operator: self.last.operator.clone(),
            change: self.last.text.clone(),
        }
    }
}
