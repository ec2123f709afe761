//! `wasabi members remove`

use std::time::{Duration, Instant};

use argh::FromArgs;
use wasabi_protocol::rpc::{ChangeMembers, MemberChange, MembersChanged, method};

use crate::{
    client::{Control, Step},
    exit::Failure,
    output,
};

/// Time between two steps of a change, in milliseconds.
const STEP_EVERY: Duration = Duration::from_millis(200);

/// Removes a member from the control group.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct Arguments {
    /// the member
    #[argh(positional)]
    member: String,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns why the member is not removed.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let change = MemberChange::Remove { member: self.member.as_str().into() };
        self::change(control, change, json).await
    }
}

/// Takes the steps of a change until a quorum of the new members holds the data.
///
/// # Errors
///
/// Returns why the change is not done. It can be given again and then goes on.
pub(crate) async fn change(
    control: &Control,
    change: MemberChange,
    json: bool,
) -> Result<(), Failure> {
    let question = ChangeMembers { credential: control.credential.clone(), change };
    let until = Instant::now() + control.timeout;
    let mut last = String::new();
    loop {
        let read = |answer| match answer {
            MembersChanged::NotLeader { leader } => Ok(Step::NotLeader(leader)),
            MembersChanged::Refused(fault) => Err(Failure::of(fault)),
            answer => Ok(Step::Done(answer)),
        };
        let answer = control
            .call(method::MEMBERS, &question, until, read)
            .await
            .map_err(|lost| lost.failure)?;
        match answer {
            MembersChanged::Done { members } if json => return output::json(&members),
            MembersChanged::Done { members } => {
                println!("done: a quorum of the members holds the data");
                output::members(&members);
                return Ok(());
            }
            MembersChanged::Waiting { reason, .. } => {
                if reason != last {
                    eprintln!("{reason}");
                    last = reason;
                }
                if until <= Instant::now() {
                    return Err(Failure::NotDone(last));
                }
            }
            _ => return Err(Failure::Internal("unexpected answer".to_owned())),
        }
        actix_rt::time::sleep(STEP_EVERY).await;
    }
}
