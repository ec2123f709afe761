//! `wasabi move list`

use argh::FromArgs;
use wasabi_protocol::command::Move;

use crate::{client::Control, exit::Failure, output};

/// Lists the version moves.
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
        let moves = control.status().await?.config.moves;
        if json {
            return output::json(&moves);
        }
        let row = |version_move: &Move| {
            let plan = &version_move.plan;
            vec![
                plan.name.to_string(),
                plan.backend.to_string(),
                format!("{} -> {}", plan.from, plan.to),
                output::stage(version_move),
                version_move.reason.clone(),
            ]
        };
        let rows: Vec<_> = moves.iter().map(row).collect();
        output::table(&["MOVE", "BACKEND", "VERSIONS", "STAGE", "REASON"], &rows);
        Ok(())
    }
}
