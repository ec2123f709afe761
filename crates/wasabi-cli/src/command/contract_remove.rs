//! `wasabi contract remove`

use argh::FromArgs;
use wasabi_protocol::command::Command;

use crate::{
    client::{Control, Terms},
    exit::Failure,
    output,
};

/// Ends the contract of an organisation.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct Arguments {
    /// the organisation
    #[argh(positional)]
    organisation: String,
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
        let terms = Terms { base: self.base, command: self.command_id };
        let organisation = self.organisation.as_str();
        let command = |order| Command::RemoveContract { order, organisation: organisation.into() };
        let (revision, force) = control.change(&terms, command).await?;
        output::in_force(revision, &force, json)
    }
}
