//! `wasabi status`

use argh::FromArgs;

use crate::{client::Control, exit::Failure, output};

/// Shows the state of the system and its degraded components.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Arguments {
    /// show the local state of one member, for use while control has no quorum
    #[argh(switch)]
    local: bool,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the status cannot be fetched or printed.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let status = if self.local {
            control.status_of(&control.addresses).await?
        } else {
            control.status().await?
        };
        if json {
            return output::json(&status);
        }
        println!("revision {}, view {}", status.config.revision, status.config.view.number);
        println!(
            "{} contracts, {} entries, {} endpoints, {} moves, {} suspects",
            status.config.contracts.len(),
            status.entries.len(),
            status.endpoints.len(),
            status
                .config
                .moves
                .iter()
                .filter(|version_move| !version_move.stage.is_final())
                .count(),
            status.suspects.len()
        );
        output::members(&status.members);
        if status.degraded.is_empty() {
            println!("no component is degraded");
        }
        for component in &status.degraded {
            println!("degraded: {component}");
        }
        Ok(())
    }
}
