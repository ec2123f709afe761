//! What is known of the other entries.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use jsonrpsee::ws_client::WsClient;
use tokio::sync::{Mutex, Notify};
use wasabi_protocol::{clock::Millis, command::View, id, rpc::Heartbeat};
use wasabi_routing::{
    liveness::{self, Evidence},
    readiness, rendezvous,
};

use crate::control::link::Unreached;

/// Pause before a connection is opened again after that failed.
const OPENED_AGAIN_AFTER: Millis = Millis(100);

/// Heartbeats to a peer that wait for their answers at one time, of those sent within [`BEAT_TIME`].
const BEATS_MAX: usize = 3;

/// Time after which a heartbeat without an answer does not hold up further ones, so that a peer that
/// comes back is found soon.
const BEAT_TIME: Millis = Millis::from_secs(2);

/// Time between two connections that are tried beside a link. One that is late for each heartbeat
/// would otherwise have all its traffic doubled.
const SECOND_EVERY: Millis = Millis::from_secs(2);

/// Silence after which a peer does not count for this entry's own serving.
const HEARD_FOR: Millis = Millis::from_secs(2);

/// Owners of a pool, in order, that heartbeats are exchanged with: with the first two down, the
/// third takes over.
const OWNERS: usize = 3;

/// One other entry.
#[derive(Debug)]
struct Peer {
    address: String,
    /// The start of its process.
    started: Millis,
    client: Option<Arc<WsClient>>,
    /// Held by whoever opens a connection, so that all others wait for that one.
    opening: Rc<Mutex<()>>,
    /// When a connection could not be opened last.
    failed: Option<Millis>,
    /// The last heartbeat that it answered, by the time of sending.
    heard: Option<Millis>,
    revision: id::Revision,
    /// Whether a leader told its process what is in force.
    is_confirmed: bool,
    /// What it told last of how long it has been ready, and when; none of a process that is gone or
    /// told nothing yet.
    ready: Option<(Millis, Millis)>,
    lost: Rc<Notify>,
    /// When the heartbeats started that wait for their answers.
    beats: Vec<Millis>,
    /// When a connection was tried beside the link last.
    second: Option<Millis>,
    /// Whether it counts when this entry serves on without control.
    is_coordinator: bool,
    /// Whether heartbeats are exchanged with it; of the others only the view tells.
    is_tracked: bool,
    /// Whether it counted as live when that was last looked at.
    was_live: bool,
}

impl Peer {
    /// Returns for how long it has been ready.
    fn ready_for(&self, now: Millis) -> Millis {
        match self.ready {
            Some((told, time)) if time != Millis::ZERO => time + now.since(told),
            _ => Millis::ZERO,
        }
    }
}

/// Where a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Where {
    /// On this host.
    Here,
    /// On another host, or it is not known where.
    Elsewhere,
}

impl Where {
    /// Returns where a process with the address `other` runs, seen from one with the address `own`.
    /// Processes that share a loopback address share no link that could be at fault.
    pub(crate) fn of(own: &str, other: &str) -> Self {
        let host = |address: &str| address.parse::<SocketAddr>().ok().map(|address| address.ip());
        match (host(own), host(other)) {
            (Some(own), Some(other)) if own == other && !own.is_loopback() => Self::Here,
            _ => Self::Elsewhere,
        }
    }
}

/// The other entries of the view.
#[derive(Debug, Default)]
pub(crate) struct Table {
    peers: HashMap<id::Entry, Peer>,
    liveness: liveness::Table,
    /// When the check-in was sent that the control leader answered last.
    control_heard: Option<Millis>,
    /// Whether this entry is a coordinator.
    is_coordinator: bool,
}

