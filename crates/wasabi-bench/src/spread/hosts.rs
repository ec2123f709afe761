//! The entries and the leader of a case.
//!
//! Entries check in with the leader, exchange heartbeats with the coordinators, and decide with
//! [`Plan`] whom to ask, as the entry daemon does. The links and the processes around that are
//! simulated; processor time is not.

use fastrand::Rng;
use wasabi_entry::fetch::plan::{
    ControlAccess, End, Locality, PROGRESS_CHECK_INTERVAL, Plan, Source,
};
use wasabi_protocol::{clock::Millis, id};
use wasabi_routing::rendezvous;

use crate::spread::{
    case::{Case, Micros, Outcome, Start, Way},
    links::{Event, Links},
    site,
};

/// Time between two check-ins, and between two heartbeats to a peer, in microseconds.
const EVERY: Micros = 500_000;

/// Longest time for the answer to a check-in, in microseconds.
const CHECKIN_TIME: Micros = 700_000;

/// Time of one way between two hosts, in microseconds.
const DELAY: Micros = 1_400;

/// When the change is committed, in microseconds. Until then the hosts only hear each other.
const COMMITTED: Micros = 2_000_000;

/// Longest time that is simulated after the commit, in microseconds.
const BOUND: Micros = 120_000_000;

/// Time after which a follower of the leader knows of the commit, in microseconds.
const FOLLOWED: Micros = 50_000;

/// Lengths of the small messages, in bytes.
const CHECKIN_BYTES: u64 = 700;
const CHECKED_BYTES: u64 = 300;
const HEARTBEAT_BYTES: u64 = 300;
const ASK_BYTES: u64 = 300;

/// The host of the leader.
const LEADER: usize = 0;

/// The revisions before and after the change.
const OLD: id::Revision = id::Revision(1);
const NEW: id::Revision = id::Revision(2);

/// Timers of a host.
const CHECK_IN: u64 = 0;
const BEAT: u64 = 1;
const LOOK: u64 = 2;
const CONNECTED: u64 = 3;

/// The timer that gives up the check-in with number 0; those after it name later ones.
const GIVE_UP: u64 = 4;

#[derive(Debug)]
enum Message {
    CheckIn { number: u64 },
    Checked { number: u64, revision: id::Revision, carries: bool },
    Beat(id::Revision),
    Beaten(id::Revision),
    Ask { member: bool },
    Answer(id::Revision),
}

/// An entry.
#[derive(Debug)]
struct Host {
    held: id::Revision,
    plan: Plan,
    turn: ControlAccess,
    /// The number of the check-in under way, and the transfer of its answer.
    checkin: Option<(u64, Option<u64>)>,
    checkins: u64,
    checked_in: Micros,
    /// The source of the fetch under way, the transfer of its answer, and what has come of it.
    flight: Option<Flight>,
}

#[derive(Debug)]
struct Flight {
    source: Source,
    transfer: Option<u64>,
    received: u64,
}

/// A case under way.
pub(super) struct Spread<'a> {
    case: &'a Case,
    links: Links<Message>,
    hosts: Vec<Host>,
    coordinators: Vec<usize>,
    rng: Rng,
    in_force: Vec<Micros>,
    unanswered: u64,
}

