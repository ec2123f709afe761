//! A connection to another member, for either small messages or bulk.
//!
//! A connection that has stopped answering is not closed at once: a candidate is opened beside it,
//! and replaces it only if it connects before a late answer arrives on the first one.

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
    last_replies::SharedLastReplies,
    metrics::{Cause, Kind, Metrics},
    window::{Size, Window},
};

/// Time between the start of two candidate connections.
const CANDIDATE_INTERVAL: Millis = Millis(300);

/// Timeout of the connection handshake. Longer than the interval between candidates, since a slow
/// member may need the time; the load is bounded by the number of candidates.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Most simultaneous candidates: as many as are started within [`CONNECT_TIMEOUT`].
const CANDIDATES_MAX: usize = 8;

/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Millis = Millis(100);

/// Age from which on a small message is dropped before it is sent. After the shortest election
/// timeout it is outdated, and the consensus node resends what is still needed.
const SMALL_MAX_AGE: Millis = Millis(600);

/// Time to send queued messages after the queue is closed.
const DRAIN_TIMEOUT: Millis = Millis(300);

/// Request timeout that is never reached, since connections without answers are replaced earlier.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two updates of the metrics.
const METRICS_INTERVAL: Millis = Millis(100);

/// Most requests in the connection's own queue; further batches stay in its channel.
const WAITING_REQUESTS_MAX: usize = 64;

/// Fields that all requests to one member have in common.
#[derive(Debug)]
pub(crate) struct RequestHeader {
    pub(crate) from: id::Member,
    pub(crate) address: String,
    pub(crate) proofs: Vec<String>,
    pub(crate) to: id::Member,
}

/// The messages of one request, or a part of them.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) part: Option<Part>,
    pub(crate) bytes: Bytes,
    pub(crate) queued: Millis,
    /// The term in which this member led when it queued the request, for bulk.
    pub(crate) term: u64,
    /// Keeps the first entry index registered as in flight until the request is answered or
    /// dropped.
    pub(crate) _in_flight: Option<InFlightGuard>,
}

/// First indexes of entries in flight on a bulk connection, with the number of requests for each.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlightEntries {
    first: Rc<RefCell<BTreeMap<u64, usize>>>,
}

impl InFlightEntries {
    /// Returns the lowest index in flight.
    pub(crate) fn lowest(&self) -> Option<u64> {
        self.first.borrow().keys().next().copied()
    }

    /// Registers a request.
    pub(crate) fn add(&self, index: u64) -> InFlightGuard {
        *self.first.borrow_mut().entry(index).or_default() += 1;
        InFlightGuard { index, in_flight: self.clone() }
    }
}

/// Keeps an entry index registered as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    index: u64,
    in_flight: InFlightEntries,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut first = self.in_flight.first.borrow_mut();
        if let Some(count) = first.get_mut(&self.index) {
            *count -= 1;
            if *count == 0 {
                first.remove(&self.index);
            }
        }
    }
}

/// Configuration of a connection.
#[derive(Debug)]
pub(crate) struct ConnectionConfig {
    pub(crate) kind: Kind,
    pub(crate) header: Rc<RequestHeader>,
    /// The member's address.
    pub(crate) address: String,
    pub(crate) clock: Clock,
    pub(crate) last_replies: SharedLastReplies,
    pub(crate) metrics: Metrics,
    /// The highest term in which this member led. Bulk of an earlier term is discarded.
    pub(crate) term: Rc<Cell<u64>>,
}

/// The answer to the request with this number.
type Answer = LocalBoxFuture<'static, (u64, Result<(), Error>)>;

/// A pending candidate connection.
type Candidate = LocalBoxFuture<'static, Result<WsClient, Error>>;

