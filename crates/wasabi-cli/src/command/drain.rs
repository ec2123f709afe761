//! `wasabi drain`

use std::time::{Duration, Instant};

use argh::FromArgs;
use wasabi_protocol::{
    command::Duty,
    rpc::{Drain, Drained, method},
};

use crate::{
    client::{Control, Reply},
    exit::Failure,
    output,
};

/// Interval at which the entry is polled with `--follow`.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Drains an entry: it is removed from all entry lists at once and completes its open requests. An
/// entry that does not respond counts as stopped from then on.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Arguments {
    /// the name of the entry
    #[argh(positional)]
    entry: String,
    /// wait until the entry has stopped
    #[argh(switch)]
    follow: bool,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the drain is not accepted, or when the status cannot be polled.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let drain =
            Drain { credential: control.credential.clone(), entry: self.entry.as_str().into() };
        let deadline = Instant::now() + control.timeout;
        let parse = |response| match response {
            Drained::Ordered { revision } => Ok(Reply::Done(revision)),
            Drained::NotLeader { leader } => Ok(Reply::NotLeader(leader)),
            Drained::Unknown => Ok(Reply::Unknown),
            Drained::Refused(fault) => Err(Failure::from_fault(fault)),
        };
        let revision = control
            .call(method::DRAIN, &drain, deadline, parse)
            .await
            .map_err(|error| error.failure)?;
        if self.follow {
            self.wait_until_stopped(control).await?;
        }
        if json {
            return output::json(&serde_json::json!({
                "entry": self.entry,
                "revision": revision,
                "duty": Duty::Draining,
            }));
        }
        println!("{} is removed from all entry lists as of revision {revision}", self.entry);
        Ok(())
    }

    async fn wait_until_stopped(&self, control: &Control) -> Result<(), Failure> {
        loop {
            let view = control.status().await?.config.view;
            if !view.entries.iter().any(|entry| entry.name.as_str() == self.entry) {
                return Ok(());
            }
            eprintln!("{} is completing its open requests", self.entry);
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}
