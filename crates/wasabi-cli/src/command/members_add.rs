//! `wasabi members add`

use argh::FromArgs;
use wasabi_protocol::rpc::{MemberChange, Role};

use super::members_remove;
use crate::{client::Control, exit::Failure};

/// Adds a member to the control group. It joins as a learner and becomes a voter once it has caught
/// up.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub(crate) struct Arguments {
    /// the IP address and port of the running new member, which is asked for its name
    #[argh(positional)]
    address: String,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the member does not respond or is not added in time.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let status = control.status_of(std::slice::from_ref(&self.address)).await?;
        // A member without a group reports only itself, as a learner. A member of a group is
        // identified by its address.
        let member = match status.members.as_slice() {
            [only] if only.role == Role::Learner => Some(only),
            members => members.iter().find(|member| member.address == self.address),
        };
        let Some(member) = member else {
            return Err(Failure::Input(format!(
                "the member at {} does not report its name",
                self.address
            )));
        };
        let change =
            MemberChange::Add { member: member.member.clone(), address: self.address.clone() };
        members_remove::change(control, change, json).await
    }
}
