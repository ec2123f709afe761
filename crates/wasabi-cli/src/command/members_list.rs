//! `wasabi members list`

use argh::FromArgs;

use crate::{client::Control, exit::Failure, output};

/// Lists the members of the control group.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct Arguments {}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the status cannot be fetched or printed.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let members = control.status().await?.members;
        if json {
            return output::json(&members);
        }
        output::members(&members);
        Ok(())
    }
}
