//! One of the two connections to another member, for small messages or for bulk.
//!
//! A connection that has answered nothing for a while is not ended: another one is tried beside it,
//! and takes its place only when it answers first. A late answer on the first one ends the trial.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use futures_util::{
    FutureExt as _, StreamExt as _, future::LocalBoxFuture, stream::FuturesUnordered,
};
use jsonrpsee::{
    core::client::{ClientT as _, Error},
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use tokio::sync::mpsc;
use tracing::{debug, info};
use wasabi_protocol::{
    clock::{Clock, Millis},
    id,
    rpc::{Part, Step, method},
};

use crate::{
    answers::Answers,
    metrics::{Cause, Kind, Metrics},
    window::{Size, Window},
};

/// Time between two trials of a connection, in milliseconds.
const TRY_EVERY: Millis = Millis(300);

/// Longest time until a connection is open. It is bounded by the number of trials at one time alone,
/// since a member that is slow takes its time.
const OPEN_TIME: Duration = Duration::from_millis(2_400);

/// Most connections that are tried at one time: as many as begin within [`OPEN_TIME`].
const TRIALS_MAX: usize = 8;

/// Pause after a connection was refused, in milliseconds.
const PAUSE: Millis = Millis(100);

/// Age from which on a small message is dropped before it is sent, in milliseconds: after the shortest
/// election timeout it is out of date, and the consensus node sends what it still needs again.
const SMALL_FOR: Millis = Millis(600);

/// Longest time for what waits when no more comes, in milliseconds.
const END_TIME: Millis = Millis(300);

/// A time that no request takes, since connections without an answer are replaced before.
const REQUEST_TIME: Duration = Duration::from_secs(60);

/// Time between two updates of the metrics, in milliseconds.
const SHOW_EVERY: Millis = Millis(100);

/// Most pieces that wait in a lane itself; further batches wait in its channel.
const WAITING_MAX: usize = 64;

/// What every request to one member holds.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) from: id::Member,
    pub(crate) address: String,
    pub(crate) proofs: Vec<String>,
    pub(crate) to: id::Member,
}

/// The messages of one request, or a part of them.
#[derive(Debug)]
pub(crate) struct Piece {
    pub(crate) part: Option<Part>,
    pub(crate) bytes: Bytes,
    pub(crate) queued: Millis,
    /// The term in which this member led, for bulk.
    pub(crate) term: u64,
    /// Keeps the first index of the entries noted until the piece is answered or dropped.
    pub(crate) _place: Option<Place>,
}

/// The first indexes of entries that are under way in a lane, with the number of their pieces.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnderWay {
    first: Rc<RefCell<BTreeMap<u64, usize>>>,
}

impl UnderWay {
    /// Returns the lowest index.
    pub(crate) fn lowest(&self) -> Option<u64> {
        self.first.borrow().keys().next().copied()
    }

    /// Notes a piece.
    pub(crate) fn add(&self, index: u64) -> Place {
        *self.first.borrow_mut().entry(index).or_default() += 1;
        Place { index, under_way: self.clone() }
    }
}

/// A piece of entries that is under way until this is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    index: u64,
    under_way: UnderWay,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut first = self.under_way.first.borrow_mut();
        if let Some(count) = first.get_mut(&self.index) {
            *count -= 1;
            if *count == 0 {
                first.remove(&self.index);
            }
        }
    }
}

/// What a lane is for and where it leads.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) kind: Kind,
    pub(crate) head: Rc<Head>,
    /// The member's address.
    pub(crate) address: String,
    pub(crate) clock: Clock,
    pub(crate) answers: Answers,
    pub(crate) metrics: Metrics,
    /// The highest term in which this member led. Bulk of an earlier one is void.
    pub(crate) term: Rc<Cell<u64>>,
}

/// The answer to the request with this number.
type Answer = LocalBoxFuture<'static, (u64, Result<(), Error>)>;

