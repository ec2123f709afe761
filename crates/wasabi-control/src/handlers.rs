//! Handlers of inputs from connections.

use std::collections::BTreeMap;

use tokio::sync::oneshot::Sender;
use tracing::{error, info};
use wasabi_consensus::MemberKind;
use wasabi_protocol::{
    clock::{Millis, unix_now},
    command::{Command, Move, Order, Outcome, Plan},
    contract::Problem,
    fault::{Fault, Kind},
    fingerprint, id,
    rpc::{
        Checkin, CheckinReply, CommandReply, CommandRequest, ConfigVersion, Drain, Drained,
        EncodedUpdate, LeaderInfo, MemberStatus, MoveOrder, Proposed, Read, RevisionStatus, Role,
        Source, Status, StatusReply, StatusRequest,
    },
    site,
};
use wasabi_rollout::decision::Schedule;
use wasabi_state::Machine;

use crate::{
    input::Input,
    leader::ActivationWait,
    member::{LeaderTask, Member, Unresolved, Waiter},
    record::Item,
};

/// Longest time that an operator's command waits until it is in force everywhere.
const ACTIVATION_WAIT_MAX: Millis = Millis::from_secs(60);

/// Time after which a leader knows all endpoints that entries report: two check-ins, and the time
/// in which entries find this leader.
const ENDPOINTS_KNOWN_AFTER: Millis = Millis(3_000);

impl Member {
    /// Handles an input of a connection.
    pub(crate) fn handle(&mut self, input: Input) {
        // The connection may have been closed, so failures to send an answer are ignored.
        match input {
            Input::Checkin(checkin, reply) => {
                let _ = reply.send(self.check_in(*checkin));
            }
            Input::Propose(propose, reply) => match propose.command {
                command @ (Command::RecordDispatch { .. }
                | Command::ReleaseDispatch { .. }
                | Command::FinishDispatch { .. }
                | Command::GrantOrderLease { .. }) => {
                    self.propose(Item::Command(command), Waiter::Propose(reply));
                }
                _ => {
                    let problems = vec![Problem {
                        field: "command".to_owned(),
                        message: "is not accepted without an operator's credential".to_owned(),
                    }];
                    let _ = reply.send(Proposed::Committed(Outcome::Refused { problems }));
                }
            },
            Input::Operate(operate, reply) => self.operate(*operate, reply),
            Input::Inquire(inquire, reply) => {
                let _ = reply.send(self.inquire(&inquire));
            }
            Input::Drain(drain, reply) => self.drain(&drain, reply),
            Input::ChangeMembers(change, reply) => {
                let _ = reply.send(self.change_members(&change));
            }
            Input::Config(held, reply) => self.answer_config(held, reply),
            Input::Join(join, reply) => {
                let _ = reply.send(self.join(&join));
            }
            Input::Lead(reply) => {
                let _ = reply.send(self.who_leads());
            }
            Input::Addresses(reply) => {
                let _ = reply.send(self.member_addresses());
            }
            Input::PutSite(document, reply) => self.put_site(document, reply),
            Input::Site(reply) => {
                let _ = reply.send(self.read(|machine| machine.site().cloned()));
            }
            Input::StartMove(order, reply) => self.start_move(&order, reply),
            Input::LastMove(backend, reply) => {
                let _ = reply.send(self.read(|machine| last_move(machine, &backend).cloned()));
            }
            Input::View(reply) => {
                let _ = reply.send(self.machine.view().clone());
            }
            Input::Step(_) | Input::Stop => {}
        }
    }

    /// Returns an error unless the credential is an operator's.
    pub(crate) fn authorize(&self, credential: &str) -> Result<(), Fault> {
        if self.options.operator_digests.contains(&fingerprint::token(credential)) {
            return Ok(());
        }
        let message = "the operator's credential is missing or wrong";
        Err(Fault::new(Kind::OperatorUnauthorized, message))
    }

    /// Returns whether this member is the leader and may serve reads.
    pub(crate) fn leads(&self) -> bool {
        self.group.can_read(self.clock.now())
    }

