//! `wasabi move start`

use argh::FromArgs;
use wasabi_protocol::{
    clock::{Millis, unix_now},
    command::{Command, Plan},
    endpoint::Kind,
};

use super::move_watch;
use crate::{
    client::{Control, Terms},
    exit::Failure,
    output,
};

/// Orders a version move.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
pub(crate) struct Arguments {
    /// the name of the move, never used before
    #[argh(positional)]
    name: String,
    /// the model or service
    #[argh(option)]
    backend: String,
    /// the backend is a plain service and not a model
    #[argh(switch)]
    service: bool,
    /// the version in use
    #[argh(option)]
    from: String,
    /// the version to move to
    #[argh(option)]
    to: String,
    /// time from now until all traffic must have moved, in minutes
    #[argh(option)]
    within_min: u64,
    /// first share of each route's traffic, in thousandths (10)
    #[argh(option, default = "10")]
    start_permille: u32,
    /// time for which the move is watched after its end, in minutes (10)
    #[argh(option, default = "10")]
    watch_min: u64,
    /// follow the move until its end
    #[argh(switch)]
    follow: bool,
    /// the revision that the change is made on; the one in force when absent
    #[argh(option)]
    base: Option<u64>,
    /// the id of a command whose outcome is unknown, to give it again
    #[argh(option)]
    command_id: Option<String>,
    /// when all traffic must have moved, in milliseconds since the Unix epoch; in place of
    /// `--within-min`, for giving a command again
    #[argh(option)]
    finish_by: Option<u64>,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns why the move is not in force everywhere.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let minutes = |minutes: u64| Millis::from_secs(60 * minutes);
        let finish_by =
            self.finish_by.map_or_else(|| unix_now() + minutes(self.within_min), Millis);
        let plan = Plan {
            name: self.name.as_str().into(),
            kind: if self.service { Kind::Service } else { Kind::Model },
            backend: self.backend.into(),
            from: self.from.into(),
            to: self.to.into(),
            finish_by,
            start_permille: self.start_permille,
            watch: minutes(self.watch_min),
        };
        let terms = Terms { base: self.base, command: self.command_id };
        let command = |order| Command::StartMove { order, plan: plan.clone() };
        let (revision, force) = match control.change(&terms, command).await {
            Err(failure @ Failure::Unknown(_)) => {
                eprintln!("give it again with --finish-by {} as well", finish_by.0);
                return Err(failure);
            }
            change => change?,
        };
        if self.follow {
            return move_watch::Arguments { name: self.name }.run(control, json).await;
        }
        output::in_force(revision, &force, json)
    }
}