/// Sends batches until the channel is closed.
pub(crate) async fn run(config: ConnectionConfig, batches: mpsc::Receiver<Vec<QueuedRequest>>) {
    let now = config.clock.now();
    let size = match config.kind {
        Kind::Small => Size::Fixed,
        Kind::Bulk => Size::Adaptive,
    };
    let connection = Connection {
        config,
        client: None,
        window: Window::new(size, now),
        waiting: VecDeque::new(),
        unanswered: BTreeMap::new(),
        next_number: 0,
        open: FuturesUnordered::new(),
        candidates: FuturesUnordered::new(),
        next_candidate: now,
        last_error: String::new(),
        metrics_updated: now,
    };
    connection.run(batches).await;
}

/// A connection with its queue and its requests in flight.
struct Connection {
    config: ConnectionConfig,
    client: Option<Rc<WsClient>>,
    window: Window,
    waiting: VecDeque<QueuedRequest>,
    /// Requests in flight with their send times, in order.
    unanswered: BTreeMap<u64, (QueuedRequest, Millis)>,
    next_number: u64,
    open: FuturesUnordered<Answer>,
    candidates: FuturesUnordered<Candidate>,
    /// When the next candidate may be opened.
    next_candidate: Millis,
    /// Error of the last failure. Repeated failures with the same error are logged at debug level.
    last_error: String,
    /// When the metrics were last updated.
    metrics_updated: Millis,
}

impl Connection {
    async fn run(mut self, mut batches: mpsc::Receiver<Vec<QueuedRequest>>) {
        let mut closed: Option<Millis> = None;
        loop {
            let now = self.config.clock.now();
            self.send(now);
            self.open_candidate(now);
            let wait = self.next_candidate_in(now).duration();
            let is_done = self.waiting.is_empty() && self.unanswered.is_empty();
            if closed.is_some_and(|since| is_done || since + DRAIN_TIMEOUT <= now) {
                return;
            }
            tokio::select! {
                batch = batches.recv(), if closed.is_none() && self.waiting.len() < WAITING_REQUESTS_MAX => {
                    match batch {
                        Some(batch) => self.waiting.extend(batch),
                        None => closed = Some(now),
                    }
                }
                Some((number, answer)) = self.open.next() => self.handle_answer(number, answer),
                Some(opened) = self.candidates.next() => self.handle_candidate(opened),
                () = actix_rt::time::sleep(wait) => {}
            }
        }
    }

    /// Returns the time until another candidate may be needed.
    fn next_candidate_in(&self, now: Millis) -> Millis {
        let silent = self.client.as_ref().map(|_| self.window.candidate_in(now));
        silent.unwrap_or_default().max(self.next_candidate.since(now)).max(Millis(1))
    }

    /// Sends queued requests as far as the window permits.
    fn send(&mut self, now: Millis) {
        let (kind, term) = (self.config.kind, self.config.term.get());
        self.waiting.retain(|request| match kind {
            Kind::Small => now.since(request.queued) < SMALL_MAX_AGE,
            Kind::Bulk => term <= request.term,
        });
        while let Some(client) = &self.client
            && let Some(request) =
                self.waiting.pop_front_if(|request| self.window.has_room(request.bytes.len()))
        {
            let step = self.config.header.step(&request);
            let (number, client) = (self.next_number, Rc::clone(client));
            self.next_number += 1;
            self.window.send(now, request.bytes.len());
            self.unanswered.insert(number, (request, now));
            let answer = async move {
                let answer = client.request::<(), _>(method::CONSENSUS, rpc_params![step]).await;
                (number, answer)
            };
            self.open.push(answer.boxed_local());
        }
        self.update_metrics(now);
    }

    /// Opens a candidate when there is no connection, or when the current one is silent.
    fn open_candidate(&mut self, now: Millis) {
        if self.client.is_some() && Millis::ZERO < self.window.candidate_in(now) {
            self.candidates.clear();
            return;
        }
        if now < self.next_candidate {
            return;
        }
        if CANDIDATES_MAX <= self.candidates.len() {
            self.next_candidate = now + RECONNECT_DELAY;
            return;
        }
        self.next_candidate = now + CANDIDATE_INTERVAL;
        let url = format!("ws://{}", self.config.address);
        let candidate = async move {
            WsClientBuilder::default()
                .connection_timeout(CONNECT_TIMEOUT)
                .request_timeout(REQUEST_TIMEOUT)
                .build(&url)
                .await
        };
        self.candidates.push(candidate.boxed_local());
    }

