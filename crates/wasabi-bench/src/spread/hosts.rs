//! Simulated entries and their leader.
//!
//! Entries check in with the leader, exchange heartbeats with the coordinators, and choose the source
//! of each fetch with [`Plan`], as the entry daemon does. The links and the rest of the processes are
//! simulated; CPU time is not modelled.

use fastrand::Rng;
use wasabi_entry::fetch::plan::{
    ControlAccess, End, Locality, PROGRESS_CHECK_INTERVAL, Plan, Source,
};
use wasabi_protocol::{clock::Millis, id};
use wasabi_routing::rendezvous;

use crate::spread::{
    case::{Case, Delivery, Micros, Outcome, Start},
    links::{Event, Links},
    site,
};

/// Interval of check-ins and of heartbeats to each peer.
const HEARTBEAT_INTERVAL_US: Micros = 500_000;

/// Timeout of a check-in.
const CHECKIN_TIMEOUT_US: Micros = 700_000;

/// One-way delay between two hosts.
const LINK_DELAY_US: Micros = 1_400;

/// Time at which the change is committed. Until then the hosts only exchange check-ins and
/// heartbeats.
const COMMIT_AT_US: Micros = 2_000_000;

/// Maximum simulated time after the commit.
const RUN_AFTER_COMMIT_US: Micros = 120_000_000;

/// Time from the commit until the other members know of it.
const FOLLOWER_DELAY_US: Micros = 50_000;

/// Lengths of messages without a configuration.
const CHECKIN_BYTES: u64 = 700;
const CHECKIN_REPLY_BYTES: u64 = 300;
const HEARTBEAT_BYTES: u64 = 300;
const FETCH_REQUEST_BYTES: u64 = 300;

/// Index of the leader's host.
const LEADER: usize = 0;

/// Revisions before and after the change.
const OLD: id::Revision = id::Revision(1);
const NEW: id::Revision = id::Revision(2);

/// Ids of a host's timers.
const CHECK_IN: u64 = 0;
const SEND_HEARTBEATS: u64 = 1;
const CHECK_PROGRESS: u64 = 2;
const CONNECTED: u64 = 3;

/// Id of the timeout of check-in 0. The timeout of check-in `n` has the id `CHECKIN_TIMEOUT_BASE + n`.
const CHECKIN_TIMEOUT_BASE: u64 = 4;

#[derive(Debug)]
enum Message {
    CheckIn { number: u64 },
    CheckInReply { number: u64, revision: id::Revision, carries_config: bool },
    Heartbeat(id::Revision),
    HeartbeatReply(id::Revision),
    FetchRequest { member: bool },
    FetchReply(id::Revision),
}

/// State of an entry.
#[derive(Debug)]
struct Host {
    held: id::Revision,
    plan: Plan,
    control_access: ControlAccess,
    /// Number of the pending check-in, and the transfer of its reply.
    checkin: Option<(u64, Option<u64>)>,
    checkins: u64,
    checked_in: Micros,
    /// The pending fetch.
    fetch: Option<Fetch>,
}

/// A fetch: its source, the transfer of its reply, and the bytes received so far.
#[derive(Debug)]
struct Fetch {
    source: Source,
    transfer: Option<u64>,
    received: u64,
}

/// A running simulation of a case.
pub(super) struct Simulation<'a> {
    case: &'a Case,
    links: Links<Message>,
    hosts: Vec<Host>,
    coordinators: Vec<usize>,
    rng: Rng,
    in_force: Vec<Micros>,
    unanswered: u64,
}

impl<'a> Simulation<'a> {
    /// Prepares the simulation of a case.
    pub(super) fn new(case: &'a Case) -> Self {
        let view = &case.config.view;
        let count = view.entries.len();
        let coordinators: Vec<_> = rendezvous::coordinators(view)
            .iter()
            .filter_map(|one| view.entries.iter().position(|entry| entry.name == one.name))
            .collect();
        let (held, others) = match case.start {
            Start::Behind => (OLD, ControlAccess::AfterPeers),
            Start::Empty => (id::Revision(0), ControlAccess::Immediate),
        };
        let hosts = (0..count).map(|number| Host {
            held,
            plan: Plan::default(),
            control_access: if coordinators.contains(&number) {
                ControlAccess::Immediate
            } else {
                others
            },
            checkin: None,
            checkins: 0,
            checked_in: 0,
            fetch: None,
        });
        Self {
            case,
            links: Links::new(count, case.bytes_per_s, LINK_DELAY_US),
            hosts: hosts.collect(),
            coordinators,
            rng: Rng::with_seed(case.seed),
            in_force: Vec::new(),
            unanswered: 0,
        }
    }

    /// Runs the simulation to its end.
    pub(super) fn run(mut self) -> Outcome {
        self.schedule_first_timers();
        while self.in_force.len() < self.hosts.len()
            && let Some(event) = self.links.next(COMMIT_AT_US + RUN_AFTER_COMMIT_US)
        {
            self.handle_event(event);
        }
        let sent = self.links.bulk_sent().to_vec();
        Outcome { in_force: self.in_force, sent, unanswered: self.unanswered }
    }