    /// Returns the address of the leader if it is another member and known.
    pub(crate) fn leader_address(&self) -> Option<String> {
        let leader = self.group.leader().filter(|leader| **leader != self.name)?;
        self.addresses.get(leader).or_else(|| self.learned.get(leader)).cloned()
    }

    fn who_leads(&mut self) -> LeaderInfo {
        self.load.count_leader_query();
        let own = self.options.listen.to_string();
        let leader = if self.leads() { Some(own.clone()) } else { self.leader_address() };
        let mut members = self.member_addresses();
        members.push(own);
        LeaderInfo { leader, members }
    }

    fn check_in(&mut self, checkin: Checkin) -> CheckinReply {
        if !self.leads() {
            return CheckinReply::NotLeader { leader: self.leader_address() };
        }
        self.load.count_checkin();
        let (held, held_site, fetches) = (checkin.revision, checkin.site, checkin.fetches);
        self.add_evidence(&checkin);
        self.liveness.check_in(self.clock.now(), checkin);
        let revision = self.machine.revision();
        let site = self.machine.site().map(|site| site.config.version);
        // Check-in answers without a configuration are not delayed by its size. Entries of earlier
        // versions do not fetch the configuration, so it is included for them.
        let config = (!fetches && held < revision).then(|| {
            let mut config = Box::new(self.machine.config());
            if held_site.is_some() && held_site == site {
                config.site = None;
            }
            config
        });
        let mut members = self.member_addresses();
        members.push(self.options.listen.to_string());
        CheckinReply::Heard { revision, config, members }
    }

    fn answer_config(&mut self, held: Option<ConfigVersion>, reply: Sender<EncodedUpdate>) {
        let machine = &self.machine;
        match self.answers.answer(machine.revision(), held, || machine.config()) {
            Ok(answer) => {
                self.options.metrics.count_answer(answer.extent(), answer.bytes());
                self.load.count_config(answer.extent(), answer.bytes());
                let _ = reply.send(answer);
            }
            Err(error) => error!(%error, "the configuration cannot be encoded"),
        }
    }

    fn operate(&mut self, operate: CommandRequest, reply: Sender<CommandReply>) {
        let is_order = matches!(
            operate.command,
            Command::ApplyContract { .. }
                | Command::RemoveContract { .. }
                | Command::StartMove { .. }
                | Command::TakeBackMove { .. }
        );
        let refusal = match self.authorize(&operate.credential) {
            Err(fault) => fault,
            Ok(()) if !is_order => {
                Fault::new(Kind::BadRequest, "only commands with an order are accepted")
            }
            Ok(()) => {
                let deadline = self.clock.now() + operate.wait.min(ACTIVATION_WAIT_MAX);
                let waiter = Waiter::Operate(reply, deadline);
                self.propose(Item::Command(operate.command), waiter);
                return;
            }
        };
        let _ = reply.send(CommandReply::Refused(refusal));
    }

    fn inquire(&self, inquire: &StatusRequest) -> StatusReply {
        match self.authorize(&inquire.credential) {
            Err(fault) => StatusReply::Refused(fault),
            Ok(()) if inquire.source == Source::Leader && !self.leads() => {
                StatusReply::NotLeader { leader: self.leader_address() }
            }
            Ok(()) => StatusReply::Status(Box::new(self.status())),
        }
    }

    fn drain(&mut self, drain: &Drain, reply: Sender<Drained>) {
        let answer = match self.authorize(&drain.credential) {
            Err(fault) => Drained::Refused(fault),
            Ok(()) if !self.leads() => Drained::NotLeader { leader: self.leader_address() },
            Ok(()) => {
                let view = self.machine.view();
                if view.entries.iter().any(|entry| entry.name == drain.entry) {
                    let now = self.clock.now();
                    self.liveness.drain(now, &drain.entry);
                    let base = view.number;
                    let next = self.liveness.next_view(now, view);
                    let entries = next.unwrap_or_else(|| view.entries.clone());
                    let command = Command::SetView { base, entries };
                    self.propose(Item::Command(command), Waiter::Drain(reply));
                    return;
                }
                let message = format!("no entry {} is in the view", drain.entry);
                Drained::Refused(Fault::new(Kind::BadRequest, message))
            }
        };
        let _ = reply.send(answer);
    }

