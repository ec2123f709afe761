//! `wasabi quarantine`

use argh::FromArgs;
use wasabi_protocol::rpc::Suspect;

use crate::{client::Control, exit::Failure, output};

/// Lists the requests that crashed endpoints.
#[derive(FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub(crate) struct Arguments {}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the status cannot be fetched or printed.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let suspects = control.status().await?.suspects;
        if json {
            return output::json(&suspects);
        }
        let row = |suspect: &Suspect| {
            vec![
                suspect.fingerprint.to_string(),
                suspect.organisation.to_string(),
                suspect.crashes.to_string(),
                format!("{:.2}", suspect.weight),
                format!("{:.0} s", suspect.age.seconds()),
            ]
        };
        let rows: Vec<_> = suspects.iter().map(row).collect();
        output::table(&["FINGERPRINT", "ORGANISATION", "CRASHES", "WEIGHT", "LAST CRASH"], &rows);
        Ok(())
    }
}
