//! `wasabi entries`

use argh::FromArgs;
use wasabi_protocol::{
    command::Duty,
    rpc::{EntryStatus, Standing},
};

use crate::{client::Control, exit::Failure, output};

/// Lists the entries and the revision that is in force at each.
#[derive(FromArgs)]
#[argh(subcommand, name = "entries")]
pub(crate) struct Arguments {}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the status cannot be fetched or printed.
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
        let header =
            ["ENTRY", "ADDRESS", "DATA CENTRE", "DUTY", "REVISION", "STANDING", "SILENT FOR"];
        println!("revision {} is in force", status.config.revision);
        output::table(&header, &rows);
        Ok(())
    }
}
