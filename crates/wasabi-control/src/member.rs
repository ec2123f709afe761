//! The control thread of one member.

use std::{
    collections::BTreeMap,
    sync::mpsc::{Receiver, RecvTimeoutError},
    time::Duration,
};

use bytes::Bytes;
use tokio::sync::oneshot::Sender;
use tracing::{info, warn};
use wasabi_protocol::{
    clock::{Clock, Millis, unix_now},
    command::{Command, Outcome},
    fault::{Fault, Kind},
    fingerprint, id,
    rpc::{
        Checked, Checkin, Drained, Force, Inquired, MembersChanged, Operated, Proposed, Source,
        Status,
    },
};
use wasabi_state::Machine;

use crate::{
    group::{Effect, Group},
    input::Input,
    liveness::Liveness,
    options::Options,
    record::{Item, Record},
};

/// Time between two turns without input, in milliseconds.
const TICK: Millis = Millis(20);

/// Time without a turn after which silence so far says nothing, in milliseconds.
const PAUSE: Millis = Millis(500);

/// Longest time that an operator's command waits to be in force everywhere, in milliseconds.
const FORCE_WAIT_MAX: Millis = Millis::from_secs(60);

/// One member of the control group.
pub(crate) struct Member {
    options: Options,
    clock: Clock,
    group: Group,
    machine: Machine,
    liveness: Liveness,
    /// Answers that wait for the commit of their proposal, by its number.
    waiting: BTreeMap<u64, Waiting>,
    /// Numbers of the proposals that have a place in the log, by index, with their term.
    placed: BTreeMap<u64, (u64, u64)>,
    next_request: u64,
    forces: Vec<ForceWait>,
    last_turn: Millis,
    view_pending: bool,
}

/// What waits for the commit of a proposal.
enum Waiting {
    Propose(Sender<Proposed>),
    Operate(Sender<Operated>, Millis),
    Drain(Sender<Drained>),
    View,
}

/// An operator's accepted change that is not in force everywhere yet.
struct ForceWait {
    revision: id::Revision,
    deadline: Millis,
    outcome: Outcome,
    reply: Sender<Operated>,
}

impl Member {
    pub(crate) fn new(options: Options) -> Self {
        let clock = Clock::start();
        let machine = Machine::new();
        Self {
            group: Group::default(),
            liveness: Liveness::new(clock.now(), machine.view(), machine.revision()),
            machine,
            options,
            clock,
            waiting: BTreeMap::new(),
            placed: BTreeMap::new(),
            next_request: 0,
            forces: Vec::new(),
            last_turn: Millis::ZERO,
            view_pending: false,
        }
    }

    /// Runs until a planned stop or until all connections are gone.
    pub(crate) fn run(mut self, inputs: &Receiver<Input>) {
        info!(member = %self.options.name, "control thread started");
        loop {
            let now = self.clock.now();
            if PAUSE < now.since(self.last_turn) {
                self.liveness.resume(now);
            }
            self.last_turn = now;
            match inputs.recv_timeout(Duration::from_millis(TICK.0)) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.drain_effects();
            self.lead();
            self.answer_forces();
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Checkin(checkin, reply) => {
                let _ = reply.send(self.check_in(*checkin));
            }
            Input::Propose(propose, reply) => match propose.command {
                command @ (Command::RecordDispatch { .. }
                | Command::ReleaseDispatch { .. }
                | Command::FinishDispatch { .. }
                | Command::GrantOrderLease { .. }) => {
                    self.propose(Item::Command(command), Waiting::Propose(reply));
                }
                _ => warn!("a command that needs an operator was proposed without a credential"),
            },
            Input::Operate(operate, reply) => {
                let is_order = matches!(
                    operate.command,
                    Command::ApplyContract { .. }
                        | Command::RemoveContract { .. }
                        | Command::StartMove { .. }
                        | Command::TakeBackMove { .. }
                );
                if let Err(fault) = self.authorize(&operate.credential) {
                    let _ = reply.send(Operated::Refused(fault));
                } else if !is_order {
                    let message = "only commands with an order are taken from operators";
                    let _ = reply.send(Operated::Refused(Fault::new(Kind::BadRequest, message)));
                } else {
                    let deadline = self.clock.now() + operate.wait.min(FORCE_WAIT_MAX);
                    self.propose(Item::Command(operate.command), Waiting::Operate(reply, deadline));
                }
            }
            Input::Inquire(inquire, reply) => {
                let answer = match self.authorize(&inquire.credential) {
                    Err(fault) => Inquired::Refused(fault),
                    Ok(()) if inquire.source == Source::Leader && !self.leads() => {
                        Inquired::NotLeader { leader: self.leader_address() }
                    }
                    Ok(()) => Inquired::Status(Box::new(self.status())),
                };
                let _ = reply.send(answer);
            }
            Input::Config(reply) => {
                let _ = reply.send(self.machine.config());
            }
            Input::Drain(drain, reply) => {
                if let Err(fault) = self.authorize(&drain.credential) {
                    let _ = reply.send(Drained::Refused(fault));
                    return;
                }
                self.liveness.drain(self.clock.now(), &drain.entry);
                let view = self.machine.view();
                let next = self.liveness.next_view(self.clock.now(), view);
                let base = view.number;
                let entries = next.unwrap_or_else(|| view.entries.clone());
                self.propose(
                    Item::Command(Command::SetView { base, entries }),
                    Waiting::Drain(reply),
                );
            }
            Input::ChangeMembers(change, reply) => {
                let fault = self.authorize(&change.credential).err().unwrap_or_else(|| {
                    Fault::new(Kind::ControlUnavailable, "this member runs without a group")
                });
                let _ = reply.send(MembersChanged::Refused(fault));
            }
            Input::Stop => {}
        }
    }

