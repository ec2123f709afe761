//! `wasabi endpoints`

use argh::FromArgs;
use wasabi_protocol::endpoint::Announcement;

use crate::{client::Control, exit::Failure, output};

/// Lists the endpoints that entries know.
#[derive(FromArgs)]
#[argh(subcommand, name = "endpoints")]
pub(crate) struct Arguments {}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns why nothing can be shown.
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
        let head = ["ENDPOINT", "ADDRESS", "DATA CENTRE", "BACKEND", "VERSION", "RUNNING"];
        output::table(&head, &rows);
        Ok(())
    }
}
