//! Membership changes of the control group by an operator.

use tracing::info;
use wasabi_consensus::{Change, Membership};
use wasabi_protocol::{
    fault::{Fault, Kind},
    id,
    rpc::{ChangeMembers, MemberChange, MembersChanged},
};

use crate::{
    member::{LeaderTask, Member, Waiter},
    record::Item,
    repair::SILENT_AFTER,
};

impl Member {
    /// Performs the next step of a change and returns whether it is complete. The operator's client
    /// repeats the call until it is, so the change continues under a new leader.
    pub(crate) fn change_members(&mut self, change: &ChangeMembers) -> MembersChanged {
        if let Err(fault) = self.authorize(&change.credential) {
            return MembersChanged::Refused(fault);
        }
        if !self.leads() {
            return MembersChanged::NotLeader { leader: self.leader_address() };
        }
        match &change.change {
            MemberChange::Add { member, address } => self.add_member(member, address),
            MemberChange::Remove { member } => self.remove_member(member),
        }
    }

    pub(crate) fn add_member(&mut self, member: &id::Member, address: &str) -> MembersChanged {
        let membership = self.group.membership();
        if membership.voters.contains(member) {
            return self.changed();
        }
        if address.parse::<std::net::SocketAddr>().is_err() {
            return refused(format!("{address} is not an IP address and port"));
        }
        if membership.learners.contains(member) {
            self.change(Change::Promote(member.clone()));
            return self.waiting(format!("{member} is catching up"));
        }
        if self.addresses.get(member).is_none_or(|known| known != address) {
            let (member, address) = (member.clone(), address.to_owned());
            self.propose_task(LeaderTask::Address, Item::Address { member, address });
            return self.waiting("the address of the new member is being committed".to_owned());
        }
        self.change(Change::AddLearner(member.clone()));
        self.waiting(format!("{member} is being added as a learner"))
    }

    fn remove_member(&mut self, member: &id::Member) -> MembersChanged {
        let membership = self.group.membership();
        if !membership.contains(member) {
            return self.changed();
        }
        let change = Change::Remove(member.clone());
        let Some(next) = membership.after(&change) else {
            return refused(format!("{member} is the last member"));
        };
        let answering = self.answering(&next);
        if answering < next.quorum() {
            return refused(format!(
                "without {member}, only {answering} of {} voters would answer; add a member first",
                next.voters.len()
            ));
        }
        self.change(change);
        self.waiting(format!("{member} is being removed"))
    }

    /// Returns how many voters of a membership have answered recently.
    fn answering(&self, next: &Membership) -> usize {
        self.group
            .members(self.clock.now())
            .into_iter()
            .filter(|status| next.voters.contains(&status.member))
            .filter(|status| status.since_contact.is_some_and(|silent| silent < SILENT_AFTER))
            .count()
    }

    /// Proposes a membership change unless one is in progress.
    pub(crate) fn change(&mut self, change: Change) {
        if !self.leader_state.begin(LeaderTask::Members) {
            return;
        }
        info!(?change, "changing the members of the control group");
        let request = self.register_waiter(Waiter::LeaderTask(LeaderTask::Members));
        self.group.change(self.clock.now(), change, request);
    }

    /// Returns that the change is complete, once a quorum of the members holds the whole log.
    fn changed(&self) -> MembersChanged {
        if self.group.is_settled() {
            return MembersChanged::Done { members: self.member_statuses() };
        }
        self.waiting("a quorum of the voters does not hold the whole log yet".to_owned())
    }

    fn waiting(&self, reason: String) -> MembersChanged {
        MembersChanged::Waiting { reason, members: self.member_statuses() }
    }
}

fn refused(message: String) -> MembersChanged {
    MembersChanged::Refused(Fault::new(Kind::BadRequest, message))
}