    fn check_in(&mut self, checkin: Checkin) -> Checked {
        if !self.leads() {
            return Checked::NotLeader { leader: self.leader_address() };
        }
        let held = checkin.revision;
        self.liveness.check_in(self.clock.now(), checkin);
        let revision = self.machine.revision();
        let config = (held < revision).then(|| Box::new(self.machine.config()));
        Checked::Heard { revision, config }
    }

    fn authorize(&self, credential: &str) -> Result<(), Fault> {
        let digest = fingerprint::token(credential);
        if self.options.operator_digests.contains(&digest) {
            return Ok(());
        }
        let message = "the operator's credential is missing or wrong";
        Err(Fault::new(Kind::OperatorUnauthorized, message))
    }

    fn leads(&self) -> bool {
        self.group.can_read(self.clock.now())
    }

    fn leader_address(&self) -> Option<String> {
        let leader = self.group.leader()?;
        let member = self.options.members.iter().find(|(name, _)| name == leader);
        member.map(|(_, address)| address.clone())
    }

    fn propose(&mut self, item: Item, waiting: Waiting) {
        self.next_request += 1;
        let request = self.next_request;
        let record = Record { now: unix_now(), item };
        let Ok(bytes) = postcard::to_stdvec(&record) else {
            warn!("a command cannot be encoded");
            return;
        };
        self.waiting.insert(request, waiting);
        self.group.propose(self.clock.now(), Bytes::from(bytes), request);
    }

    fn drain_effects(&mut self) {
        while let Some(effect) = self.group.next_effect() {
            match effect {
                Effect::Placed { request, index, term } => {
                    self.placed.insert(index, (term, request));
                }
                Effect::Apply { index, term, data } => {
                    let request = self.placed.remove(&index).filter(|(placed, _)| *placed == term);
                    let Some(outcome) = self.apply(index, &data) else { continue };
                    if let Some(waiting) =
                        request.and_then(|(_, request)| self.waiting.remove(&request))
                    {
                        self.committed(waiting, outcome);
                    }
                }
            }
        }
    }

    fn apply(&mut self, index: u64, data: &[u8]) -> Option<Outcome> {
        let record: Record = postcard::from_bytes(data).ok()?;
        let Item::Command(command) = record.item;
        let view = self.machine.view().number;
        let outcome = self.machine.apply(index, record.now, &command);
        if view != self.machine.view().number {
            self.liveness.set_view(self.machine.view(), self.machine.revision());
        }
        Some(outcome)
    }

    fn committed(&mut self, waiting: Waiting, outcome: Outcome) {
        match waiting {
            Waiting::Propose(reply) => {
                let _ = reply.send(Proposed::Committed(outcome));
            }
            Waiting::Operate(reply, deadline) => match outcome {
                Outcome::Accepted { revision } => {
                    self.forces.push(ForceWait { revision, deadline, outcome, reply });
                }
                _ => {
                    let force = Force::default();
                    let _ = reply.send(Operated::Committed { outcome, force });
                }
            },
            Waiting::Drain(reply) => {
                let answer = match outcome {
                    Outcome::Accepted { revision } => Drained::Ordered { revision },
                    _ => Drained::Unknown,
                };
                let _ = reply.send(answer);
            }
            Waiting::View => self.view_pending = false,
        }
    }

    /// Does what only the leader does.
    fn lead(&mut self) {
        if !self.leads() || self.view_pending {
            return;
        }
        let now = self.clock.now();
        let Some(entries) = self.liveness.next_view(now, self.machine.view()) else { return };
        let base = self.machine.view().number;
        self.view_pending = true;
        self.propose(Item::Command(Command::SetView { base, entries }), Waiting::View);
        self.drain_effects();
    }

    fn answer_forces(&mut self) {
        let now = self.clock.now();
        let (liveness, view) = (&self.liveness, self.machine.view());
        self.forces.retain_mut(|wait| {
            let force = liveness.force(now, view, wait.revision);
            if !force.behind.is_empty() && now < wait.deadline {
                return true;
            }
            let (reply, _) = tokio::sync::oneshot::channel();
            let reply = std::mem::replace(&mut wait.reply, reply);
            let _ = reply.send(Operated::Committed { outcome: wait.outcome.clone(), force });
            false
        });
    }

    fn status(&self) -> Status {
        let now = self.clock.now();
        Status {
            config: self.machine.config(),
            entries: self.liveness.status(now, self.machine.view(), self.machine.revision()),
            endpoints: self.liveness.endpoints(now),
            suspects: self.liveness.suspects(now),
            members: Vec::new(),
            degraded: self.liveness.degraded(now),
        }
    }
}
