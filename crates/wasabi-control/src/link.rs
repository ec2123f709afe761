//! Links to the other members.
//!
//! Each link has two connections: one for small messages, such as heartbeats, votes and answers, and
//! one for entries and snapshots. So what proves that a member lives never waits behind bulk, and
//! little of the latter is on its way at a time ([`crate::window`]).

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
use tracing::debug;
use wasabi_consensus::Message;
use wasabi_protocol::{
    clock::{Clock, Millis},
    id,
    rpc::Step,
};

use crate::{
    answers::Answers,
    lane::{self, Head, Lane, Piece, UnderWay},
    metrics::{Kind, Metrics},
    parts::{self, Assembly},
};

/// Time without messages after which a link is closed.
const UNUSED_AFTER: Duration = Duration::from_secs(30);

/// Most batches that wait for a lane; later ones are dropped.
const QUEUE_MAX: usize = 256;

/// Time between two looks at whether this thread runs, in milliseconds.
const LOOK_EVERY: Millis = Millis(50);

/// Lateness of this thread from which on it counts, in milliseconds: three heartbeats.
const LATE: Millis = Millis(300);

/// Messages for one member.
#[derive(Debug)]
pub(crate) struct Parcel {
    pub(crate) to: id::Member,
    pub(crate) address: String,
    /// The highest index that the member is known to hold, when the sender leads.
    pub(crate) matched: u64,
    pub(crate) messages: Vec<Message>,
}

/// What all links of a member share.
#[derive(Debug)]
pub(crate) struct Links {
    pub(crate) name: id::Member,
    pub(crate) own_address: String,
    pub(crate) proofs: Vec<String>,
    pub(crate) answers: Answers,
    pub(crate) metrics: Metrics,
}

/// Sends parcels until the control thread has ended.
pub(crate) async fn run(links: Links, mut parcels: mpsc::UnboundedReceiver<Parcel>) {
    let clock = Clock::start();
    let watch = actix_rt::spawn(watch_pauses(clock, links.answers.clone()));
    let mut open: BTreeMap<(id::Member, String), Link> = BTreeMap::new();
    while let Some(parcel) = parcels.recv().await {
        // Heartbeats go to every member, so that a link without messages is one to a former member.
        open.retain(|_, link| link.used.elapsed() < UNUSED_AFTER);
        let link = open
            .entry((parcel.to, parcel.address))
            .or_insert_with_key(|(to, address)| Link::open(&links, clock, to, address));
        link.send(clock.now(), parcel.matched, parcel.messages);
    }
    watch.abort();
}

/// Notes when this thread did not run: answers that came meanwhile were not taken.
async fn watch_pauses(clock: Clock, answers: Answers) {
    loop {
        let before = clock.now();
        actix_rt::time::sleep(LOOK_EVERY.duration()).await;
        let late = clock.now().since(before + LOOK_EVERY);
        if LATE <= late {
            answers.paused(late);
        }
    }
}

/// The way to one member; its tasks end when this is dropped.
struct Link {
    small: mpsc::Sender<Vec<Piece>>,
    bulk: mpsc::Sender<Vec<Piece>>,
    /// The entries that are on their way as bulk.
    under_way: UnderWay,
    /// The highest term in which this member led.
    term: Rc<Cell<u64>>,
    used: Instant,
}

impl Link {
    fn open(links: &Links, clock: Clock, to: &id::Member, address: &str) -> Self {
        let term = Rc::new(Cell::new(0));
        let head = Rc::new(Head {
            from: links.name.clone(),
            address: links.own_address.clone(),
            proofs: links.proofs.clone(),
            to: to.clone(),
        });
        let lane = |kind| {
            let (sender, batches) = mpsc::channel(QUEUE_MAX);
            let lane = Lane {
                kind,
                head: Rc::clone(&head),
                address: address.to_owned(),
                clock,
                answers: links.answers.clone(),
                metrics: links.metrics.clone(),
                term: Rc::clone(&term),
            };
            actix_rt::spawn(lane::serve(lane, batches));
            sender
        };
        let (small, bulk) = (lane(Kind::Small), lane(Kind::Bulk));
        Self { small, bulk, under_way: UnderWay::default(), term, used: Instant::now() }
    }

    /// Hands messages to the lanes.
    fn send(&mut self, now: Millis, matched: u64, messages: Vec<Message>) {
        self.used = Instant::now();
        let mut small = Vec::new();
        for message in messages {
            if let Message::Append { term, .. } | Message::Install { term, .. } = &message {
                self.term.set(self.term.get().max(*term));
            }
            match kind(&message, matched, self.under_way.lowest()) {
                Kind::Small => small.push(message),
                Kind::Bulk => self.send_bulk(now, &message),
            }
        }
        let term = self.term.get();
        let batch: Vec<_> = encode(&small)
            .into_iter()
            .map(|bytes| Piece { part: None, bytes, queued: now, term, _place: None })
            .collect();
        if !batch.is_empty() && self.small.try_send(batch).is_err() {
            debug!("a link is full; its messages are dropped");
        }
    }

    fn send_bulk(&self, now: Millis, message: &Message) {
        let first = match message {
            Message::Append { entries, .. } => entries.first().map(|entry| entry.index),
            _ => None,
        };
        let Ok(bytes) = postcard::to_stdvec(&[message][..]).map(Bytes::from) else { return };
        let pieces = parts::cut(&bytes, fastrand::u64(..)).into_iter();
        let batch = pieces.map(|(part, piece)| Piece {
            part,
            bytes: bytes.slice_ref(piece),
            queued: now,
            term: message.term(),
            _place: first.map(|first| self.under_way.add(first)),
        });
        if self.bulk.try_send(batch.collect()).is_err() {
            debug!("a link is full; a message is dropped");
        }
    }
}

/// Returns what carries a message. One that rests on entries under way, and not only on what its
/// receiver is known to hold, goes behind them: before them, it would show them as lost.
fn kind(message: &Message, matched: u64, under_way: Option<u64>) -> Kind {
    match message {
        Message::Install { .. } => Kind::Bulk,
        Message::Append { prev, entries, .. } => {
            let rests = matched < prev.index && under_way.is_some_and(|first| first <= prev.index);
            if rests || !entries.is_empty() { Kind::Bulk } else { Kind::Small }
        }
        _ => Kind::Small,
    }
}

/// Returns small messages as they are sent: together when they fit one request, or else each by
/// itself.
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

/// Returns the messages that a step holds or completes.
///
/// # Errors
///
/// Returns an error when the messages cannot be read.
pub(crate) fn messages(
    step: &Step,
    assembly: &Mutex<Assembly>,
) -> Result<Vec<Message>, Unreadable> {
    let mut bytes = STANDARD.decode(&step.messages).map_err(|_| Unreadable)?;
    if let Some(part) = step.part {
        let mut assembly = assembly.lock().unwrap_or_else(PoisonError::into_inner);
        match assembly.add(&step.from, part, bytes) {
            Some(whole) => bytes = whole,
            None => return Ok(Vec::new()),
        }
    }
    postcard::from_bytes(&bytes).map_err(|_| Unreadable)
}

/// The messages of a step cannot be read.
#[derive(Debug)]
pub(crate) struct Unreadable;
