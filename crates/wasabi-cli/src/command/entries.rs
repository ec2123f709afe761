//! `wasabi entries`

use argh::FromArgs;
use wasabi_protocol::{
    command::Duty,
    rpc::{EntryStatus, Standing},
};

use crate::{client::Control, exit::Failure, output};

/// Lists the entries and the revision in force at each.
#[derive(FromArgs)]
#[argh(subcommand, name = "entries")]
pub(crate) struct Arguments {}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns why nothing can be shown.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let status = control.status().await?;
        if json {
            return output::json(&status.entries);
        }
        let row = |entry: &EntryStatus| {
            let standing = match entry.standing {
                Standing::Current => "current",
                Standing::Behind => "behind",
                Standing::Stopped => "stopped",
            };
            let duty = match entry.entry.duty {
                Duty::Serving => "serving",
                Duty::Draining => "draining",
            };
            vec![
                entry.entry.name.to_string(),
                entry.entry.caller_address.clone(),
                entry.entry.data_centre.to_string(),
                duty.to_owned(),
                entry.revision.to_string(),
                standing.to_owned(),
                entry.silent.to_string(),
            ]
        };
        let rows: Vec<_> = status.entries.iter().map(row).collect();
        let head =
            ["ENTRY", "ADDRESS", "DATA CENTRE", "DUTY", "REVISION", "STANDING", "SILENT FOR"];
        println!("revision {} is in force", status.config.revision);
        output::table(&head, &rows);
        Ok(())
    }
}
