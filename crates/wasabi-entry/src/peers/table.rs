//! State of the other entries of the view.

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

use crate::control::client::ConnectError;

/// Delay before a connection is tried again after it failed.
const RECONNECT_DELAY: Millis = Millis(100);

/// Maximum number of unanswered heartbeats to a peer among those sent within [`HEARTBEAT_TIMEOUT`].
const HEARTBEATS_IN_FLIGHT_MAX: usize = 3;

/// Time after which an unanswered heartbeat no longer blocks further ones, so that a peer that
/// recovers is detected soon.
const HEARTBEAT_TIMEOUT: Millis = Millis::from_secs(2);

/// Minimum time between two second connections to a peer. A peer that answers every heartbeat late
/// would otherwise get each of them twice.
const SECOND_CONNECTION_INTERVAL: Millis = Millis::from_secs(2);

/// Time for which a heartbeat answer of a peer is reported to control.
const HEARTBEAT_VALIDITY: Millis = Millis::from_secs(2);

/// Owners of a pool, in rendezvous order, with which heartbeats are exchanged: when the first two are
/// down, the third takes over.
const TRACKED_OWNERS: usize = 3;

/// One other entry.
#[derive(Debug)]
struct Peer {
    address: String,
    /// The start of its process.
    started: Millis,
    client: Option<Arc<WsClient>>,
    /// Held while a connection is opened, so that concurrent callers wait for it.
    connect_lock: Rc<Mutex<()>>,
    /// When a connection last could not be opened.
    failed: Option<Millis>,
    /// When the last heartbeat that it answered was sent.
    heard: Option<Millis>,
    revision: id::Revision,
    /// Whether a leader confirmed its configuration.
    is_confirmed: bool,
    /// When it last reported how long it has been ready, and that time; none for a process that is down
    /// or has not reported yet.
    ready: Option<(Millis, Millis)>,
    lost: Rc<Notify>,
    /// When the unanswered heartbeats were started.
    heartbeats: Vec<Millis>,
    /// When a second connection was last opened.
    second_connection: Option<Millis>,
    /// Whether it counts for the majority with which this entry serves without control.
    is_coordinator: bool,
    /// Whether heartbeats are exchanged with it. The others are known only from the view.
    is_tracked: bool,
    /// Whether it was live when the verdicts were last compared.
    was_live: bool,
}

impl Peer {
    /// Returns how long it has been ready.
    fn ready_for(&self, now: Millis) -> Millis {
        match self.ready {
            Some((reported, time)) if time != Millis::ZERO => time + now.since(reported),
            _ => Millis::ZERO,
        }
    }
}

/// The host on which a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostLocation {
    /// On this host.
    Same,
    /// On another host, or on an unknown one.
    Other,
}

impl HostLocation {
    /// Returns the host of the process with the address `other`, seen from the one with the address
    /// `own`. A shared loopback address counts as another host, since no network link is involved that
    /// could fail.
    pub(crate) fn of(own: &str, other: &str) -> Self {
        let host = |address: &str| address.parse::<SocketAddr>().ok().map(|address| address.ip());
        match (host(own), host(other)) {
            (Some(own), Some(other)) if own == other && !own.is_loopback() => Self::Same,
            _ => Self::Other,
        }
    }
}

/// The other entries of the view.
#[derive(Debug, Default)]
pub(crate) struct Table {
    peers: HashMap<id::Entry, Peer>,
    liveness: liveness::Table,
    /// When the last check-in was sent that the control leader answered.
    answered_checkin: Option<Millis>,
    /// Whether this entry is a coordinator.
    is_coordinator: bool,
}

