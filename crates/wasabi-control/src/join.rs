//! Membership without an operator: hosts join by themselves, and members that are gone leave.
//!
//! A member asks the leader to be taken in, again and again, so that one that was removed while it
//! was silent comes back by itself. The leader adds it without a vote, promotes it once it has
//! caught up, and only then removes the member that it replaces; one change at a time.

use std::{
    sync::mpsc,
    time::{Duration, Instant},
};

use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use tokio::sync::oneshot;
use tracing::{debug, info};
use wasabi_consensus::Change;
use wasabi_protocol::{
    clock::Millis,
    id,
    rpc::{Join, Joined, method},
};

use crate::{
    input::Input,
    member::{Duty, Member},
    options::Options,
    search::Round,
};

/// Time between two asks of a member that is not taken in yet.
const ASK_EVERY: Duration = Duration::from_millis(200);

/// Time between two asks of a member that is in the group.
const CONFIRM_EVERY: Duration = Duration::from_millis(1_000);

/// Longest time for one question, the connection included.
const ASK_BOUND: Duration = Duration::from_millis(500);

/// Shortest time between two log lines of a member that is not taken in.
const SAY_EVERY: Duration = Duration::from_secs(1);

/// Silence after which a member is removed when the group is larger than it was founded. A host that restarts is back within this time as a rule.
const REMOVE_AFTER: Millis = Millis(4_000);

/// Members that a group of at least so many voters keeps.
const FOUNDERS_MIN: usize = 3;

/// Silence after which a member is removed when another one serves its address: a process that
/// lives answers heartbeats far sooner.
const REPLACED_AFTER: Millis = Millis(1_000);

/// Asks to be in the group until the control thread has ended.
pub(crate) async fn run(name: id::Member, options: Options, inputs: mpsc::Sender<Input>) {
    let join = Join { member: name, address: options.listen.to_string(), proofs: options.proofs() };
    let mut leader = None;
    let mut was_in = false;
    let mut said: Option<Instant> = None;
    loop {
        let (reply, answer) = oneshot::channel();
        if inputs.send(Input::Addresses(reply)).is_err() {
            return;
        }
        // No answer comes while the member starts anew from its disk.
        let known = answer.await.unwrap_or_default();
        let contacts = options.contacts.get();
        let addresses = leader.take().into_iter().chain(known.clone()).chain(contacts.clone());
        let mut round = Round::new(addresses);
        let mut answers = Vec::new();
        let mut is_in = false;
        while let Some(address) = round.next_address() {
            match ask(&address, &join).await {
                Some(Joined::NotLeader { leader: Some(other) }) => {
                    answers.push(format!("{address} names {other}"));
                    round.redirect(other);
                }
                Some(Joined::NotLeader { leader: None }) => {
                    answers.push(format!("{address} knows no leader"));
                }
                Some(joined) => {
                    is_in = joined == Joined::Member;
                    answers.push(format!("{address} leads"));
                    leader = Some(address);
                    break;
                }
                None => answers.push(format!("{address} does not answer")),
            }
        }
        if is_in != was_in {
            was_in = is_in;
            info!(member = %join.member, is_in, "place in the control group");
        }
        if !is_in && said.is_none_or(|said| SAY_EVERY <= said.elapsed()) {
            said = Some(Instant::now());
            info!(member = %join.member, answers = answers.join("; "), "asked to be taken in");
        }
        // A contact that is no member can only name members that introduced themselves.
        for address in contacts.iter().filter(|contact| !known.contains(contact)) {
            if *address != join.address && !round.has_asked(address) {
                let _ = ask(address, &join).await;
            }
        }
        actix_rt::time::sleep(if is_in { CONFIRM_EVERY } else { ASK_EVERY }).await;
    }
}

async fn ask(address: &str, join: &Join) -> Option<Joined> {
    let asking = async {
        let client = WsClientBuilder::default().build(format!("ws://{address}")).await?;
        client.request(method::JOIN, rpc_params![join]).await
    };
    match actix_rt::time::timeout(ASK_BOUND, asking).await {
        Ok(answer) => {
            answer.inspect_err(|error| debug!(%address, %error, "no answer to a join")).ok()
        }
        Err(_) => None,
    }
}

impl Member {
    /// Takes the next step towards a member that asks to be in the group.
    pub(crate) fn join(&mut self, join: &Join) -> Joined {
        self.learned.insert(join.member.clone(), join.address.clone());
        if !self.leads() {
            return Joined::NotLeader { leader: self.leader_address() };
        }
        if self.group.membership().voters.contains(&join.member) {
            return Joined::Member;
        }
        let _ = self.add_member(&join.member, &join.address);
        Joined::Waiting
    }

    /// Returns the addresses of the members, the likely leader first.
    pub(crate) fn member_addresses(&self) -> Vec<String> {
        let leader = self.leader_address();
        let members = self.group.membership().all();
        let others = members.filter(|member| **member != self.name).filter_map(|member| {
            self.addresses.get(member).or_else(|| self.learned.get(member)).cloned()
        });
        let others: Vec<_> = others.filter(|address| leader.as_ref() != Some(address)).collect();
        leader.into_iter().chain(others).collect()
    }

    /// Removes one member that is gone, as [`REMOVE_AFTER`] says.
    pub(crate) fn remove_gone(&mut self) {
        if !self.options.self_repair {
            return;
        }
        let now = self.clock.now();
        let membership = self.group.membership();
        let address = |member: &id::Member| self.addresses.get(member);
        let is_replaced = |member: &id::Member| {
            let others = membership.voters.iter().filter(|other| *other != member);
            address(member).is_some()
                && others.into_iter().any(|other| address(other) == address(member))
        };
        let founders = self.options.members.len().max(FOUNDERS_MIN);
        let is_large = founders < membership.voters.len();
        let gone = self.group.members(now).into_iter().find(|status| {
            let silent = status.unanswered();
            let is_voter = membership.voters.contains(&status.member);
            status.member != self.name
                && ((REMOVE_AFTER <= silent && (is_large || !is_voter))
                    || (is_replaced(&status.member) && REPLACED_AFTER <= silent))
        });
        let Some(gone) = gone else { return };
        let change = Change::Remove(gone.member.clone());
        if self.can_lose(&change) && self.duties.begin(Duty::Members) {
            info!(member = %gone.member, silent = ?gone.silent, "removing a member that is gone");
            self.order_change(change);
        }
    }
}
