//! `wasabi contract apply`

use std::path::PathBuf;

use argh::FromArgs;
use wasabi_protocol::command::Command;

use crate::{
    client::{ChangeOptions, Control},
    exit::Failure,
    output, yaml,
};

/// Applies a contract. It replaces an earlier contract of the same organisation.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Arguments {
    /// path of the contract file (YAML)
    #[argh(positional)]
    file: PathBuf,
    /// the revision that the change is based on (default: the revision in force)
    #[argh(option)]
    base: Option<u64>,
    /// the id of an earlier command with an unknown outcome, to repeat that command
    #[argh(option)]
    command_id: Option<String>,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the change is not confirmed to be in force at every entry.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let contract = yaml::contract(&self.file)?;
        let options = ChangeOptions { base: self.base, command_id: self.command_id };
        let command = |order| Command::ApplyContract { order, contract: contract.clone() };
        let (revision, force) = control.change(&options, command).await?;
        output::in_force(revision, &force, json)
    }
}
