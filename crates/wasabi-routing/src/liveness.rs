//! Failure detection: which peers are live, as one observer sees them.
//!
//! A peer that answered recently is live, however late the answer was. A peer that is silent for
//! longer than its usual delay explains is lost, unless most of the watched peers are silent: then the
//! observer's own link or CPU may be the cause, and silence alone does not count. An answer from the
//! control leader after the peer's timeout shows that the observer is not the cause. A refused
//! connection proves that no process is running.

use std::collections::HashMap;

use wasabi_protocol::{clock::Millis, id};

/// Silence after which a peer that usually answers quickly counts as lost.
pub const SILENCE_TIMEOUT_MIN: Millis = Millis::from_secs(1);

/// Silence after which any peer counts as lost, however late its answers usually are.
pub const SILENCE_TIMEOUT_MAX: Millis = Millis::from_secs(4);

/// Interval between heartbeats to a watched peer.
pub const HEARTBEAT_INTERVAL: Millis = Millis(500);

/// Divisor of the difference by which the delay estimate falls with a sample. It rises by half of the
/// difference, so that a peer that slows down is not lost before its new delay is known.
const DELAY_DECAY_DIVISOR: u64 = 8;

/// Time over which pauses of the observer are added up.
const PAUSE_WINDOW: Millis = Millis::from_secs(5);

/// Most time that is excused for the pauses that follow a first one within [`PAUSE_WINDOW`].
/// Otherwise an observer that is always slow would never detect a frozen peer.
const EXCUSED_MAX: Millis = Millis::from_secs(1);

/// The state of a peer, with the values that it is derived from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Whether the peer counts as live.
    pub is_live: bool,
    /// Time since the last answer, without excused pauses of the observer, in milliseconds.
    pub silence: Millis,
    /// Silence after which the peer counts as lost, from the usual delay of its answers.
    pub timeout: Millis,
    /// Whether the peer's address has refused a connection since the last answer.
    pub is_refused: bool,
    /// Number of watched peers that have not refused a connection.
    pub watched: usize,
    /// Number of these peers whose silence is within their timeout.
    pub answering: usize,
    /// Whether the control leader has answered after the peer's timeout.
    pub is_control_reachable: bool,
}

/// One watched peer.
#[derive(Debug, Clone, Copy)]
struct Peer {
    /// Time of the last answer on any connection, or of the start of the watch.
    answered: Millis,
    /// Estimated time between a heartbeat and its answer.
    delay: Millis,
    is_refused: bool,
}

impl Peer {
    fn new(now: Millis) -> Self {
        Self { answered: now, delay: Millis::ZERO, is_refused: false }
    }

    /// Returns the silence after which the peer counts as lost. Answers that take up to twice the
    /// usual delay are at most that time plus one heartbeat interval apart.
    fn timeout(&self) -> Millis {
        (self.delay + self.delay + HEARTBEAT_INTERVAL)
            .clamp(SILENCE_TIMEOUT_MIN, SILENCE_TIMEOUT_MAX)
    }

    fn is_silent(&self, now: Millis) -> bool {
        self.timeout() <= now.since(self.answered)
    }
}

/// Recent pauses of the observer.
#[derive(Debug, Clone, Copy)]
struct Pauses {
    /// The end of the first pause, which was excused completely.
    first: Millis,
    /// Time excused for the pauses after it.
    excused: Millis,
}

/// The answers of the watched peers.
#[derive(Debug, Clone, Default)]
pub struct Table {
    peers: HashMap<id::Entry, Peer>,
    /// Time of the last answer from the control leader.
    control: Option<Millis>,
    pauses: Option<Pauses>,
}

impl Table {
    /// Starts to watch a peer, unless it is already watched. It counts as live until its timeout has
    /// passed for the first time.
    pub fn watch(&mut self, now: Millis, name: &id::Entry) {
        if !self.peers.contains_key(name) {
            self.peers.insert(name.clone(), Peer::new(now));
        }
    }

    /// Stops watching a peer.
    pub fn unwatch(&mut self, name: &id::Entry) {
        self.peers.remove(name);
    }

    /// Records an answer from a peer to any request, on any connection.
    pub fn record_answer(&mut self, now: Millis, name: &id::Entry) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.answered = peer.answered.max(now);
            peer.is_refused = false;
        }
    }

    /// Updates the delay estimate with the time that a peer took to answer a heartbeat.
    pub fn record_delay(&mut self, name: &id::Entry, delay: Millis) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let delay = delay.min(SILENCE_TIMEOUT_MAX);
        peer.delay = if peer.delay < delay {
            Millis((peer.delay + delay).0.div_ceil(2))
        } else {
            Millis(peer.delay.0 - (peer.delay - delay).0.div_ceil(DELAY_DECAY_DIVISOR))
        };
    }

    /// Returns whether a peer has answered any request after `since`.
    pub fn has_answered(&self, name: &id::Entry, since: Millis) -> bool {
        self.peers.get(name).is_some_and(|peer| since < peer.answered)
    }

    /// Records that a peer's address refuses connections.
    pub fn record_refusal(&mut self, name: &id::Entry) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_refused = true;
        }
    }

    /// Records an answer from the control leader on another host, which shows that the observer's link
    /// works.
    pub fn record_control_answer(&mut self, now: Millis) {
        self.control = Some(now);
    }

    /// Records that the observer did not run for `time` before `now`. Excused time does not count as
    /// silence of the peers.
    pub fn record_pause(&mut self, now: Millis, time: Millis) {
        let time = self.excuse(now, time);
        for peer in self.peers.values_mut() {
            peer.answered = (peer.answered + time).min(now);
        }
    }

    /// Returns whether a peer counts as live. A peer that is not watched always does; its state is only
    /// known from the view.
    pub fn is_live(&self, now: Millis, name: &id::Entry) -> bool {
        self.evidence(now, name).is_none_or(|evidence| evidence.is_live)
    }

    /// Returns the state of a watched peer.
    pub fn evidence(&self, now: Millis, name: &id::Entry) -> Option<Evidence> {
        let peer = self.peers.get(name)?;
        let silence = now.since(peer.answered);
        let running = || self.peers.values().filter(|other| !other.is_refused);
        let watched = running().count();
        let answering = running().filter(|other| !other.is_silent(now)).count();
        // When fewer than half of the watched peers and the observer together are responsive, the
        // observer may be the one that is partitioned.
        let is_control_reachable =
            self.control.is_some_and(|control| peer.answered + peer.timeout() <= control);
        let is_conclusive = is_control_reachable || watched < (answering + 1) * 2;
        let is_refused = peer.is_refused;
        let is_live = !is_refused && (!peer.is_silent(now) || !is_conclusive);
        let timeout = peer.timeout();
        Some(Evidence {
            is_live,
            silence,
            timeout,
            is_refused,
            watched,
            answering,
            is_control_reachable,
        })
    }

    /// Returns how much of a pause is excused: a first one completely, later ones up to
    /// [`EXCUSED_MAX`].
    fn excuse(&mut self, now: Millis, time: Millis) -> Millis {
        let pauses = self.pauses.filter(|pauses| now.since(pauses.first) < PAUSE_WINDOW);
        let Some(mut pauses) = pauses else {
            self.pauses = Some(Pauses { first: now, excused: Millis::ZERO });
            return time;
        };
        let time = time.min(EXCUSED_MAX - pauses.excused);
        pauses.excused = pauses.excused + time;
        self.pauses = Some(pauses);
        time
    }
}