    /// Reads the state, or redirects to the leader.
    fn read<T>(&mut self, look_up: impl FnOnce(&Machine) -> T) -> Read<T> {
        if self.leads() {
            self.load.count_read();
            Read::Held(look_up(&self.machine))
        } else {
            Read::Elsewhere(self.leader_address())
        }
    }

    fn put_site(&mut self, document: Box<site::Document>, reply: Sender<Proposed>) {
        let held = self.machine.site().map(|held| held.config.version);
        if self.leads() && Some(document.config.version) <= held {
            // The document is not newer than the stored one, so no log entry is needed.
            let _ = reply.send(Proposed::Committed(Outcome::Done));
            return;
        }
        self.propose(Item::Command(Command::PutSite(document)), Waiter::Propose(reply));
    }

    fn start_move(&mut self, order: &MoveOrder, reply: Sender<Proposed>) {
        if !self.leads() {
            let _ = reply.send(Proposed::NotLeader { leader: self.leader_address() });
            return;
        }
        let last = last_move(&self.machine, &order.backend);
        if last.is_some_and(|last| last.plan.to == order.to) {
            let _ = reply.send(Proposed::Committed(Outcome::Done));
            return;
        }
        let Some(plan) = self.plan(order) else {
            info!(backend = %order.backend, "move rejected: no entry has reported endpoints yet");
            let _ = reply.send(Proposed::NotLeader { leader: None });
            return;
        };
        let command = id::Command::from(format!("{} {}", plan.name, self.machine.index()));
        let base = self.machine.revision();
        let order = Order { command, operator: "operator".to_owned(), base };
        let command = Command::StartMove { order, plan };
        self.propose(Item::Command(command), Waiter::Propose(reply));
    }

