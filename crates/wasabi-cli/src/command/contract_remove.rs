//! `wasabi contract remove`

use argh::FromArgs;
use wasabi_protocol::command::Command;

use crate::{
    client::{ChangeOptions, Control},
    exit::Failure,
    output,
};

/// Removes the contract of an organisation.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct Arguments {
    /// the name of the organisation
    #[argh(positional)]
    organisation: String,
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
        let options = ChangeOptions { base: self.base, command_id: self.command_id };
        let organisation = self.organisation.as_str();
        let command = |order| Command::RemoveContract { order, organisation: organisation.into() };
        let (revision, force) = control.change(&options, command).await?;
        output::in_force(revision, &force, json)
    }
}
