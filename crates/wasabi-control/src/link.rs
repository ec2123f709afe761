//! Links to the other members.
//!
//! Each link has two connections: one for small messages, such as heartbeats, votes and answers,
//! and one for entries and snapshots. Heartbeats therefore never queue behind bulk, and the amount
//! of bulk in flight is limited ([`crate::window`]).

use std::{
    cell::Cell,
    collections::BTreeMap,
    rc::Rc,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use tokio::sync::mpsc;
use tracing::{debug, info};
use wasabi_consensus::Message;
use wasabi_protocol::{
    clock::{Clock, Millis},
    id,
    rpc::Step,
};

use crate::{
    connection::{self, ConnectionConfig, InFlightEntries, QueuedRequest, RequestHeader},
    last_replies::SharedLastReplies,
    metrics::{Kind, Metrics},
    parts::{self, Assembly},
};

/// Time without messages after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Most queued batches per connection; later ones are dropped.
const QUEUE_BATCHES_MAX: usize = 256;

/// Time between two checks for a pause of this thread.
const PAUSE_CHECK_INTERVAL: Millis = Millis(50);

/// Delay of this thread that counts as a pause: three heartbeats.
const PAUSE_MIN: Millis = Millis(300);

/// Messages for one member.
#[derive(Debug)]
pub(crate) struct OutboundBatch {
    pub(crate) to: id::Member,
    pub(crate) address: String,
    /// The highest index that the member is known to hold, if the sender leads.
    pub(crate) matched: u64,
    pub(crate) messages: Vec<Message>,
}

/// State shared by all links of a member.
#[derive(Debug)]
pub(crate) struct Links {
    pub(crate) name: id::Member,
    pub(crate) own_address: String,
    pub(crate) proofs: Vec<String>,
    pub(crate) last_replies: SharedLastReplies,
    pub(crate) metrics: Metrics,
}

/// Sends batches until the control thread has ended.
pub(crate) async fn run(links: Links, mut outbound: mpsc::UnboundedReceiver<OutboundBatch>) {
    let clock = Clock::start();
    let watch = actix_rt::spawn(watch_pauses(clock, links.last_replies.clone()));
    let mut open: BTreeMap<(id::Member, String), Link> = BTreeMap::new();
    while let Some(batch) = outbound.recv().await {
        // Heartbeats are sent to every member, so a link without messages leads to a former member.
        open.retain(|_, link| link.used.elapsed() < IDLE_TIMEOUT);
        let link = open
            .entry((batch.to, batch.address))
            .or_insert_with_key(|(to, address)| Link::open(&links, clock, to, address));
        link.send(clock.now(), batch.matched, batch.messages);
    }
    watch.abort();
}

/// Records pauses of this thread, during which answers could not be received.
async fn watch_pauses(clock: Clock, last_replies: SharedLastReplies) {
    loop {
        let before = clock.now();
        actix_rt::time::sleep(PAUSE_CHECK_INTERVAL.duration()).await;
        let late = clock.now().since(before + PAUSE_CHECK_INTERVAL);
        if PAUSE_MIN <= late {
            info!(late_ms = late.0, "the network thread did not run for a while");
            last_replies.record_pause(late);
        }
    }
}

/// A link to one member; its tasks end when it is dropped.
struct Link {
    small: mpsc::Sender<Vec<QueuedRequest>>,
    bulk: mpsc::Sender<Vec<QueuedRequest>>,
    /// Entries in flight on the bulk connection.
    in_flight: InFlightEntries,
    /// The highest term in which this member led.
    term: Rc<Cell<u64>>,
    used: Instant,
}

impl Link {
    fn open(links: &Links, clock: Clock, to: &id::Member, address: &str) -> Self {
        let term = Rc::new(Cell::new(0));
        let header = Rc::new(RequestHeader {
            from: links.name.clone(),
            address: links.own_address.clone(),
            proofs: links.proofs.clone(),
            to: to.clone(),
        });
        let connect = |kind| {
            let (sender, batches) = mpsc::channel(QUEUE_BATCHES_MAX);
            let config = ConnectionConfig {
                kind,
                header: Rc::clone(&header),
                address: address.to_owned(),
                clock,
                last_replies: links.last_replies.clone(),
                metrics: links.metrics.clone(),
                term: Rc::clone(&term),
            };
            actix_rt::spawn(connection::run(config, batches));
            sender
        };
        let (small, bulk) = (connect(Kind::Small), connect(Kind::Bulk));
        Self { small, bulk, in_flight: InFlightEntries::default(), term, used: Instant::now() }
    }

    /// Queues messages on the connections.
    fn send(&mut self, now: Millis, matched: u64, messages: Vec<Message>) {
        self.used = Instant::now();
        let mut small = Vec::new();
        for message in messages {
            if let Message::Append { term, .. } | Message::Install { term, .. } = &message {
                self.term.set(self.term.get().max(*term));
            }
            match connection_kind(&message, matched, self.in_flight.lowest()) {
                Kind::Small => small.push(message),
                Kind::Bulk => self.send_bulk(now, &message),
            }
        }
        let term = self.term.get();
        let batch: Vec<_> = encode(&small)
            .into_iter()
            .map(|bytes| QueuedRequest { part: None, bytes, queued: now, term, _in_flight: None })
            .collect();
        if !batch.is_empty() && self.small.try_send(batch).is_err() {
            debug!("send queue of small messages is full; dropping a batch");
        }
    }

    fn send_bulk(&self, now: Millis, message: &Message) {
        let first = match message {
            Message::Append { entries, .. } => entries.first().map(|entry| entry.index),
            _ => None,
        };
        let Ok(bytes) = postcard::to_stdvec(&[message][..]).map(Bytes::from) else { return };
        let chunks = parts::split(&bytes, fastrand::u64(..)).into_iter();
        let batch = chunks.map(|(part, chunk)| QueuedRequest {
            part,
            bytes: bytes.slice_ref(chunk),
            queued: now,
            term: message.term(),
            _in_flight: first.map(|first| self.in_flight.add(first)),
        });
        if self.bulk.try_send(batch.collect()).is_err() {
            debug!("send queue of bulk messages is full; dropping a message");
        }
    }
}

/// Returns the connection for a message. An append that depends on entries in flight, and not only
/// on entries the receiver is known to hold, is sent after them on the bulk connection. If it
/// overtook them, the receiver would report them as missing.
fn connection_kind(message: &Message, matched: u64, in_flight: Option<u64>) -> Kind {
    match message {
        Message::Install { .. } => Kind::Bulk,
        Message::Append { prev, entries, .. } => {
            let depends =
                matched < prev.index && in_flight.is_some_and(|first| first <= prev.index);
            if depends || !entries.is_empty() { Kind::Bulk } else { Kind::Small }
        }
        _ => Kind::Small,
    }
}

/// Encodes small messages: together if they fit into one request, or else one by one.
fn encode(messages: &[Message]) -> Vec<Bytes> {
    if messages.is_empty() {
        return Vec::new();
    }
    match postcard::to_stdvec(messages) {
        Ok(bytes) if bytes.len() <= parts::PART_BYTES => vec![bytes.into()],
        _ => {
            let alone = |message| postcard::to_stdvec(&[message][..]).ok().map(Bytes::from);
            messages.iter().filter_map(alone).collect()
        }
    }
}

/// Decodes the messages of a step, once all their parts have been received.
///
/// # Errors
///
/// Returns an error when the messages cannot be decoded.
pub(crate) fn messages(
    step: &Step,
    assembly: &Mutex<Assembly>,
) -> Result<Vec<Message>, DecodeError> {
    let mut bytes = STANDARD.decode(&step.messages).map_err(|_| DecodeError)?;
    if let Some(part) = step.part {
        let mut assembly = assembly.lock().unwrap_or_else(PoisonError::into_inner);
        match assembly.add(&step.from, part, bytes) {
            Some(complete) => bytes = complete,
            None => return Ok(Vec::new()),
        }
    }
    postcard::from_bytes(&bytes).map_err(|_| DecodeError)
}

/// The messages of a step cannot be decoded.
#[derive(Debug)]
pub(crate) struct DecodeError;
