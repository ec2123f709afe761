//! `wasabi contract apply`

use std::path::PathBuf;

use argh::FromArgs;
use wasabi_protocol::command::Command;

use crate::{
    client::{Control, Terms},
    exit::Failure,
    output, yaml,
};

/// Puts a contract in force, in place of an earlier one of the same organisation.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Arguments {
    /// the contract (YAML)
    #[argh(positional)]
    file: PathBuf,
    /// the revision that the change is made on; the one in force when absent
    #[argh(option)]
    base: Option<u64>,
    /// the id of a command whose outcome is unknown, to give it again
    #[argh(option)]
    command_id: Option<String>,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns why the change is not in force everywhere.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let contract = yaml::contract(&self.file)?;
        let terms = Terms { base: self.base, command: self.command_id };
        let command = |order| Command::ApplyContract { order, contract: contract.clone() };
        let (revision, force) = control.change(&terms, command).await?;
        output::in_force(revision, &force, json)
    }
}
