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
    /// Returns why nothing can be shown.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let moves = control.status().await?.config.moves;
        if json {
            return output::json(&moves);
        }
        let row = |order: &Move| {
            let plan = &order.plan;
            vec![
                plan.name.to_string(),
                plan.backend.to_string(),
                format!("{} -> {}", plan.from, plan.to),
                output::stage(order),
                order.reason.clone(),
            ]
        };
        let rows: Vec<_> = moves.iter().map(row).collect();
        output::table(&["MOVE", "BACKEND", "VERSIONS", "STAGE", "REASON"], &rows);
        Ok(())
    }
}
