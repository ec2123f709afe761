//! `wasabi members add`

use argh::FromArgs;
use wasabi_protocol::rpc::{MemberChange, Role};

use super::members_remove;
use crate::{client::Control, exit::Failure};

/// Adds a member to the control group: it catches up without a vote and then gets one.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub(crate) struct Arguments {
    /// the IP address and port of the running new member; its name is asked there
    #[argh(positional)]
    address: String,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns why the member is not added.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let status = control.status_of(std::slice::from_ref(&self.address)).await?;
        // A member in no group reports itself alone; one in a group is found by its address.
        let found = match status.members.as_slice() {
            [only] if only.role == Role::Learner => Some(only),
            members => members.iter().find(|member| member.address == self.address),
        };
        let Some(member) = found else {
            return Err(Failure::Input(format!("the member at {} has no name", self.address)));
        };
        let change =
            MemberChange::Add { member: member.member.clone(), address: self.address.clone() };
        members_remove::change(control, change, json).await
    }
}
