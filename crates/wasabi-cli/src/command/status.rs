//! `wasabi status`

use argh::FromArgs;

use crate::{client::Control, exit::Failure, output};

/// Shows the state of the whole system and its degraded parts.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Arguments {
    /// show what a member knows by itself, for use while control has no quorum
    #[argh(switch)]
    local: bool,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns why nothing can be shown.
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
            status.config.moves.iter().filter(|order| !order.stage.is_final()).count(),
            status.suspects.len()
        );
        output::members(&status.members);
        if status.degraded.is_empty() {
            println!("no part is degraded");
        }
        for part in &status.degraded {
            println!("degraded: {part}");
        }
        Ok(())
    }
}
