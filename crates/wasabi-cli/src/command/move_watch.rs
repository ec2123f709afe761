//! `wasabi move watch`

use std::time::Duration;

use argh::FromArgs;
use wasabi_protocol::command::Stage;

use crate::{client::Control, exit::Failure, output};

/// Interval at which the move is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Follows a version move until it is done or rolled back.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub(crate) struct Arguments {
    /// the name of the move
    #[argh(positional)]
    pub(crate) name: String,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the move is unknown or rolled back, or when the status cannot be
    /// fetched.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let mut last_stage = None;
        loop {
            let status = match control.status().await {
                // The move continues without this command, so keep polling until there is a leader
                // again.
                Err(Failure::Unavailable(message)) => {
                    eprintln!("waiting for control: {message}");
                    continue;
                }
                status => status?,
            };
            let mut moves = status.config.moves.iter();
            let Some(current) = moves.find(|current| current.plan.name.as_str() == self.name)
            else {
                return Err(Failure::Input(format!("no move {} is known", self.name)));
            };
            if last_stage != Some(current.stage) {
                last_stage = Some(current.stage);
                eprintln!("{}: {} ({})", self.name, output::stage(current), current.reason);
            }
            if current.stage.is_final() {
                if json {
                    output::json(current)?;
                } else {
                    println!("{}: {} ({})", self.name, output::stage(current), current.reason);
                }
                if current.stage == Stage::TakenBack {
                    return Err(Failure::RolledBack(current.reason.clone()));
                }
                return Ok(());
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}
