//! Membership without an operator: hosts join by themselves, and members that are gone leave.
//!
//! A member asks the leader to be taken in, again and again, so that one that was removed while it
//! was silent comes back by itself. The leader adds it without a vote; [`crate::repair`] decides
//! when it gets one and which members leave, one change at a time.

use std::{
    sync::mpsc,
    time::{Duration, Instant},
};

use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use tokio::sync::oneshot;
use tracing::{debug, info, warn};
use wasabi_consensus::{Change, Status};
use wasabi_protocol::{
    clock::Millis,
    id,
    rpc::{Join, Joined, method},
};

use crate::{
    input::Input,
    member::Member,
    options::{Contacts, Options},
    repair::{Shortage, Situation},
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

/// Time between two log lines about a group that is short of a member, in milliseconds.
const SHORT_EVERY: Millis = Millis(5_000);

/// Time for which the leader goes on towards a member after it asked, in milliseconds.
const ASKED_FOR: Millis = Millis(1_000);

/// Voters that a group which repairs itself keeps at least.
const SIZE_MIN: usize = 3;

/// Asks to be in the group until the control thread has ended.
/// The address is the one that this member states in its messages. `callers` are members that took this one for its predecessor.
pub(crate) async fn run(
    (name, address): (id::Member, String),
    options: Options,
    callers: Contacts,
    inputs: mpsc::Sender<Input>,
) {
    let mut join = Join { member: name, address, proofs: options.proofs(), leader: None };
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
        let sources = [known.clone(), callers.get(), contacts.clone()];
        let mut round = Round::new(leader.take().into_iter().chain(sources.into_iter().flatten()));
        let mut answers = Vec::new();
        let mut is_in = false;
        join.leader = None;
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
        join.leader.clone_from(&leader);
        // A contact that is no member can only name members that introduced themselves. One that
        // does not answer must not delay the next round.
        let others = contacts.iter().filter(|contact| {
            **contact != join.address && !known.contains(contact) && !round.has_asked(contact)
        });
        for address in others {
            let (address, join) = (address.clone(), join.clone());
            actix_rt::spawn(async move { ask(&address, &join).await });
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
        let asked = Asked { join: join.clone(), at: self.clock.now() };
        self.duties.asked.insert(join.member.clone(), asked);
        self.add_asked();
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

    /// Takes the next step of the repair, and shows what the group lacks.
    pub(crate) fn repair(&mut self) {
        let now = self.clock.now();
        let members = self.group.members(now);
        let founders = self.options.members.len();
        let situation = Situation {
            own: &self.name,
            members: &members,
            addresses: &self.addresses,
            size_min: if self.options.self_repair { founders.max(SIZE_MIN) } else { founders },
            // Before the first round, all of them may be needed.
            size: self.duties.size.unwrap_or(self.group.membership().voters.len()),
        };
        self.duties.size = Some(situation.size.max(situation.answering()));
        let silences = self.peers.answers.silences();
        let change = situation.next_change_with(&silences).filter(|_| self.options.self_repair);
        let shortage = situation.shortage();
        self.show_shortage(now, shortage);
        match change {
            Some(change) => {
                if let Change::Remove(member) = &change {
                    self.say_removal(member, &members, silences.get(member).copied());
                }
                self.change(change);
            }
            None => self.add_asked(),
        }
    }

    /// Logs what the removal of a member rests on.
    fn say_removal(&self, member: &id::Member, members: &[Status], answered: Option<Millis>) {
        let status = members.iter().find(|status| status.member == *member);
        let pause = self.peers.answers.pause();
        info!(
            %member,
            unanswered_ms = status.map(|status| status.unanswered().0),
            answered_before_ms = answered.map(|answered| answered.0),
            matched = status.and_then(|status| status.matched),
            own_pause_ms = pause.map(|(_, time)| time.0),
            own_pause_before_ms = pause.map(|(ended, _)| ended.0),
            "a member that does not answer leaves"
        );
    }

    /// Takes the next step towards the members that asked to be in the group lately. The vote of one
    /// that is added already is decided by the repair.
    fn add_asked(&mut self) {
        let (now, membership) = (self.clock.now(), self.group.membership());
        let is_open = |asked: &Asked| now.since(asked.at) < ASKED_FOR;
        self.duties.asked.retain(|name, asked| is_open(asked) && !membership.contains(name));
        let asked: Vec<_> = self.duties.asked.values().map(|asked| asked.join.clone()).collect();
        for join in asked {
            let _ = self.add_member(&join.member, &join.address);
        }
    }

    /// Logs a shortage when it begins, when it waits for something else, and again and again.
    fn show_shortage(&mut self, now: Millis, shortage: Option<Shortage>) {
        let short = &mut self.duties.short;
        let Some(shortage) = shortage else {
            if let Some(short) = short.take() {
                let short_ms = now.since(short.since).0;
                info!(short_ms, "the control group has all its members again");
            }
            return;
        };
        let is_new = match short {
            Some(short) => short.shortage != shortage || SHORT_EVERY <= now.since(short.said),
            None => true,
        };
        let since = short.as_ref().map_or(now, |short| short.since);
        if is_new {
            let silent: Vec<_> = shortage.silent.iter().map(id::Member::as_str).collect();
            warn!(
                silent = silent.join(","), answering = shortage.answering, voters = shortage.voters,
                short_ms = now.since(since).0, waits_for = %shortage.wait,
                "the control group is short of a member"
            );
            *short = Some(Short { since, said: now, shortage });
        }
    }
}

/// A member that asked to be in the group.
#[derive(Debug)]
pub(crate) struct Asked {
    join: Join,
    at: Millis,
}

/// A shortage since this member began to lead, or later.
#[derive(Debug)]
pub(crate) struct Short {
    pub(crate) since: Millis,
    /// When it was logged last.
    said: Millis,
    shortage: Shortage,
}
