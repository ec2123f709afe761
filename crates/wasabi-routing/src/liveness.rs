//! Which peers take part: judged by their answers, and only by a judge that hears others.
//!
//! A peer that answered anything a moment ago is live, however late the answer was. One that is
//! silent for longer than its usual delay explains is lost, unless most of the watched peers are
//! silent to the judge: then its own link or processor may be at fault, and it gives no verdict. An
//! answer of the control leader after the peer's time had passed proves that they are not. A refused
//! connection proves that no process is there.

use std::collections::HashMap;

use wasabi_protocol::{clock::Millis, id};

/// Silence after which a peer that answered quickly counts as lost.
pub const SILENCE_TIMEOUT_MIN: Millis = Millis::from_secs(1);

/// Silence after which any peer counts as lost, however late its answers were.
pub const SILENCE_TIMEOUT_MAX: Millis = Millis::from_secs(4);

/// Time between two heartbeats to a watched peer.
pub const HEARTBEAT_INTERVAL: Millis = Millis(500);

/// Divisor of the step down to a smaller delay. The step up is half of the difference, so that a
/// peer that slows down is not lost before its delay is known.
const STEP_DOWN: u64 = 8;

/// Time over which pauses of the judge are summed up.
const PAUSES_OVER: Millis = Millis::from_secs(5);

/// Most time that is forgiven for the pauses that follow a first one within [`PAUSES_OVER`]. A judge
/// that is always slow would otherwise never find a frozen peer.
const FORGIVEN_MAX: Millis = Millis::from_secs(1);

/// What a verdict on a peer rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Whether the peer counts as live.
    pub is_live: bool,
    /// Time since its last answer, without the time in which the judge did not run, in milliseconds.
    pub silence: Millis,
    /// Silence after which it counts as lost, by the usual delay of its answers.
    pub timeout: Millis,
    /// Whether its address took no connection since.
    pub is_refused: bool,
    /// Watched peers whose processes may run.
    pub watched: usize,
    /// Those of them that are not silent for longer than they may be.
    pub answering: usize,
    /// Whether the control leader answered since the peer's time had passed.
    pub is_control_reachable: bool,
}

/// One watched peer.
#[derive(Debug, Clone, Copy)]
struct Peer {
    /// The last answer on any connection, or when it was first watched.
    answered: Millis,
    /// The usual time between a heartbeat and its answer.
    delay: Millis,
    is_refused: bool,
}

impl Peer {
    fn new(now: Millis) -> Self {
        Self { answered: now, delay: Millis::ZERO, is_refused: false }
    }

    /// Returns the silence after which it counts as lost. Answers that take between nothing and
    /// twice the usual delay are at most that long and one heartbeat apart.
    fn timeout(&self) -> Millis {
        (self.delay + self.delay + HEARTBEAT_INTERVAL)
            .clamp(SILENCE_TIMEOUT_MIN, SILENCE_TIMEOUT_MAX)
    }

    fn is_silent(&self, now: Millis) -> bool {
        self.timeout() <= now.since(self.answered)
    }
}

/// Pauses of the judge.
#[derive(Debug, Clone, Copy)]
struct Pauses {
    /// The end of the first one, which was forgiven as a whole.
    first: Millis,
    /// What was forgiven of those after it.
    forgiven: Millis,
}

/// The answers of the watched peers.
#[derive(Debug, Clone, Default)]
pub struct Table {
    peers: HashMap<id::Entry, Peer>,
    /// The last answer of the control leader.
    control: Option<Millis>,
    pauses: Option<Pauses>,
}

impl Table {
    /// Watches a peer from `now` on, unless it is watched already. It counts as live for a while,
    /// since nothing can have been answered before.
    pub fn watch(&mut self, now: Millis, name: &id::Entry) {
        if !self.peers.contains_key(name) {
            self.peers.insert(name.clone(), Peer::new(now));
        }
    }

    /// Watches a peer no longer.
    pub fn unwatch(&mut self, name: &id::Entry) {
        self.peers.remove(name);
    }

    /// Notes an answer of a peer, to whatever question and on whatever connection.
    pub fn record_answer(&mut self, now: Millis, name: &id::Entry) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.answered = peer.answered.max(now);
            peer.is_refused = false;
        }
    }

    /// Notes how long a peer took to answer a heartbeat.
    pub fn record_delay(&mut self, name: &id::Entry, delay: Millis) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let delay = delay.min(SILENCE_TIMEOUT_MAX);
        peer.delay = if peer.delay < delay {
            Millis((peer.delay + delay).0.div_ceil(2))
        } else {
            Millis(peer.delay.0 - (peer.delay - delay).0.div_ceil(STEP_DOWN))
        };
    }

    /// Returns whether a peer has answered anything after `since`.
    pub fn has_answered(&self, name: &id::Entry, since: Millis) -> bool {
        self.peers.get(name).is_some_and(|peer| since < peer.answered)
    }

    /// Notes that a peer's address takes no connection.
    pub fn record_refusal(&mut self, name: &id::Entry) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_refused = true;
        }
    }

    /// Notes an answer of the control leader on another host: the judge's link works.
    pub fn record_control_answer(&mut self, now: Millis) {
        self.control = Some(now);
    }

    /// Notes that the judge did not run for a time before `now`; silence does not count then.
    pub fn record_pause(&mut self, now: Millis, time: Millis) {
        let time = self.forgive(now, time);
        for peer in self.peers.values_mut() {
            peer.answered = (peer.answered + time).min(now);
        }
    }

    /// Returns whether a peer counts as live. Of peers that are not watched only the view tells.
    pub fn is_live(&self, now: Millis, name: &id::Entry) -> bool {
        self.evidence(now, name).is_none_or(|evidence| evidence.is_live)
    }

    /// Returns what the verdict on a watched peer rests on.
    pub fn evidence(&self, now: Millis, name: &id::Entry) -> Option<Evidence> {
        let peer = self.peers.get(name)?;
        let silence = now.since(peer.answered);
        let running = || self.peers.values().filter(|other| !other.is_refused);
        let watched = running().count();
        let answering = running().filter(|other| !other.is_silent(now)).count();
        // With fewer than half of them and the judge answering, it may be the one that is cut off.
        let is_control_reachable =
            self.control.is_some_and(|control| peer.answered + peer.timeout() <= control);
        let is_sure = is_control_reachable || watched < (answering + 1) * 2;
        let is_refused = peer.is_refused;
        let is_live = !is_refused && (!peer.is_silent(now) || !is_sure);
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

    /// Returns how much of a pause is forgiven: all of a single one, less of those that follow it.
    fn forgive(&mut self, now: Millis, time: Millis) -> Millis {
        let pauses = self.pauses.filter(|pauses| now.since(pauses.first) < PAUSES_OVER);
        let Some(mut pauses) = pauses else {
            self.pauses = Some(Pauses { first: now, forgiven: Millis::ZERO });
            return time;
        };
        let time = time.min(FORGIVEN_MAX - pauses.forgiven);
        pauses.forgiven = pauses.forgiven + time;
        self.pauses = Some(pauses);
        time
    }
}