    /// Schedules the first check-in and heartbeat of every host.
    fn schedule_first_timers(&mut self) {
        // Hosts without a configuration all start, and so check in, at the time of the commit.
        let first = match self.case.start {
            Start::Behind => 0,
            Start::Empty => COMMIT_AT_US,
        };
        for host in 0..self.hosts.len() {
            let (control_access, held) = (self.hosts[host].control_access, self.hosts[host].held);
            self.hosts[host].plan.set_held_revision(Millis::ZERO, held, control_access);
            for timer in [CHECK_IN, SEND_HEARTBEATS] {
                let at = first + self.rng.u64(..HEARTBEAT_INTERVAL_US);
                self.links.schedule_timer(at, host, timer);
            }
        }
    }

    fn handle_event(&mut self, event: Event<Message>) {
        match event {
            Event::Timer { host, timer: CHECK_IN } => self.check_in(host),
            Event::Timer { host, timer: SEND_HEARTBEATS } => self.send_heartbeats(host),
            Event::Timer { host, timer: CHECK_PROGRESS } => self.check_progress(host),
            Event::Timer { host, timer: CONNECTED } => self.request_config(host),
            Event::Timer { host, timer } => {
                self.time_out_check_in(host, timer - CHECKIN_TIMEOUT_BASE)
            }
            Event::Piece { transfer, to, bytes } => self.receive(to, transfer, bytes),
            Event::Message { transfer, from, to, bytes, message } => {
                self.receive(to, transfer, bytes);
                self.handle_message(transfer, from, to, message);
            }
        }
    }

    fn check_in(&mut self, host: usize) {
        let now = self.links.now();
        let state = &mut self.hosts[host];
        state.checkins += 1;
        state.checked_in = now;
        let number = state.checkins;
        state.checkin = Some((number, None));
        self.links.send(host, LEADER, CHECKIN_BYTES, Message::CheckIn { number });
        self.links.schedule_timer(now + CHECKIN_TIMEOUT_US, host, CHECKIN_TIMEOUT_BASE + number);
    }

    fn time_out_check_in(&mut self, host: usize, number: u64) {
        let state = &mut self.hosts[host];
        let Some((under_way, transfer)) = state.checkin else { return };
        if under_way != number {
            return;
        }
        state.checkin = None;
        self.unanswered += 1;
        if let Some(transfer) = transfer {
            self.links.cancel(transfer);
        }
        self.check_in(host);
    }

    fn send_heartbeats(&mut self, host: usize) {
        let held = self.hosts[host].held;
        if OLD <= held {
            for peer in self.coordinators.clone() {
                if peer != host {
                    self.links.send(host, peer, HEARTBEAT_BYTES, Message::Heartbeat(held));
                }
            }
        }
        self.links.schedule_timer(self.links.now() + HEARTBEAT_INTERVAL_US, host, SEND_HEARTBEATS);
    }

    fn handle_message(&mut self, transfer: u64, from: usize, to: usize, message: Message) {
        match message {
            Message::CheckIn { number } => self.answer_check_in(from, number),
            Message::CheckInReply { number, revision, carries_config } => {
                self.handle_check_in_reply(to, number, revision, carries_config);
            }
            Message::Heartbeat(revision) => {
                let held = self.hosts[to].held;
                self.links.send(to, from, HEARTBEAT_BYTES, Message::HeartbeatReply(held));
                self.add_source(to, Source::Peer(site::name(from)), revision);
            }
            Message::HeartbeatReply(revision) => {
                self.add_source(to, Source::Peer(site::name(from)), revision);
            }
            Message::FetchRequest { member } => self.send_config(to, from, member),
            Message::FetchReply(revision) => {
                let is_awaited = self.hosts[to]
                    .fetch
                    .as_ref()
                    .is_some_and(|fetch| fetch.transfer == Some(transfer));
                if is_awaited {
                    let end = if self.adopt(to, revision) { End::Taken } else { End::Failed };
                    self.end_fetch(to, end);
                }
            }
        }
    }

    fn answer_check_in(&mut self, host: usize, number: u64) {
        let revision = self.committed_revision(LEADER);
        let carries_config =
            self.case.delivery == Delivery::Carried && self.hosts[host].held < revision;
        let answer = Message::CheckInReply { number, revision, carries_config };
        let transfer = if carries_config {
            self.links.send_bulk(LEADER, host, self.case.answer_bytes, answer)
        } else {
            self.links.send(LEADER, host, CHECKIN_REPLY_BYTES, answer)
        };
        match &mut self.hosts[host].checkin {
            Some((under_way, answer)) if *under_way == number => *answer = Some(transfer),
            _ => self.links.cancel(transfer),
        }
    }