impl<'a> Spread<'a> {
    /// Returns a case that has not begun.
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
            turn: if coordinators.contains(&number) { ControlAccess::Immediate } else { others },
            checkin: None,
            checkins: 0,
            checked_in: 0,
            flight: None,
        });
        Self {
            case,
            links: Links::new(count, case.bytes_per_s, DELAY),
            hosts: hosts.collect(),
            coordinators,
            rng: Rng::with_seed(case.seed),
            in_force: Vec::new(),
            unanswered: 0,
        }
    }

    /// Plays the case.
    pub(super) fn play(mut self) -> Outcome {
        self.begin();
        while self.in_force.len() < self.hosts.len()
            && let Some(event) = self.links.next(COMMITTED + BOUND)
        {
            self.take(event);
        }
        let sent = self.links.bulk_sent().to_vec();
        Outcome { in_force: self.in_force, sent, unanswered: self.unanswered }
    }

    /// Has every host speak for the first time.
    fn begin(&mut self) {
        // Processes that start at one time check in at one time.
        let first = match self.case.start {
            Start::Behind => 0,
            Start::Empty => COMMITTED,
        };
        for host in 0..self.hosts.len() {
            let (turn, held) = (self.hosts[host].turn, self.hosts[host].held);
            self.hosts[host].plan.set_held_revision(Millis::ZERO, held, turn);
            for timer in [CHECK_IN, BEAT] {
                let at = first + self.rng.u64(..EVERY);
                self.links.wake(at, host, timer);
            }
        }
    }

    fn take(&mut self, event: Event<Message>) {
        match event {
            Event::Timer { host, timer: CHECK_IN } => self.check_in(host),
            Event::Timer { host, timer: BEAT } => self.beat(host),
            Event::Timer { host, timer: LOOK } => self.look(host),
            Event::Timer { host, timer: CONNECTED } => self.ask(host),
            Event::Timer { host, timer } => self.give_up(host, timer - GIVE_UP),
            Event::Piece { transfer, to, bytes } => self.receive(to, transfer, bytes),
            Event::Message { transfer, from, to, bytes, message } => {
                self.receive(to, transfer, bytes);
                self.hear(transfer, from, to, message);
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
        self.links.wake(now + CHECKIN_TIME, host, GIVE_UP + number);
    }

    fn give_up(&mut self, host: usize, number: u64) {
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

    fn beat(&mut self, host: usize) {
        let held = self.hosts[host].held;
        if OLD <= held {
            for peer in self.coordinators.clone() {
                if peer != host {
                    self.links.send(host, peer, HEARTBEAT_BYTES, Message::Beat(held));
                }
            }
        }
        self.links.wake(self.links.now() + EVERY, host, BEAT);
    }

    fn hear(&mut self, transfer: u64, from: usize, to: usize, message: Message) {
        match message {
            Message::CheckIn { number } => self.answer_check_in(from, number),
            Message::Checked { number, revision, carries } => {
                self.checked(to, number, revision, carries);
            }
            Message::Beat(revision) => {
                let held = self.hosts[to].held;
                self.links.send(to, from, HEARTBEAT_BYTES, Message::Beaten(held));
                self.name(to, Source::Peer(site::name(from)), revision);
            }
            Message::Beaten(revision) => {
                self.name(to, Source::Peer(site::name(from)), revision);
            }
            Message::Ask { member } => self.answer(to, from, member),
            Message::Answer(revision) => {
                let is_awaited = self.hosts[to]
                    .flight
                    .as_ref()
                    .is_some_and(|flight| flight.transfer == Some(transfer));
                if is_awaited {
                    let end = if self.hold(to, revision) { End::Taken } else { End::Failed };
                    self.end(to, end);
                }
            }
        }
    }

    fn answer_check_in(&mut self, host: usize, number: u64) {
        let revision = self.committed(LEADER);
        let carries = self.case.way == Way::Carried && self.hosts[host].held < revision;
        let answer = Message::Checked { number, revision, carries };
        let transfer = if carries {
            self.links.send_bulk(LEADER, host, self.case.answer_bytes, answer)
        } else {
            self.links.send(LEADER, host, CHECKED_BYTES, answer)
        };
        match &mut self.hosts[host].checkin {
            Some((under_way, answer)) if *under_way == number => *answer = Some(transfer),
            _ => self.links.cancel(transfer),
        }
    }

    fn checked(&mut self, host: usize, number: u64, revision: id::Revision, carries: bool) {
        let state = &mut self.hosts[host];
        if state.checkin.is_some_and(|(under_way, _)| under_way == number) {
            state.checkin = None;
            let next = (state.checked_in + EVERY).max(self.links.now());
            self.links.wake(next, host, CHECK_IN);
        }
        if carries {
            self.hold(host, revision);
        }
        if self.case.way == Way::Carried {
            return;
        }
        let members = site::MEMBERS.min(self.hosts.len());
        if self.hosts[host].held < OLD {
            let mut members: Vec<_> = (0..members).collect();
            self.rng.shuffle(&mut members);
            for member in members {
                self.name(host, Source::Member(member.to_string()), revision);
            }
        } else {
            self.name(host, Source::Member(LEADER.to_string()), revision);
        }
    }

    /// Returns the revision that the member on a host knows to be committed.
    fn committed(&self, member: usize) -> id::Revision {
        let known = if member == LEADER { COMMITTED } else { COMMITTED + FOLLOWED };
        if known <= self.links.now() { NEW } else { OLD }
    }

    fn name(&mut self, host: usize, source: Source, revision: id::Revision) {
        let now = millis(self.links.now());
        let place = match &source {
            Source::Peer(peer) => self.place(host, peer),
            Source::Member(_) => Locality::Remote,
        };
        self.hosts[host].plan.add_available(now, source, place, revision);
        self.start(host);
    }

    fn place(&self, host: usize, peer: &id::Entry) -> Locality {
        let entries = &self.case.config.view.entries;
        let of_peer = entries.iter().find(|entry| entry.name == *peer);
        let is_here = of_peer.is_some_and(|peer| peer.data_centre == entries[host].data_centre);
        if is_here { Locality::Local } else { Locality::Remote }
    }

    fn start(&mut self, host: usize) {
        let now = self.links.now();
        let state = &mut self.hosts[host];
        let Some(source) = state.plan.start_fetch(millis(now)) else { return };
        state.flight = Some(Flight { source, transfer: None, received: 0 });
        // The handshake of a new connection.
        self.links.wake(now + 2 * DELAY, host, CONNECTED);
        self.links.wake(now + PROGRESS_CHECK_INTERVAL.0 * 1_000, host, LOOK);
    }

    fn ask(&mut self, host: usize) {
        let Some(flight) = &self.hosts[host].flight else { return };
        let (to, member) = match &flight.source {
            Source::Member(member) => (member.parse().unwrap_or(LEADER), true),
            Source::Peer(peer) => {
                let mut entries = self.case.config.view.entries.iter();
                (entries.position(|entry| entry.name == *peer).unwrap_or(LEADER), false)
            }
        };
        self.links.send(host, to, ASK_BYTES, Message::Ask { member });
    }

    fn answer(&mut self, host: usize, asker: usize, member: bool) {
        let held = if member { self.committed(host) } else { self.hosts[host].held };
        let transfer = if self.hosts[asker].held < held {
            self.links.send_bulk(host, asker, self.case.answer_bytes, Message::Answer(held))
        } else {
            self.links.send(host, asker, CHECKED_BYTES, Message::Answer(held))
        };
        match &mut self.hosts[asker].flight {
            Some(flight) if flight.transfer.is_none() => flight.transfer = Some(transfer),
            _ => self.links.cancel(transfer),
        }
    }

    fn receive(&mut self, host: usize, transfer: u64, bytes: u64) {
        if let Some(flight) = &mut self.hosts[host].flight
            && flight.transfer == Some(transfer)
        {
            flight.received += bytes;
        }
    }

    fn look(&mut self, host: usize) {
        let now = self.links.now();
        let state = &mut self.hosts[host];
        let Some(flight) = &state.flight else { return };
        let transfer = flight.transfer;
        if state.plan.is_stalled(millis(now), flight.received) {
            if let Some(transfer) = transfer {
                self.links.cancel(transfer);
            }
            self.end(host, End::Failed);
        } else {
            self.links.wake(now + PROGRESS_CHECK_INTERVAL.0 * 1_000, host, LOOK);
        }
    }

    fn end(&mut self, host: usize, end: End) {
        let now = millis(self.links.now());
        self.hosts[host].flight = None;
        self.hosts[host].plan.end_fetch(now, end);
        self.start(host);
    }

    /// Puts a revision in force unless a newer one is. Returns whether it did.
    fn hold(&mut self, host: usize, revision: id::Revision) -> bool {
        let now = self.links.now();
        let state = &mut self.hosts[host];
        if revision <= state.held {
            return false;
        }
        state.held = revision;
        if !self.coordinators.contains(&host) {
            state.turn = ControlAccess::AfterPeers;
        }
        state.plan.set_held_revision(millis(now), revision, state.turn);
        if revision == NEW {
            self.in_force.push(now.saturating_sub(COMMITTED));
        }
        true
    }
}

const fn millis(now: Micros) -> Millis {
    Millis(now / 1_000)
}
