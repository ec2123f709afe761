//! `wasabi move watch`

use std::time::Duration;

use argh::FromArgs;
use wasabi_protocol::command::Stage;

use crate::{client::Control, exit::Failure, output};

/// Time between two looks at the move, in milliseconds.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Follows a version move until it is done or taken back.
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
    /// Returns a failure when the move is taken back or cannot be followed.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let mut last = None;
        loop {
            let status = match control.status().await {
                // The move goes on without this command, so that a change of leader is waited for.
                Err(Failure::Unavailable(message)) => {
                    eprintln!("waiting for control: {message}");
                    continue;
                }
                status => status?,
            };
            let mut moves = status.config.moves.iter();
            let Some(order) = moves.find(|order| order.plan.name.as_str() == self.name) else {
                return Err(Failure::Input(format!("no move {} is known", self.name)));
            };
            if last != Some(order.stage) {
                last = Some(order.stage);
                eprintln!("{}: {} ({})", self.name, output::stage(order), order.reason);
            }
            if order.stage.is_final() {
                if json {
                    output::json(order)?;
                } else {
                    println!("{}: {} ({})", self.name, output::stage(order), order.reason);
                }
                if order.stage == Stage::TakenBack {
                    return Err(Failure::TakenBack(order.reason.clone()));
                }
                return Ok(());
            }
            actix_rt::time::sleep(LOOK_EVERY).await;
        }
    }
}
