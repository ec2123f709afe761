//! `wasabi move start`

use argh::FromArgs;
use wasabi_protocol::{
    clock::{Millis, unix_now},
    command::{Command, Plan},
    endpoint::Kind,
};

use super::move_watch;
use crate::{
    client::{ChangeOptions, Control},
    exit::Failure,
    output,
};

/// Starts a version move.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
pub(crate) struct Arguments {
    /// the name of the move, which must not have been used before
    #[argh(positional)]
    name: String,
    /// the name of the model or service
    #[argh(option)]
    backend: String,
    /// the backend is a service, not a model
    #[argh(switch)]
    service: bool,
    /// the current version
    #[argh(option)]
    from: String,
    /// the new version
    #[argh(option)]
    to: String,
    /// time within which all traffic must have moved to the new version, in minutes
    #[argh(option)]
    within_min: u64,
    /// initial share of each route's traffic, in thousandths (default: 10)
    #[argh(option, default = "10")]
    start_permille: u32,
    /// time for which the new version is observed after all traffic has moved, in minutes (default:
    /// 10)
    #[argh(option, default = "10")]
    watch_min: u64,
    /// follow the move until it is done or rolled back
    #[argh(switch)]
    follow: bool,
    /// the revision that the change is based on (default: the revision in force)
    #[argh(option)]
    base: Option<u64>,
    /// the id of an earlier command with an unknown outcome, to repeat that command
    #[argh(option)]
    command_id: Option<String>,
    /// the time by which all traffic must have moved, in milliseconds since the Unix epoch;
    /// overrides `--within-min` when a command is repeated
    #[argh(option)]
    finish_by: Option<u64>,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the move is not confirmed to be in force at every entry, or with
    /// `--follow` when it is rolled back.
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
        let options = ChangeOptions { base: self.base, command_id: self.command_id };
        let command = |order| Command::StartMove { order, plan: plan.clone() };
        let (revision, force) = match control.change(&options, command).await {
            Err(failure @ Failure::Unknown(_)) => {
                eprintln!("when repeating the command, also pass --finish-by {}", finish_by.0);
                return Err(failure);
            }
            result => result?,
        };
        if self.follow {
            return move_watch::Arguments { name: self.name }.run(control, json).await;
        }
        output::in_force(revision, &force, json)
    }
}