/// A connection that is being tried.
type Trial = LocalBoxFuture<'static, Result<WsClient, Error>>;

/// Serves a lane until no more comes for it.
pub(crate) async fn serve(lane: Lane, batches: mpsc::Receiver<Vec<Piece>>) {
    let now = lane.clock.now();
    let size = match lane.kind {
        Kind::Small => Size::Fixed,
        Kind::Bulk => Size::Adaptive,
    };
    let connection = Connection {
        lane,
        client: None,
        window: Window::new(size, now),
        waiting: VecDeque::new(),
        unanswered: BTreeMap::new(),
        next_number: 0,
        open: FuturesUnordered::new(),
        trials: FuturesUnordered::new(),
        next_trial: now,
        last: String::new(),
        shown: now,
    };
    connection.run(batches).await;
}

/// A lane with its connection and what is under way on it.
struct Connection {
    lane: Lane,
    client: Option<Rc<WsClient>>,
    window: Window,
    waiting: VecDeque<Piece>,
    /// What was sent on the connection, with the time, in order.
    unanswered: BTreeMap<u64, (Piece, Millis)>,
    next_number: u64,
    open: FuturesUnordered<Answer>,
    trials: FuturesUnordered<Trial>,
    /// When the next connection may be tried.
    next_trial: Millis,
    /// Why the last connection was replaced. A member that is gone fails in the same way again.
    last: String,
    /// When the metrics were brought up to date.
    shown: Millis,
}

impl Connection {
    async fn run(mut self, mut batches: mpsc::Receiver<Vec<Piece>>) {
        let mut closed: Option<Millis> = None;
        loop {
            let now = self.lane.clock.now();
            self.send(now);
            self.try_connections(now);
            let wait = self.wake(now).duration();
            let is_done = self.waiting.is_empty() && self.unanswered.is_empty();
            if closed.is_some_and(|since| is_done || since + END_TIME <= now) {
                return;
            }
            tokio::select! {
                batch = batches.recv(), if closed.is_none() && self.waiting.len() < WAITING_MAX => {
                    match batch {
                        Some(batch) => self.waiting.extend(batch),
                        None => closed = Some(now),
                    }
                }
                Some((number, answer)) = self.open.next() => self.take_answer(number, answer),
                Some(opened) = self.trials.next() => self.take_trial(opened),
                () = actix_rt::time::sleep(wait) => {}
            }
        }
    }

    /// Returns the time until a connection may have to be tried, in milliseconds.
    fn wake(&self, now: Millis) -> Millis {
        let silent = self.client.as_ref().map(|_| self.window.trial_in(now));
        silent.unwrap_or_default().max(self.next_trial.since(now)).max(Millis(1))
    }

    /// Sends what waits as far as the window permits.
    fn send(&mut self, now: Millis) {
        let (kind, term) = (self.lane.kind, self.lane.term.get());
        self.waiting.retain(|piece| match kind {
            Kind::Small => now.since(piece.queued) < SMALL_FOR,
            Kind::Bulk => term <= piece.term,
        });
        while let Some(client) = &self.client
            && let Some(piece) =
                self.waiting.pop_front_if(|piece| self.window.has_room(piece.bytes.len()))
        {
            let step = self.lane.head.step(&piece);
            let (number, client) = (self.next_number, Rc::clone(client));
            self.next_number += 1;
            self.window.send(now, piece.bytes.len());
            self.unanswered.insert(number, (piece, now));
            let answer = async move {
                let answer = client.request::<(), _>(method::CONSENSUS, rpc_params![step]).await;
                (number, answer)
            };
            self.open.push(answer.boxed_local());
        }
        self.show(now);
    }

