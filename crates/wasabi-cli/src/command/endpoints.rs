//! `wasabi endpoints`

use argh::FromArgs;
use wasabi_protocol::endpoint::Announcement;

use crate::{client::Control, exit::Failure, output};

/// Lists the endpoints that are announced to the entries.
#[derive(FromArgs)]
#[argh(subcommand, name = "endpoints")]
pub(crate) struct Arguments {}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the status cannot be fetched or printed.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let endpoints = control.status().await?.endpoints;
        if json {
            return output::json(&endpoints);
        }
        let row = |endpoint: &Announcement| {
            vec![
                endpoint.name.to_string(),
                endpoint.address.clone(),
                endpoint.data_centre.to_string(),
                endpoint.backend.to_string(),
                endpoint.version.to_string(),
                format!("{}/{}", endpoint.load.running, endpoint.concurrency),
            ]
        };
        let rows: Vec<_> = endpoints.iter().map(row).collect();
        let header = ["ENDPOINT", "ADDRESS", "DATA CENTRE", "BACKEND", "VERSION", "RUNNING"];
        output::table(&header, &rows);
        Ok(())
    }
}