    /// Returns the plan of an order, which moves away from the version that most endpoints run, or
    /// `None` while this leader may not know all endpoints yet.
    fn plan(&self, order: &MoveOrder) -> Option<Plan> {
        let mut counts = BTreeMap::new();
        for endpoint in self.liveness.endpoints(self.clock.now()) {
            if endpoint.backend == order.backend && endpoint.version != order.to {
                *counts.entry(endpoint.version).or_insert(0_u32) += 1;
            }
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        let from = most.map(|(version, _)| version);
        if from.is_none() && self.clock.now().since(self.liveness.since()) < ENDPOINTS_KNOWN_AFTER {
            return None;
        }
        let schedule = Schedule::for_duration(order.within);
        Some(Plan {
            name: format!("{}-{}-{}", order.backend, order.to, self.machine.index()).into(),
            kind: order.kind,
            backend: order.backend.clone(),
            from: from.unwrap_or_else(|| "".into()),
            to: order.to.clone(),
            finish_by: unix_now() + schedule.finish_after,
            start_permille: schedule.start_permille,
            watch: schedule.watch,
        })
    }

    /// Answers the waiter of a committed proposal.
    pub(crate) fn answer_committed(&mut self, waiter: Waiter, outcome: Outcome) {
        match waiter {
            Waiter::Propose(reply) => {
                let _ = reply.send(Proposed::Committed(outcome));
            }
            Waiter::Operate(reply, deadline) => {
                if let Outcome::Accepted { revision } = outcome {
                    let wait = ActivationWait { revision, deadline, outcome, reply: Some(reply) };
                    self.leader_state.activations.push(wait);
                    return;
                }
                let force = RevisionStatus::default();
                let _ = reply.send(CommandReply::Committed { outcome, force });
            }
            Waiter::Drain(reply) => {
                let answer = match outcome {
                    Outcome::Accepted { revision } => Drained::Ordered { revision },
                    _ => Drained::Unknown,
                };
                let _ = reply.send(answer);
            }
            Waiter::LeaderTask(task) => self.leader_state.end(task),
        }
    }

    /// Answers the waiter of a proposal whose outcome is not known to this member.
    pub(crate) fn answer_unresolved(&mut self, waiter: Option<Waiter>, cause: Unresolved) {
        let leader = self.leader_address();
        match (waiter, cause) {
            (Some(Waiter::Propose(reply)), Unresolved::NotProposed) => {
                let _ = reply.send(Proposed::NotLeader { leader });
            }
            (Some(Waiter::Propose(reply)), Unresolved::Unknown) => {
                let _ = reply.send(Proposed::Unknown);
            }
            (Some(Waiter::Operate(reply, _)), Unresolved::NotProposed) => {
                let _ = reply.send(CommandReply::NotLeader { leader });
            }
            (Some(Waiter::Operate(reply, _)), Unresolved::Unknown) => {
                let _ = reply.send(CommandReply::Unknown);
            }
            (Some(Waiter::Drain(reply)), Unresolved::NotProposed) => {
                let _ = reply.send(Drained::NotLeader { leader });
            }
            (Some(Waiter::Drain(reply)), Unresolved::Unknown) => {
                let _ = reply.send(Drained::Unknown);
            }
            (Some(Waiter::LeaderTask(task)), _) => self.leader_state.end(task),
            (None, _) => {}
        }
    }

    fn status(&self) -> Status {
        let now = self.clock.now();
        let mut degraded = self.liveness.degraded(now);
        if !self.leads() {
            degraded.insert(
                0,
                match self.leader_address() {
                    Some(leader) => {
                        format!("{} is a follower of {leader}; its state may be stale", self.name)
                    }
                    None => format!("{} knows no leader: no change can be made", self.name),
                },
            );
        }
        for member in self.group.members(now) {
            if member.since_contact.is_some_and(|silent| crate::SILENT_AFTER <= silent) {
                degraded.push(format!("control member {} does not answer", member.member));
            }
        }
        let entries = self.liveness.status(now, self.machine.view(), self.machine.revision());
        for entry in entries.iter().filter(|entry| crate::SILENT_AFTER <= entry.silent) {
            degraded.push(format!("entry {} does not answer", entry.entry.name));
        }
        Status {
            config: self.machine.config(),
            entries,
            endpoints: self.liveness.endpoints(now),
            suspects: self.liveness.suspects(now),
            members: self.member_statuses(),
            degraded,
        }
    }

    /// Returns the current members, or only this one while it is not in a group.
    pub(crate) fn member_statuses(&self) -> Vec<MemberStatus> {
        let own = self.options.listen.to_string();
        let leader = self.group.leader();
        let address = |name: &wasabi_protocol::id::Member| {
            let known = self.addresses.get(name).or_else(|| self.learned.get(name)).cloned();
            known.unwrap_or_else(|| if *name == self.name { own.clone() } else { String::new() })
        };
        let members = self.group.members(self.clock.now());
        if members.is_empty() {
            return vec![MemberStatus {
                member: self.name.clone(),
                address: own,
                role: Role::Learner,
                matched: 0,
            }];
        }
        let status = |status: wasabi_consensus::Status| MemberStatus {
            address: address(&status.member),
            role: match status.kind {
                _ if leader == Some(&status.member) => Role::Leader,
                MemberKind::Voter => Role::Voter,
                MemberKind::Learner => Role::Learner,
            },
            matched: status.matched.unwrap_or(0),
            member: status.member,
        };
        members.into_iter().map(status).collect()
    }

    /// Proposes an item for a leader task unless that task is in progress.
    pub(crate) fn propose_task(&mut self, task: LeaderTask, item: Item) {
        if self.leader_state.begin(task) {
            self.propose(item, Waiter::LeaderTask(task));
        }
    }
}

/// Returns the most recently ordered move of a model or service.
fn last_move<'a>(machine: &'a Machine, backend: &id::Backend) -> Option<&'a Move> {
    machine.moves().filter(|order| order.plan.backend == *backend).max_by_key(|order| order.started)
}