    fn handle_answer(&mut self, number: u64, answer: Result<(), Error>) {
        let now = self.config.clock.now();
        let Some((request, sent)) = self.unanswered.remove(&number) else { return };
        match answer {
            Ok(()) => self.config.last_replies.record_reply(&self.config.header.to),
            // Another process answers at the address, or the member could not decode the messages.
            Err(Error::Call(error)) => {
                self.log_failure("member rejected messages", &error.to_string())
            }
            Err(error) => {
                // The remote process has probably ended and lost any partially received messages.
                self.config.metrics.count_replaced(self.config.kind, Cause::Broken);
                self.log_failure("connection failed", &error.to_string());
                self.replace_client(now, None);
                self.unanswered.clear();
                self.waiting.clear();
                return;
            }
        }
        self.window.answer(now, request.bytes.len(), sent);
    }

    fn handle_candidate(&mut self, opened: Result<WsClient, Error>) {
        let now = self.config.clock.now();
        match opened {
            Ok(client) => {
                if self.client.is_some() {
                    self.config.metrics.count_replaced(self.config.kind, Cause::Silent);
                    info!(
                        to = %self.config.header.to, address = self.config.address, kind = ?self.config.kind,
                        silent_ms = self.window.silent(now).0, unanswered = self.unanswered.len(),
                        "replacing a silent connection by a candidate that connected first"
                    );
                }
                self.replace_client(now, Some(client));
            }
            Err(error) => {
                self.next_candidate = self.next_candidate.min(now + RECONNECT_DELAY);
                self.log_failure("cannot open a connection", &error.to_string());
            }
        }
    }

    /// Switches to another connection. Unanswered bulk is sent again on it; small messages are
    /// outdated.
    fn replace_client(&mut self, now: Millis, client: Option<WsClient>) {
        self.client = client.map(Rc::new);
        self.window.reset(now);
        self.open.clear();
        self.candidates.clear();
        self.next_candidate = self.next_candidate.max(now);
        let unanswered = std::mem::take(&mut self.unanswered).into_values();
        if self.config.kind == Kind::Bulk {
            for (request, _) in unanswered.rev() {
                self.waiting.push_front(request);
            }
        }
    }

    fn log_failure(&mut self, what: &'static str, error: &str) {
        let (to, address, kind) = (&self.config.header.to, &self.config.address, self.config.kind);
        if error == self.last_error {
            debug!(%to, address, ?kind, error, "{what}");
            return;
        }
        info!(%to, address, ?kind, error, "{what}");
        error.clone_into(&mut self.last_error);
    }

    /// Updates the metrics, at most once per [`METRICS_INTERVAL`].
    fn update_metrics(&mut self, now: Millis) {
        if now < self.metrics_updated + METRICS_INTERVAL {
            return;
        }
        self.metrics_updated = now;
        let sent = self.unanswered.values().map(|(request, _)| request.bytes.len());
        let waiting = self.waiting.iter().map(|request| request.bytes.len());
        let oldest =
            self.unanswered.values().next().map_or(Millis::ZERO, |(_, sent)| now.since(*sent));
        let member = &self.config.header.to;
        self.config.metrics.set_connection(
            member,
            self.config.kind,
            sent.chain(waiting).sum(),
            oldest,
        );
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.config.metrics.remove_connection(&self.config.header.to, self.config.kind);
    }
}

impl RequestHeader {
    fn step(&self, request: &QueuedRequest) -> Step {
        Step {
            from: self.from.clone(),
            address: self.address.clone(),
            proofs: self.proofs.clone(),
            to: self.to.clone(),
            part: request.part,
            messages: STANDARD.encode(&request.bytes),
        }
    }
}
