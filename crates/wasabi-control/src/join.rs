//! Membership without an operator: hosts join by themselves, and failed members are removed.
//!
//! A member sends join requests to the leader periodically, so one that was removed while it was
//! silent rejoins by itself. The leader adds it as a learner; [`crate::repair`] decides when it is
//! promoted and which members are removed, one change at a time.

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
    repair::{GroupState, Shortage},
    search::Round,
};

/// Time between two join requests of a host that is not a member yet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two join requests of a member, which confirm its membership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout of one join request, including the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest time between two log lines of a host that is not a member yet.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two log lines about the same shortage of members.
const SHORTAGE_LOG_INTERVAL: Millis = Millis(5_000);

/// Time for which the leader processes a join request without hearing from the host again.
const JOIN_REQUEST_TTL: Millis = Millis(1_000);

/// Least number of voters of a group that repairs itself.
const SIZE_MIN: usize = 3;

/// Sends join requests until the control thread has ended. `address` is the one that this member
/// states in its messages. `callers` are members that addressed a former member on this host.
pub(crate) async fn run(
    (name, address): (id::Member, String),
    options: Options,
    callers: Contacts,
    inputs: mpsc::Sender<Input>,
) {
    let mut join = Join { member: name, address, proofs: options.proofs(), leader: None };
    let mut leader = None;
    let mut was_member = false;
    let mut last_logged: Option<Instant> = None;
    loop {
        let (reply, answer) = oneshot::channel();
        if inputs.send(Input::Addresses(reply)).is_err() {
            return;
        }
        // The control thread does not answer while it reloads its state from disk.
        let known = answer.await.unwrap_or_default();
        let contacts = options.contacts.get();
        let sources = [known.clone(), callers.get(), contacts.clone()];
        let mut round = Round::new(leader.take().into_iter().chain(sources.into_iter().flatten()));
        let mut answers = Vec::new();
        let mut is_member = false;
        join.leader = None;
        while let Some(address) = round.next_address() {
            match ask(&address, &join).await {
                Some(Joined::NotLeader { leader: Some(other) }) => {
                    answers.push(format!("{address} redirects to {other}"));
                    round.redirect(other);
                }
                Some(Joined::NotLeader { leader: None }) => {
                    answers.push(format!("{address} knows no leader"));
                }
                Some(joined) => {
                    is_member = joined == Joined::Member;
                    answers.push(format!("{address} leads"));
                    leader = Some(address);
                    break;
                }
                None => answers.push(format!("{address} does not answer")),
            }
        }
        if is_member != was_member {
            was_member = is_member;
            info!(member = %join.member, is_in = is_member, "membership in the control group changed");
        }
        if !is_member && last_logged.is_none_or(|last_logged| LOG_INTERVAL <= last_logged.elapsed())
        {
            last_logged = Some(Instant::now());
            info!(member = %join.member, answers = answers.join("; "), "join request sent; not a member yet");
        }
        join.leader.clone_from(&leader);
        // Contacts that are not members only name members that introduced themselves to them, so
        // every contact is told. One that does not answer must not delay the next round.
        let others = contacts.iter().filter(|contact| {
            **contact != join.address && !known.contains(contact) && !round.has_queried(contact)
        });
        for address in others {
            let (address, join) = (address.clone(), join.clone());
            actix_rt::spawn(async move { ask(&address, &join).await });
        }
        actix_rt::time::sleep(if is_member { CONFIRM_INTERVAL } else { REQUEST_INTERVAL }).await;
    }
}

async fn ask(address: &str, join: &Join) -> Option<Joined> {
    let request = async {
        let client = WsClientBuilder::default().build(format!("ws://{address}")).await?;
        client.request(method::JOIN, rpc_params![join]).await
    };
    match actix_rt::time::timeout(REQUEST_TIMEOUT, request).await {
        Ok(answer) => {
            answer.inspect_err(|error| debug!(%address, %error, "join request failed")).ok()
        }
        Err(_) => None,
    }
}

impl Member {
    /// Handles a join request of another host.
    pub(crate) fn join(&mut self, join: &Join) -> Joined {
        self.learned.insert(join.member.clone(), join.address.clone());
        if !self.leads() {
            return Joined::NotLeader { leader: self.leader_address() };
        }
        if self.group.membership().voters.contains(&join.member) {
            return Joined::Member;
        }
        let request = JoinRequest { join: join.clone(), at: self.clock.now() };
        self.leader_state.join_requests.insert(join.member.clone(), request);
        self.add_requesters();
        Joined::Waiting
    }