    /// Tries a connection when there is none, or when the present one is silent.
    fn try_connections(&mut self, now: Millis) {
        if self.client.is_some() && Millis::ZERO < self.window.trial_in(now) {
            self.trials.clear();
            return;
        }
        if now < self.next_trial {
            return;
        }
        if TRIALS_MAX <= self.trials.len() {
            self.next_trial = now + PAUSE;
            return;
        }
        self.next_trial = now + TRY_EVERY;
        let url = format!("ws://{}", self.lane.address);
        let trial = async move {
            WsClientBuilder::default()
                .connection_timeout(OPEN_TIME)
                .request_timeout(REQUEST_TIME)
                .build(&url)
                .await
        };
        self.trials.push(trial.boxed_local());
    }

    fn take_answer(&mut self, number: u64, answer: Result<(), Error>) {
        let now = self.lane.clock.now();
        let Some((piece, sent)) = self.unanswered.remove(&number) else { return };
        match answer {
            Ok(()) => self.lane.answers.answered(&self.lane.head.to),
            // Another process answers at the address, or this one could not read the messages.
            Err(Error::Call(error)) => self.say("a member refused messages", &error.to_string()),
            Err(error) => {
                // The process has ended in most cases, and what it had of a message with it.
                self.lane.metrics.count_replaced(self.lane.kind, Cause::Broken);
                self.say("a connection broke", &error.to_string());
                self.use_client(now, None);
                self.unanswered.clear();
                self.waiting.clear();
                return;
            }
        }
        self.window.answer(now, piece.bytes.len(), sent);
    }

    fn take_trial(&mut self, opened: Result<WsClient, Error>) {
        let now = self.lane.clock.now();
        match opened {
            Ok(client) => {
                if self.client.is_some() {
                    self.lane.metrics.count_replaced(self.lane.kind, Cause::Silent);
                    info!(
                        to = %self.lane.head.to, address = self.lane.address, kind = ?self.lane.kind,
                        silent_ms = self.window.silent(now).0, unanswered = self.unanswered.len(),
                        "a second connection answered first; it replaces a silent one"
                    );
                }
                self.use_client(now, Some(client));
            }
            Err(error) => {
                self.next_trial = self.next_trial.min(now + PAUSE);
                self.say("a connection cannot be opened", &error.to_string());
            }
        }
    }

    /// Goes on with another connection. Bulk without an answer is sent again on it; small messages are
    /// out of date.
    fn use_client(&mut self, now: Millis, client: Option<WsClient>) {
        self.client = client.map(Rc::new);
        self.window.renew(now);
        self.open.clear();
        self.trials.clear();
        self.next_trial = self.next_trial.max(now);
        let unanswered = std::mem::take(&mut self.unanswered).into_values();
        if self.lane.kind == Kind::Bulk {
            for (piece, _) in unanswered.rev() {
                self.waiting.push_front(piece);
            }
        }
    }

    fn say(&mut self, what: &'static str, error: &str) {
        let (to, address, kind) = (&self.lane.head.to, &self.lane.address, self.lane.kind);
        if error == self.last {
            debug!(%to, address, ?kind, error, "{what}");
            return;
        }
        info!(%to, address, ?kind, error, "{what}");
        error.clone_into(&mut self.last);
    }

    /// Brings the metrics up to date.
    fn show(&mut self, now: Millis) {
        if now < self.shown + SHOW_EVERY {
            return;
        }
        self.shown = now;
        let sent = self.unanswered.values().map(|(piece, _)| piece.bytes.len());
        let waiting = self.waiting.iter().map(|piece| piece.bytes.len());
        let oldest =
            self.unanswered.values().next().map_or(Millis::ZERO, |(_, sent)| now.since(*sent));
        let member = &self.lane.head.to;
        self.lane.metrics.show_lane(member, self.lane.kind, sent.chain(waiting).sum(), oldest);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.lane.metrics.forget_lane(&self.lane.head.to, self.lane.kind);
    }
}

impl Head {
    fn step(&self, piece: &Piece) -> Step {
        Step {
            from: self.from.clone(),
            address: self.address.clone(),
            proofs: self.proofs.clone(),
            to: self.to.clone(),
            part: piece.part,
            messages: STANDARD.encode(&piece.bytes),
        }
    }
}
