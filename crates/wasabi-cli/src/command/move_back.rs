//! `wasabi move back`

use argh::FromArgs;
use wasabi_protocol::command::Command;

use crate::{
    client::{ChangeOptions, Control},
    exit::Failure,
    output,
};

/// Rolls a version move back. Its new version is rejected from then on.
#[derive(FromArgs)]
#[argh(subcommand, name = "back")]
pub(crate) struct Arguments {
    /// the name of the move
    #[argh(positional)]
    name: String,
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
        let name = self.name.as_str();
        let command = |order| Command::TakeBackMove { order, name: name.into() };
        let (revision, force) = control.change(&options, command).await?;
        output::in_force(revision, &force, json)
    }
}
