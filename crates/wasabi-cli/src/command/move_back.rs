//! `wasabi move back`

use argh::FromArgs;
use wasabi_protocol::command::Command;

use crate::{
    client::{Control, Terms},
    exit::Failure,
    output,
};

/// Takes a version move back; its new version is never offered again.
#[derive(FromArgs)]
#[argh(subcommand, name = "back")]
pub(crate) struct Arguments {
    /// the name of the move
    #[argh(positional)]
    name: String,
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
        let name = self.name.as_str();
        let command = |order| Command::TakeBackMove { order, name: name.into() };
        let (revision, force) = control.change(&terms, command).await?;
        output::in_force(revision, &force, json)
    }
}