impl Table {
    /// Applies a view and returns the entries that left it or whose process was restarted.
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
        let removed: Vec<_> = self
            .peers
            .iter()
            .filter(|(name, peer)| !is_same(name, peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &removed {
            self.liveness.unwatch(name);
            if let Some(peer) = self.peers.remove(name) {
                peer.lost.notify_waiters();
            }
        }
        let coordinators: Vec<_> =
            rendezvous::coordinators(view).into_iter().map(|entry| &entry.name).collect();
        self.is_coordinator = coordinators.contains(&own);
        let owners =
            pools.flat_map(|pool| rendezvous::owners(pool, view).into_iter().take(TRACKED_OWNERS));
        let owners: HashSet<_> = owners.map(|entry| &entry.name).collect();
        for entry in view.entries.iter().filter(|entry| entry.name != *own) {
            let peer = self.peers.entry(entry.name.clone()).or_insert_with(|| Peer {
                address: entry.peer_address.clone(),
                started: entry.started,
                client: None,
                connect_lock: Rc::default(),
                failed: None,
                heard: None,
                revision: id::Revision::default(),
                is_confirmed: false,
                ready: None,
                lost: Rc::default(),
                heartbeats: Vec::new(),
                second_connection: None,
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
        removed
    }

    /// Returns whether a peer is live.
    pub(crate) fn is_live(&self, now: Millis, name: &id::Entry) -> bool {
        self.peers.contains_key(name) && self.liveness.is_live(now, name)
    }

    /// Returns whether an entry may own pools and budgets; `own` is this entry's name and how long it
    /// has been ready.
    ///
    /// Peers without an exchange of heartbeats are known only from the view, so they may own if they
    /// are live.
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

    /// Returns the longest readiness of the live peers.
    fn longest_ready(&self, now: Millis) -> Millis {
        let live = self
            .peers
            .iter()
            .filter(|(name, peer)| peer.is_tracked && self.liveness.is_live(now, name));
        live.map(|(_, peer)| peer.ready_for(now)).max().unwrap_or_default()
    }

    /// Records how long a peer reports that it has been ready.
    pub(crate) fn record_readiness(&mut self, now: Millis, heartbeat: &Heartbeat) {
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

    /// Records an answer of a peer to any call.
    pub(crate) fn record_answer(&mut self, now: Millis, name: &id::Entry) {
        self.liveness.record_answer(now, name);
    }

    /// Records when the last check-in was sent that the control leader answered. An answer of a leader
    /// on this host is not counted, since it did not come over the network.
    pub(crate) fn record_control_answer(
        &mut self,
        now: Millis,
        heard: Option<Millis>,
        leader: HostLocation,
    ) {
        if self.answered_checkin != heard && leader == HostLocation::Other {
            self.liveness.record_control_answer(now);
        }
        self.answered_checkin = heard;
    }

    /// Returns whether a second connection may be opened for a heartbeat that was sent on the link at
    /// `sent`, and records that it is.
    ///
    /// That is useless when the peer has answered since, so that its link works, and when its address
    /// refused a connection, so that no process runs there.
    pub(crate) fn start_second_connection(
        &mut self,
        now: Millis,
        name: &id::Entry,
        sent: Millis,
    ) -> bool {
        let evidence = self.liveness.evidence(now, name);
        if evidence.is_some_and(|evidence| evidence.is_refused)
            || self.liveness.has_answered(name, sent)
        {
            return false;
        }
        let Some(peer) = self.peers.get_mut(name) else { return false };
        if peer
            .second_connection
            .is_some_and(|second| now.since(second) < SECOND_CONNECTION_INTERVAL)
        {
            return false;
        }
        peer.second_connection = Some(now);
        true
    }

    /// Records that a connection to a peer could not be opened.
    pub(crate) fn record_connect_failure(
        &mut self,
        now: Millis,
        name: &id::Entry,
        error: ConnectError,
    ) {
        if error == ConnectError::Refused {
            self.liveness.record_refusal(name);
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.failed = Some(now);
            if error == ConnectError::Refused {
                peer.ready = None;
            }
        }
    }

    /// Returns whether the last connection attempt to a peer failed less than [`RECONNECT_DELAY`] ago.
    pub(crate) fn failed_recently(&self, now: Millis, name: &id::Entry) -> bool {
        let failed = self.peers.get(name).and_then(|peer| peer.failed);
        failed.is_some_and(|failed| now.since(failed) < RECONNECT_DELAY)
    }

    /// Returns the lock that is held while the link to a peer is opened.
    pub(crate) fn connect_lock(&self, name: &id::Entry) -> Option<Rc<Mutex<()>>> {
        self.peers.get(name).map(|peer| Rc::clone(&peer.connect_lock))
    }

    /// Records that this process was paused for `time` before `now`.
    pub(crate) fn record_pause(&mut self, now: Millis, time: Millis) {
        self.liveness.record_pause(now, time);
    }

    /// Returns the peers whose verdict has changed since the last call, with the evidence for it.
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

    /// Returns the signal that notifies of the loss of a peer.
    pub(crate) fn lost_signal(&self, name: &id::Entry) -> Option<Rc<Notify>> {
        self.peers.get(name).map(|peer| Rc::clone(&peer.lost))
    }

    /// Wakes the calls that wait for peers that are no longer live.
    pub(crate) fn notify_lost(&self, now: Millis) {
        for (name, peer) in &self.peers {
            if !self.is_live(now, name) {
                peer.lost.notify_waiters();
            }
        }
    }

    /// Starts a heartbeat to each peer that is due for one, and returns these peers.
    pub(crate) fn start_heartbeats(&mut self, now: Millis) -> Vec<id::Entry> {
        let is_due = |peer: &Peer| {
            let waiting =
                peer.heartbeats.iter().filter(|started| now.since(**started) < HEARTBEAT_TIMEOUT);
            peer.is_tracked && waiting.count() < HEARTBEATS_IN_FLIGHT_MAX
        };
        let due = self.peers.iter_mut().filter(|(_, peer)| is_due(peer));
        due.map(|(name, peer)| {
            peer.heartbeats.push(now);
            name.clone()
        })
        .collect()
    }

    /// Removes the heartbeat to a peer that was started at this time.
    pub(crate) fn end_heartbeat(&mut self, name: &id::Entry, started: Millis) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if let Some(position) = peer.heartbeats.iter().position(|beat| *beat == started) {
            peer.heartbeats.swap_remove(position);
        }
    }

    /// Records the answer to a heartbeat that was sent at `sent`. Answers to later heartbeats may have
    /// arrived before it, on another connection.
    pub(crate) fn record_heartbeat(
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

    /// Returns the revisions in force at the peers that answered a recent heartbeat.
    pub(crate) fn known_revisions(&self, now: Millis) -> Vec<(id::Entry, id::Revision)> {
        let heard = self.peers.iter().filter(|(_, peer)| {
            peer.heard.is_some_and(|heard| now.since(heard) < HEARTBEAT_VALIDITY)
        });
        heard.map(|(name, peer)| (name.clone(), peer.revision)).collect()
    }

    /// Returns the latest time since which a majority of the coordinators of the view, this entry
    /// included, has answered, and the highest revision among the peers. Only peers that a leader
    /// confirmed count for the majority.
    pub(crate) fn majority_heard(&self, now: Millis) -> Option<(Millis, id::Revision)> {
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