    fn handle_check_in_reply(
        &mut self,
        host: usize,
        number: u64,
        revision: id::Revision,
        carries_config: bool,
    ) {
        let state = &mut self.hosts[host];
        if state.checkin.is_some_and(|(under_way, _)| under_way == number) {
            state.checkin = None;
            let next = (state.checked_in + HEARTBEAT_INTERVAL_US).max(self.links.now());
            self.links.schedule_timer(next, host, CHECK_IN);
        }
        if carries_config {
            self.adopt(host, revision);
        }
        if self.case.delivery == Delivery::Carried {
            return;
        }
        let members = site::MEMBERS.min(self.hosts.len());
        if self.hosts[host].held < OLD {
            let mut members: Vec<_> = (0..members).collect();
            self.rng.shuffle(&mut members);
            for member in members {
                self.add_source(host, Source::Member(member.to_string()), revision);
            }
        } else {
            self.add_source(host, Source::Member(LEADER.to_string()), revision);
        }
    }

    /// Returns the latest revision that a member knows to be committed.
    fn committed_revision(&self, member: usize) -> id::Revision {
        let known = if member == LEADER { COMMIT_AT_US } else { COMMIT_AT_US + FOLLOWER_DELAY_US };
        if known <= self.links.now() { NEW } else { OLD }
    }

    fn add_source(&mut self, host: usize, source: Source, revision: id::Revision) {
        let now = millis(self.links.now());
        let locality = match &source {
            Source::Peer(peer) => self.locality(host, peer),
            Source::Member(_) => Locality::Remote,
        };
        self.hosts[host].plan.add_available(now, source, locality, revision);
        self.start_fetch(host);
    }

    fn locality(&self, host: usize, peer: &id::Entry) -> Locality {
        let entries = &self.case.config.view.entries;
        let of_peer = entries.iter().find(|entry| entry.name == *peer);
        let is_here = of_peer.is_some_and(|peer| peer.data_centre == entries[host].data_centre);
        if is_here { Locality::Local } else { Locality::Remote }
    }

    fn start_fetch(&mut self, host: usize) {
        let now = self.links.now();
        let state = &mut self.hosts[host];
        let Some(source) = state.plan.start_fetch(millis(now)) else { return };
        state.fetch = Some(Fetch { source, transfer: None, received: 0 });
        // The handshake of a new connection takes one round trip.
        self.links.schedule_timer(now + 2 * LINK_DELAY_US, host, CONNECTED);
        self.links.schedule_timer(now + PROGRESS_CHECK_INTERVAL.0 * 1_000, host, CHECK_PROGRESS);
    }

    fn request_config(&mut self, host: usize) {
        let Some(fetch) = &self.hosts[host].fetch else { return };
        let (to, member) = match &fetch.source {
            Source::Member(member) => (member.parse().unwrap_or(LEADER), true),
            Source::Peer(peer) => {
                let mut entries = self.case.config.view.entries.iter();
                (entries.position(|entry| entry.name == *peer).unwrap_or(LEADER), false)
            }
        };
        self.links.send(host, to, FETCH_REQUEST_BYTES, Message::FetchRequest { member });
    }

    fn send_config(&mut self, host: usize, requester: usize, member: bool) {
        let held = if member { self.committed_revision(host) } else { self.hosts[host].held };
        let transfer = if self.hosts[requester].held < held {
            self.links.send_bulk(host, requester, self.case.answer_bytes, Message::FetchReply(held))
        } else {
            self.links.send(host, requester, CHECKIN_REPLY_BYTES, Message::FetchReply(held))
        };
        match &mut self.hosts[requester].fetch {
            Some(fetch) if fetch.transfer.is_none() => fetch.transfer = Some(transfer),
            _ => self.links.cancel(transfer),
        }
    }

    fn receive(&mut self, host: usize, transfer: u64, bytes: u64) {
        if let Some(fetch) = &mut self.hosts[host].fetch
            && fetch.transfer == Some(transfer)
        {
            fetch.received += bytes;
        }
    }

    fn check_progress(&mut self, host: usize) {
        let now = self.links.now();
        let state = &mut self.hosts[host];
        let Some(fetch) = &state.fetch else { return };
        let transfer = fetch.transfer;
        if state.plan.is_stalled(millis(now), fetch.received) {
            if let Some(transfer) = transfer {
                self.links.cancel(transfer);
            }
            self.end_fetch(host, End::Failed);
        } else {
            self.links.schedule_timer(
                now + PROGRESS_CHECK_INTERVAL.0 * 1_000,
                host,
                CHECK_PROGRESS,
            );
        }
    }

    fn end_fetch(&mut self, host: usize, end: End) {
        let now = millis(self.links.now());
        self.hosts[host].fetch = None;
        self.hosts[host].plan.end_fetch(now, end);
        self.start_fetch(host);
    }

    /// Puts a revision in force if it is newer than the held one, and returns whether it was.
    fn adopt(&mut self, host: usize, revision: id::Revision) -> bool {
        let now = self.links.now();
        let state = &mut self.hosts[host];
        if revision <= state.held {
            return false;
        }
        state.held = revision;
        if !self.coordinators.contains(&host) {
            state.control_access = ControlAccess::AfterPeers;
        }
        state.plan.set_held_revision(millis(now), revision, state.control_access);
        if revision == NEW {
            self.in_force.push(now.saturating_sub(COMMIT_AT_US));
        }
        true
    }
}

const fn millis(now: Micros) -> Millis {
    Millis(now / 1_000)
}
