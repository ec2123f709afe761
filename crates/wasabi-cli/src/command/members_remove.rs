//! `wasabi members remove`

use std::time::{Duration, Instant};

use argh::FromArgs;
use wasabi_protocol::rpc::{ChangeMembers, MemberChange, MembersChanged, method};

use crate::{
    client::{Control, Reply},
    exit::Failure,
    output,
};

/// Interval at which the next step of a membership change is requested.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Removes a member from the control group.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct Arguments {
    /// the name of the member
    #[argh(positional)]
    member: String,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the member is not removed in time.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let change = MemberChange::Remove { member: self.member.as_str().into() };
        self::change(control, change, json).await
    }
}

/// Repeats a membership change until a quorum of the new members holds the data.
///
/// # Errors
///
/// Returns a failure when the change is not completed in time. Repeating the command continues it.
pub(crate) async fn change(
    control: &Control,
    change: MemberChange,
    json: bool,
) -> Result<(), Failure> {
    let params = ChangeMembers { credential: control.credential.clone(), change };
    let deadline = Instant::now() + control.timeout;
    let mut last_reason = String::new();
    loop {
        let parse = |response| match response {
            MembersChanged::NotLeader { leader } => Ok(Reply::NotLeader(leader)),
            MembersChanged::Refused(fault) => Err(Failure::from_fault(fault)),
            response => Ok(Reply::Done(response)),
        };
        let response = control
            .call(method::MEMBERS, &params, deadline, parse)
            .await
            .map_err(|error| error.failure)?;
        match response {
            MembersChanged::Done { members } if json => return output::json(&members),
            MembersChanged::Done { members } => {
                println!("done: a quorum of the members holds the data");
                output::members(&members);
                return Ok(());
            }
            MembersChanged::Waiting { reason, .. } => {
                if reason != last_reason {
                    eprintln!("{reason}");
                    last_reason = reason;
                }
                if deadline <= Instant::now() {
                    return Err(Failure::InProgress(last_reason));
                }
            }
            _ => {
                return Err(Failure::Internal(
                    "unexpected response to a membership change".to_owned(),
                ));
            }
        }
        actix_rt::time::sleep(STEP_INTERVAL).await;
    }
}