impl Table {
    /// Takes over a view and returns the entries that left it or whose process is a new one.
    ///
    /// Heartbeats are exchanged with the coordinators and with the first owners of `pools`.
    pub(crate) fn set_view<'a>(
        &mut self,
        now: Millis,
        view: &View,
        own: &id::Entry,
        pools: impl Iterator<Item = &'a id::Pool>,
    ) -> Vec<id::Entry> {
        let is_same = |name: &id::Entry, peer: &Peer| {
            view.entries.iter().any(|entry| entry.name == *name && entry.started == peer.started)
        };
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|(name, peer)| !is_same(name, peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.liveness.unwatch(name);
            if let Some(peer) = self.peers.remove(name) {
                peer.lost.notify_waiters();
            }
        }
        let coordinators: Vec<_> =
            rendezvous::coordinators(view).into_iter().map(|entry| &entry.name).collect();
        self.is_coordinator = coordinators.contains(&own);
        let owners = pools.flat_map(|pool| rendezvous::owners(pool, view).into_iter().take(OWNERS));
        let owners: HashSet<_> = owners.map(|entry| &entry.name).collect();
        for entry in view.entries.iter().filter(|entry| entry.name != *own) {
            let peer = self.peers.entry(entry.name.clone()).or_insert_with(|| Peer {
                address: entry.peer_address.clone(),
                started: entry.started,
                client: None,
                opening: Rc::default(),
                failed: None,
                heard: None,
                revision: id::Revision::default(),
                is_confirmed: false,
                ready: None,
                lost: Rc::default(),
                beats: Vec::new(),
                second: None,
                is_coordinator: false,
                is_tracked: false,
                was_live: true,
            });
            if peer.address != entry.peer_address {
                peer.address.clone_from(&entry.peer_address);
                peer.client = None;
                peer.failed = None;
            }
            peer.is_coordinator = coordinators.contains(&&entry.name);
            peer.is_tracked = peer.is_coordinator || owners.contains(&entry.name);
            if peer.is_tracked {
                self.liveness.watch(now, &entry.name);
            } else {
                self.liveness.unwatch(&entry.name);
            }
        }
        gone
    }

    /// Returns whether a peer may own pools.
    pub(crate) fn is_live(&self, now: Millis, name: &id::Entry) -> bool {
        self.peers.contains_key(name) && self.liveness.is_live(now, name)
    }

    /// Returns whether an entry may own pools and budgets; `own` is this entry's name and for how long
    /// it has been ready.
    ///
    /// Of peers that no heartbeats are exchanged with only the view tells.
    pub(crate) fn may_own(&self, now: Millis, name: &id::Entry, own: (&id::Entry, Millis)) -> bool {
        let ready_for = if name == own.0 {
            own.1
        } else {
            if !self.is_live(now, name) {
                return false;
            }
            match self.peers.get(name) {
                Some(peer) if peer.is_tracked => peer.ready_for(now),
                _ => return true,
            }
        };
        readiness::may_own(ready_for, self.longest_ready(now).max(own.1))
    }

    /// Returns the longest time for which a live peer has been ready.
    fn longest_ready(&self, now: Millis) -> Millis {
        let live = self
            .peers
            .iter()
            .filter(|(name, peer)| peer.is_tracked && self.liveness.is_live(now, name));
        live.map(|(_, peer)| peer.ready_for(now)).max().unwrap_or_default()
    }

    /// Notes for how long a peer has been ready, as it tells.
    pub(crate) fn told(&mut self, now: Millis, heartbeat: &Heartbeat) {
        if let Some(peer) = self.peers.get_mut(&heartbeat.from) {
            peer.ready = Some((now, heartbeat.ready_for));
        }
    }

    /// Returns whether a peer is a coordinator of the view, or one of the first owners of a pool.
    pub(crate) fn is_tracked(&self, name: &id::Entry) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.is_tracked)
    }

    /// Returns whether this entry is a coordinator of the view.
    pub(crate) const fn is_coordinating(&self) -> bool {
        self.is_coordinator
    }

    /// Notes an answer of a peer, to whatever question.
    pub(crate) fn answered(&mut self, now: Millis, name: &id::Entry) {
        self.liveness.record_answer(now, name);
    }

    /// Notes when the check-in was sent that the control leader answered last. An answer of a leader
    /// on this host is none that came over its link.
    pub(crate) fn control_heard(&mut self, now: Millis, heard: Option<Millis>, leader: Where) {
        if self.control_heard != heard && leader == Where::Elsewhere {
            self.liveness.record_control_answer(now);
        }
        self.control_heard = heard;
    }

    /// Returns whether a connection may be tried beside the link on which a heartbeat was sent at
    /// `sent`, and marks that as done.
    ///
    /// The link may have gone silent only when nothing was answered since, and a process that refused
    /// a connection is not there.
    pub(crate) fn start_second(&mut self, now: Millis, name: &id::Entry, sent: Millis) -> bool {
        let evidence = self.liveness.evidence(now, name);
        if evidence.is_some_and(|evidence| evidence.is_refused)
            || self.liveness.has_answered(name, sent)
        {
            return false;
        }
        let Some(peer) = self.peers.get_mut(name) else { return false };
        if peer.second.is_some_and(|second| now.since(second) < SECOND_EVERY) {
            return false;
        }
        peer.second = Some(now);
        true
    }

    /// Notes that a connection to a peer could not be opened.
    pub(crate) fn failed(&mut self, now: Millis, name: &id::Entry, unreached: Unreached) {
        if unreached == Unreached::Refused {
            self.liveness.record_refusal(name);
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.failed = Some(now);
            if unreached == Unreached::Refused {
                peer.ready = None;
            }
        }
    }

    /// Returns whether a connection to a peer could not be opened a moment ago.
    pub(crate) fn has_failed(&self, now: Millis, name: &id::Entry) -> bool {
        let failed = self.peers.get(name).and_then(|peer| peer.failed);
        failed.is_some_and(|failed| now.since(failed) < OPENED_AGAIN_AFTER)
    }

    /// Returns the lock of whoever opens the link to a peer.
    pub(crate) fn opening(&self, name: &id::Entry) -> Option<Rc<Mutex<()>>> {
        self.peers.get(name).map(|peer| Rc::clone(&peer.opening))
    }

    /// Notes that this process did not run for a time before `now`.
    pub(crate) fn paused(&mut self, now: Millis, time: Millis) {
        self.liveness.record_pause(now, time);
    }

    /// Returns the peers whose verdict has changed since the last call, with what it rests on.
    pub(crate) fn verdicts(&mut self, now: Millis) -> Vec<(id::Entry, Evidence)> {
        let mut changed = Vec::new();
        for (name, peer) in self.peers.iter_mut().filter(|(_, peer)| peer.is_tracked) {
            let Some(evidence) = self.liveness.evidence(now, name) else { continue };
            if std::mem::replace(&mut peer.was_live, evidence.is_live) != evidence.is_live {
                changed.push((name.clone(), evidence));
            }
        }
        changed
    }

    /// Returns the signal that a peer is lost.
    pub(crate) fn lost(&self, name: &id::Entry) -> Option<Rc<Notify>> {
        self.peers.get(name).map(|peer| Rc::clone(&peer.lost))
    }

    /// Wakes the calls that wait for peers that are not live any more.
    pub(crate) fn wake_lost(&self, now: Millis) {
        for (name, peer) in &self.peers {
            if !self.is_live(now, name) {
                peer.lost.notify_waiters();
            }
        }
    }

    /// Returns the peers that are due for a heartbeat, and marks them as being asked.
    pub(crate) fn start_beats(&mut self, now: Millis) -> Vec<id::Entry> {
        let is_due = |peer: &Peer| {
            let waiting = peer.beats.iter().filter(|started| now.since(**started) < BEAT_TIME);
            peer.is_tracked && waiting.count() < BEATS_MAX
        };
        let due = self.peers.iter_mut().filter(|(_, peer)| is_due(peer));
        due.map(|(name, peer)| {
            peer.beats.push(now);
            name.clone()
        })
        .collect()
    }

    /// Notes that the heartbeat to a peer that started at this time ended.
    pub(crate) fn end_beat(&mut self, name: &id::Entry, started: Millis) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if let Some(position) = peer.beats.iter().position(|beat| *beat == started) {
            peer.beats.swap_remove(position);
        }
    }

    /// Takes over the answer to a heartbeat that was sent at `sent`. Answers to later heartbeats may
    /// have come before it, on another connection.
    pub(crate) fn heard(
        &mut self,
        now: Millis,
        name: &id::Entry,
        sent: Millis,
        answer: &Heartbeat,
    ) {
        self.liveness.record_answer(now, name);
        self.liveness.record_delay(name, now.since(sent));
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.heard <= Some(sent) {
            peer.heard = Some(sent);
            peer.revision = answer.revision;
            peer.is_confirmed = answer.is_confirmed;
        }
    }

    /// Returns the open link to a peer.
    pub(crate) fn link(&self, name: &id::Entry) -> Option<Arc<WsClient>> {
        let client = self.peers.get(name)?.client.as_ref()?;
        client.is_connected().then(|| Arc::clone(client))
    }

    /// Returns the address of a peer.
    pub(crate) fn address(&self, name: &id::Entry) -> Option<String> {
        self.peers.get(name).map(|peer| peer.address.clone())
    }

    /// Sets the link to a peer.
    pub(crate) fn set_link(&mut self, name: &id::Entry, client: Arc<WsClient>) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.client = Some(client);
            peer.failed = None;
        }
    }

    /// Returns the revisions in force at the peers that were heard of late.
    pub(crate) fn known(&self, now: Millis) -> Vec<(id::Entry, id::Revision)> {
        let heard = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.heard.is_some_and(|heard| now.since(heard) < HEARD_FOR));
        heard.map(|(name, peer)| (name.clone(), peer.revision)).collect()
    }

    /// Returns the moment at which most coordinators of the view, this entry included, had been heard,
    /// and the highest revision among the peers. Only those count that a leader confirmed.
    pub(crate) fn majority(&self, now: Millis) -> Option<(Millis, id::Revision)> {
        let coordinators = || self.peers.values().filter(|peer| peer.is_coordinator);
        let confirmed = coordinators().filter(|peer| peer.is_confirmed);
        let mut heard: Vec<_> = confirmed.filter_map(|peer| peer.heard).collect();
        if self.is_coordinator {
            heard.push(now);
        }
        heard.sort_unstable_by(|left, right| right.cmp(left));
        // The entry itself is not among the peers.
        let count = coordinators().count() + usize::from(self.is_coordinator);
        let needed = count / 2 + 1;
        let at = *heard.get(needed - 1)?;
        let revision = self.peers.values().map(|peer| peer.revision).max().unwrap_or_default();
        Some((at, revision))
    }
}