    /// Returns the addresses of the other members, starting with the likely leader.
    pub(crate) fn member_addresses(&self) -> Vec<String> {
        let leader = self.leader_address();
        let members = self.group.membership().all();
        let others = members.filter(|member| **member != self.name).filter_map(|member| {
            self.addresses.get(member).or_else(|| self.learned.get(member)).cloned()
        });
        let others: Vec<_> = others.filter(|address| leader.as_ref() != Some(address)).collect();
        leader.into_iter().chain(others).collect()
    }

    /// Performs the next repair step, and reports a shortage of members.
    pub(crate) fn repair(&mut self) {
        let now = self.clock.now();
        let members = self.group.members(now);
        let initial_members = self.options.members.len();
        let group_state = GroupState {
            own: &self.name,
            members: &members,
            addresses: &self.addresses,
            size_min: if self.options.self_repair {
                initial_members.max(SIZE_MIN)
            } else {
                initial_members
            },
            // Before the first round, all current voters may be needed.
            size: self.leader_state.size.unwrap_or(self.group.membership().voters.len()),
        };
        self.leader_state.size = Some(group_state.size.max(group_state.answering()));
        let silences = self.peers.last_replies.silences();
        let change = group_state.next_change_with(&silences).filter(|_| self.options.self_repair);
        let shortage = group_state.shortage();
        self.report_shortage(now, shortage);
        match change {
            Some(change) => {
                if let Change::Remove(member) = &change {
                    self.log_removal(member, &members, silences.get(member).copied());
                }
                self.change(change);
            }
            None => self.add_requesters(),
        }
    }

    /// Logs the evidence for the removal of a member.
    fn log_removal(&self, member: &id::Member, members: &[Status], answered: Option<Millis>) {
        let status = members.iter().find(|status| status.member == *member);
        let pause = self.peers.last_replies.pause();
        info!(
            %member,
            unanswered_ms = status.map(|status| status.unanswered().0),
            answered_before_ms = answered.map(|answered| answered.0),
            matched = status.and_then(|status| status.matched),
            own_pause_ms = pause.map(|(_, time)| time.0),
            own_pause_before_ms = pause.map(|(ended, _)| ended.0),
            "removing a member that does not answer"
        );
    }

    /// Performs the next step for hosts that recently requested to join. Promotion of those already
    /// added is decided by [`GroupState`].
    fn add_requesters(&mut self) {
        let (now, membership) = (self.clock.now(), self.group.membership());
        let is_current = |request: &JoinRequest| now.since(request.at) < JOIN_REQUEST_TTL;
        self.leader_state
            .join_requests
            .retain(|name, request| is_current(request) && !membership.contains(name));
        let joins: Vec<_> =
            self.leader_state.join_requests.values().map(|request| request.join.clone()).collect();
        for join in joins {
            let _ = self.add_member(&join.member, &join.address);
        }
    }

    /// Logs a shortage when it begins, when its cause changes, and periodically.
    fn report_shortage(&mut self, now: Millis, shortage: Option<Shortage>) {
        let short = &mut self.leader_state.shortage;
        let Some(shortage) = shortage else {
            if let Some(short) = short.take() {
                let short_ms = now.since(short.since).0;
                info!(short_ms, "the control group is complete again");
            }
            return;
        };
        let is_new = match short {
            Some(short) => {
                short.shortage != shortage || SHORTAGE_LOG_INTERVAL <= now.since(short.last_logged)
            }
            None => true,
        };
        let since = short.as_ref().map_or(now, |short| short.since);
        if is_new {
            let silent: Vec<_> = shortage.silent.iter().map(id::Member::as_str).collect();
            warn!(
                silent = silent.join(","), answering = shortage.answering, voters = shortage.voters,
                short_ms = now.since(since).0, waits_for = %shortage.wait,
                "the control group is incomplete"
            );
            *short = Some(ObservedShortage { since, last_logged: now, shortage });
        }
    }
}

/// A join request of a host.
#[derive(Debug)]
pub(crate) struct JoinRequest {
    join: Join,
    at: Millis,
}

/// A shortage that this leader has observed.
#[derive(Debug)]
pub(crate) struct ObservedShortage {
    pub(crate) since: Millis,
    /// When the shortage was last logged.
    last_logged: Millis,
    shortage: Shortage,
}
